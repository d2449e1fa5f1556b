/** Writes responses in the OpenAI format, streamed or as one body.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { countPromptTokens, type Generation } from "./expected_text.ts";
import type { GenerationRequest } from "./generation_request.ts";
import { sendResponse } from "./http_io.ts";

/** Identifiers of a response. */
export interface ResponseIds {
  /** Sent back as `x-request-id`; empty for none. */
  readonly request_id: string;
  /** Sequence number of the request on the engine. */
  readonly request_number: number;
}

/** Writes one response, token by token. */
export class CompletionWriter {
  readonly #res: ServerResponse;
  readonly #request: GenerationRequest;
  readonly #ids: ResponseIds;
  readonly #json_start: string;
  #text = "";
  #token_count = 0;

  constructor(
    res: ServerResponse,
    request: GenerationRequest,
    ids: ResponseIds,
  ) {
    this.#res = res;
    this.#request = request;
    this.#ids = ids;
    const object = request.api === "chat"
      ? `chat.completion${request.stream ? ".chunk" : ""}`
      : "text_completion";
    const created = Math.floor(Date.now() / 1_000);
    const model = JSON.stringify(request.generation.version);
    this.#json_start =
      `{"id":"cmpl-${ids.request_number}","object":"${object}",` +
      `"created":${created},"model":${model},`;
  }

  /** Adds one token. */
  addToken(token: string): void {
    this.#text += token;
    this.#token_count += 1;
    if (!this.#request.stream) return;
    this.#startStream();
    this.#writeEvent(`"choices":[${this.#choice(token, "null")}]`);
  }

  /** Completes the response. */
  end(): void {
    const { max_tokens } = this.#request.generation;
    const finish_reason = this.#token_count < max_tokens
      ? '"stop"'
      : '"length"';
    if (!this.#request.stream) return this.#sendUnstreamed(finish_reason);
    this.#startStream();
    this.#writeEvent(`"choices":[${this.#choice("", finish_reason)}]`);
    this.#writeEvent(`"choices":[],${this.#usage()}`);
    this.#res.end("data: [DONE]\n\n");
  }

  /** Ends the HTTP response cleanly before the completion is complete. */
  cut(): void {
    if (this.#request.stream) {
      this.#startStream();
    } else {
      const headers = {
        ...this.#headers(),
        "content-type": "application/json",
      };
      this.#res.writeHead(200, headers);
      this.#res.write(`${this.#json_start}"choices":[`);
    }
    this.#res.end();
  }

  #sendUnstreamed(finish_reason: string): void {
    const choice = this.#choice(this.#text, finish_reason);
    sendResponse(this.#res, {
      status: 200,
      headers: this.#headers(),
      body: `${this.#json_start}"choices":[${choice}],${this.#usage()}}`,
    });
  }

  #startStream(): void {
    if (this.#res.headersSent) return;
    const headers = { ...this.#headers(), "content-type": "text/event-stream" };
    this.#res.writeHead(200, headers);
  }

  #writeEvent(fields: string): void {
    this.#res.write(`data: ${this.#json_start}${fields}}\n\n`);
  }

  #headers(): Readonly<Record<string, string>> {
    const { request_id } = this.#ids;
    return request_id === "" ? {} : { "x-request-id": request_id };
  }

  #choice(text: string, finish_reason: string): string {
    const content = JSON.stringify(text);
    const prefix = `{"index":0,"finish_reason":${finish_reason},`;
    if (this.#request.api === "text") return `${prefix}"text":${content}}`;
    if (!this.#request.stream) {
      return `${prefix}"message":{"role":"assistant","content":${content}}}`;
    }
    if (text === "") return `${prefix}"delta":{}}`;
    return `${prefix}"delta":{"content":${content}}}`;
  }

  #usage(): string {
    return `"usage":${
      JSON.stringify(countUsage(this.#request.generation, {
        completion_tokens: this.#token_count,
      }))
    }`;
  }
}

function countUsage(
  generation: Generation,
  output: { readonly completion_tokens: number },
): Readonly<Record<string, number>> {
  const prompt_tokens = countPromptTokens(generation.prompt);
  const { completion_tokens } = output;
  const total_tokens = prompt_tokens + completion_tokens;
  return { prompt_tokens, completion_tokens, total_tokens };
}
