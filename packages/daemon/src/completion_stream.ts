/** Reading of a streamed completion: whole events, end marker, usage.
 *
 * @module
 */
import { createParser, type EventSourceMessage } from "eventsource-parser";

const END_MARKER = "[DONE]";
const ID_PATTERN = /"id":\s*"([^"]*)"/;

/** Tokens that an engine reports for one answer. */
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

/** Splits an engine's event stream into whole events to be passed on.
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

  /** True once the end marker was seen. */
  get ended(): boolean {
    return this.#ended;
  }

  /** True if an event of another answer was seen. */
  get crossed(): boolean {
    return this.#crossed;
  }

  /** What the engine reported, once it did. */
  get usage(): Usage | undefined {
    return this.#usage;
  }

  /** Events with tokens so far. */
  get event_count(): number {
    return this.#event_count;
  }

  /** Takes a chunk; returns the whole events that may be passed on. The end
   * marker is among them only if nothing is wrong with the answer. */
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
