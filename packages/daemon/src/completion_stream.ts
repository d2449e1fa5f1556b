/** Parser for streamed completions: splits the stream into events and finds the
 * end marker and the token usage.
 *
 * @module
 */
import { createParser, type EventSourceMessage } from "eventsource-parser";

const END_MARKER = "[DONE]";
const ID_PATTERN = /"id":\s*"([^"]*)"/;

/** Token counts that an engine reports for one response. */
export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
}

function parseUsage(data: string): Usage | undefined {
  if (!data.includes('"usage"')) return undefined;
  try {
    return JSON.parse(data).usage ?? undefined;
  } catch {
    return undefined;
  }
}

/** Splits an engine's event stream into complete events to be forwarded.
 *
 * @example
 * ```ts
 * const stream = new CompletionStream({ keeps_usage: false });
 * res.write(stream.feed(chunk));
 * if (stream.ended) res.end();
 * ```
 */
export class CompletionStream {
  readonly #keeps_usage: boolean;
  readonly #decoder = new TextDecoder();
  readonly #parser: ReturnType<typeof createParser>;
  #output = "";
  #ended = false;
  #crossed = false;
  #id: string | undefined;
  #usage: Usage | undefined;
  #event_count = 0;

  constructor(options: { readonly keeps_usage: boolean }) {
    this.#keeps_usage = options.keeps_usage;
    this.#parser = createParser({
      onEvent: (event) => this.#handleEvent(event),
    });
  }

  /** True once the end marker was received. */
  get ended(): boolean {
    return this.#ended;
  }

  /** True if an event with the id of another response was received. */
  get crossed(): boolean {
    return this.#crossed;
  }

  /** Usage that the engine reported; `undefined` until it does. */
  get usage(): Usage | undefined {
    return this.#usage;
  }

  /** Count of events forwarded so far, without the end marker. */
  get event_count(): number {
    return this.#event_count;
  }

  /** Parses a chunk and returns the complete events to be forwarded. After an
   * event of another response nothing more is returned, so the end marker is
   * withheld. */
  feed(chunk: Uint8Array): string {
    this.#output = "";
    this.#parser.feed(this.#decoder.decode(chunk, { stream: true }));
    return this.#output;
  }

  #handleEvent(event: EventSourceMessage): void {
    if (this.#ended || this.#crossed) return;
    if (event.data === END_MARKER) {
      this.#ended = true;
      this.#output += `data: ${END_MARKER}\n\n`;
      return;
    }
    this.#checkId(event.data);
    if (this.#crossed) return;
    const usage = parseUsage(event.data);
    if (usage !== undefined) {
      this.#usage = usage;
      if (!this.#keeps_usage && event.data.includes('"choices":[]')) return;
    }
    this.#event_count += 1;
    this.#output += `data: ${event.data}\n\n`;
  }

  #checkId(data: string): void {
    const id = ID_PATTERN.exec(data)?.[1];
    if (id === undefined) return;
    this.#id ??= id;
    if (id !== this.#id) this.#crossed = true;
  }
}
