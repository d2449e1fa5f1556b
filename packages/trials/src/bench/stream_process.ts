/** Keeps many streams open through one instance: a new request follows each
 * stream that ends. Arguments: the file with the job, and the file for the
 * report.
 *
 * @module
 */
import { monotonicMs } from "@banyanlb/standins";
import { setMaxListeners } from "node:events";
import { readFile, writeFile } from "node:fs/promises";
import { Agent } from "undici";
import type { StreamJob, StreamReport } from "./stream_job.ts";

const TOKEN_MARKER = Buffer.from('"content":');
const END_MARKER = "[DONE]";
const SAMPLE_MS = 100;
const RETRY_MS = 50;
const STATUS_OK = 200;

function countTokens(chunk: Buffer): number {
  let count = 0;
  let offset = chunk.indexOf(TOKEN_MARKER);
  while (offset !== -1) {
    count += 1;
    offset = chunk.indexOf(TOKEN_MARKER, offset + TOKEN_MARKER.length);
  }
  return count;
}

class StreamPool {
  readonly #job: StreamJob;
  readonly #agent = new Agent({ connections: null, bodyTimeout: 0 });
  readonly #stop = new AbortController();
  #tokens = 0;
  #requests = 0;
  #failed = 0;
  #open = 0;

  constructor(job: StreamJob) {
    this.#job = job;
    // All streams listen to this signal, more than the default limit allows.
    setMaxListeners(0, this.#stop.signal);
  }

  async run(): Promise<StreamReport> {
    const { streams, until_mono_ms } = this.#job;
    const pending_open = this.#sampleOpen();
    const tasks = Array.from({ length: streams }, (_, i) => this.#keepOpen(i));
    await new Promise((resolve) =>
      setTimeout(resolve, until_mono_ms - monotonicMs())
    );
    const open = await pending_open;
    const report = {
      tokens: this.#tokens,
      requests: this.#requests,
      failed: this.#failed,
      open,
    };
    this.#stop.abort();
    await Promise.all(tasks);
    await this.#agent.destroy();
    return report;
  }

  get #isCounting(): boolean {
    const now = monotonicMs();
    return now >= this.#job.from_mono_ms && now < this.#job.until_mono_ms;
  }

  async #sampleOpen(): Promise<number> {
    let sum = 0;
    let samples = 0;
    while (monotonicMs() < this.#job.until_mono_ms) {
      await new Promise((resolve) => setTimeout(resolve, SAMPLE_MS));
      if (!this.#isCounting) continue;
      sum += this.#open;
      samples += 1;
    }
    return sum / Math.max(1, samples);
  }

  async #keepOpen(index: number): Promise<void> {
    for (let attempt = 0; !this.#stop.signal.aborted; attempt++) {
      const is_complete = await this.#stream(`${index}-${attempt}`, index)
        .catch(() => false);
      if (this.#stop.signal.aborted) return;
      if (this.#isCounting) this.#requests += 1;
      if (is_complete) continue;
      if (this.#isCounting) this.#failed += 1;
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
  }

  async #stream(content: string, index: number): Promise<boolean> {
    const { url, key, models, max_tokens } = this.#job;
    const model = models[index % models.length];
    const messages = [{ role: "user", content }];
    const response = await this.#agent.request({
      origin: url,
      path: "/v1/chat/completions",
      method: "POST",
      headers: {
        "content-type": "application/json",
        authorization: `Bearer ${key}`,
      },
      body: JSON.stringify({ model, messages, max_tokens, stream: true }),
      signal: this.#stop.signal,
    });
    let tail = "";
    this.#open += 1;
    try {
      for await (const chunk of response.body) {
        if (this.#isCounting) this.#tokens += countTokens(chunk as Buffer);
        tail = (chunk as Buffer).toString("latin1").slice(-32);
      }
    } finally {
      this.#open -= 1;
    }
    return response.statusCode === STATUS_OK && tail.includes(END_MARKER);
  }
}

const [, , job_file = "", report_file = ""] = process.argv;
const job = JSON.parse(await readFile(job_file, "utf8")) as StreamJob;
await writeFile(report_file, JSON.stringify(await new StreamPool(job).run()));
