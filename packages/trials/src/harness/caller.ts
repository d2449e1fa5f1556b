/** A caller: asks for addresses, keeps them, connects, and repeats elsewhere
 * what certainly did not run.
 *
 * @module
 */
import type { SteeringAddress, SteeringResponse } from "@banyanlb/daemon";
import { Agent, type Dispatcher } from "undici";

/** How one request ended for its caller. */
export interface CallResult {
  readonly status: number;
  /** Whole body, or what came of it. */
  readonly body: string;
  /** True if the answer ended as an answer should: its full length, or the
   * end marker of a stream. */
  readonly whole: boolean;
  readonly not_run: boolean | undefined;
  readonly error_type: string | undefined;
  readonly headers: Readonly<Record<string, unknown>>;
  /** Instance that answered. */
  readonly url: string;
  readonly first_byte_ms: number;
  readonly total_ms: number;
  /** Arrival of each token after the request was sent, for streams. */
  readonly token_times_ms: readonly number[];
}

/** A request to send. */
export interface CallOptions {
  readonly method?: "GET" | "POST";
  readonly path: string;
  readonly key?: string;
  readonly body?: object | string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeout_ms?: number;
  /** Instance to use; default: as steered. */
  readonly url?: string;
  readonly signal?: AbortSignal;
}

/** Options of a caller. */
export interface CallerOptions {
  /** Addresses that it may ask first. */
  readonly seeds: readonly string[];
  readonly region?: string;
  readonly random: () => number;
  /** Address that its connections come from. */
  readonly local_address?: string;
}

const DEFAULT_TIMEOUT_MS = 60_000;
const STEER_TIMEOUT_MS = 1_000;
const END_MARKER = "data: [DONE]";

function parseError(
  body: string,
): { readonly type?: string; readonly not_run?: boolean } {
  try {
    return JSON.parse(body).error ?? {};
  } catch {
    return {};
  }
}

/** Sends requests as a client of the system would. */
export class Caller {
  readonly #options: CallerOptions;
  readonly #agent: Agent;
  readonly #kept = new Map<
    string,
    { answer: SteeringResponse; until: number }
  >();
  readonly #failed = new Map<string, number>();

  constructor(options: CallerOptions) {
    this.#options = options;
    const { local_address } = options;
    this.#agent = new Agent({
      connections: null,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: STEER_TIMEOUT_MS },
      ...(local_address === undefined ? {} : { localAddress: local_address }),
    });
  }

  /** Addresses for a key's workspace, kept as long as the answer says. */
  async steer(key?: string): Promise<readonly SteeringAddress[]> {
    const kept = this.#kept.get(key ?? "");
    const now = performance.now();
    if (kept !== undefined && kept.until > now) return kept.answer.addresses;
    const known = kept?.answer.addresses.map((address) => address.url) ?? [];
    for (const url of [...known, ...this.#options.seeds]) {
      const answer = await this.#askSteering(url, key);
      if (answer === undefined || answer.addresses.length === 0) continue;
      const until = now + answer.keep_ms;
      this.#kept.set(key ?? "", { answer, until });
      return answer.addresses;
    }
    throw new Error("no instance answered a steering request");
  }

  /** Picks an address by weight, leaving out those that failed lately. */
  async pick(key?: string): Promise<string> {
    const all = await this.steer(key);
    const now = performance.now();
    const usable = all.filter(({ url }) => (this.#failed.get(url) ?? 0) < now);
    const list = usable.length === 0 ? all : usable;
    const total = list.reduce((sum, address) => sum + address.weight, 0);
    let rest = this.#options.random() * total;
    for (const address of list) {
      rest -= address.weight;
      if (rest <= 0) return address.url;
    }
    return list.at(-1)?.url ?? "";
  }

  /** Sends one request once. Throws if no answer began. */
  async call(options: CallOptions): Promise<CallResult> {
    const url = options.url ?? await this.pick(options.key);
    const start = performance.now();
    const answer = await this.#agent.request({
      origin: url,
      path: options.path,
      method: options.method ?? "POST",
      headers: this.#headers(options),
      body: this.#body(options),
      signal: options.signal ??
        AbortSignal.timeout(options.timeout_ms ?? DEFAULT_TIMEOUT_MS),
    });
    return await this.#read(answer, { url, start });
  }

  /** Sends a request and repeats it elsewhere while no connection can be
   * made or the answer says that it did not run and may be repeated at once.
   * `attempts` bounds the tries. */
  async callUntilServed(
    options: CallOptions,
    attempts = 4,
  ): Promise<CallResult> {
    let last: unknown;
    for (let i = 0; i < attempts; i++) {
      const url = await this.pick(options.key);
      try {
        const result = await this.call({ ...options, url });
        const repeatable = result.not_run === true &&
          ["not_ready", "stale_configuration"]
            .includes(result.error_type ?? "");
        if (!repeatable) return result;
        last = new Error(result.body);
      } catch (cause) {
        last = cause;
      }
      this.noteFailed(url);
    }
    throw last;
  }

  /** Leaves an address out for a second. */
  noteFailed(url: string): void {
    this.#failed.set(url, performance.now() + STEER_TIMEOUT_MS);
  }

  /** Closes connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #askSteering(
    url: string,
    key: string | undefined,
  ): Promise<SteeringResponse | undefined> {
    const { region } = this.#options;
    const query = region === undefined ? "" : `?region=${region}`;
    try {
      const answer = await this.#agent.request({
        origin: url,
        path: `/v1/steering${query}`,
        method: "GET",
        headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
        signal: AbortSignal.timeout(STEER_TIMEOUT_MS),
      });
      const body = await answer.body.text();
      if (answer.statusCode !== 200) return undefined;
      return JSON.parse(body) as SteeringResponse;
    } catch {
      return undefined;
    }
  }

  #headers(options: CallOptions): Record<string, string> {
    return {
      ...(options.body === undefined
        ? {}
        : { "content-type": "application/json" }),
      ...(options.key === undefined
        ? {}
        : { authorization: `Bearer ${options.key}` }),
      ...options.headers,
    };
  }

  #body(options: CallOptions): string | null {
    if (options.body === undefined) return null;
    if (typeof options.body === "string") return options.body;
    return JSON.stringify(options.body);
  }

  async #read(
    answer: Dispatcher.ResponseData,
    from: { readonly url: string; readonly start: number },
  ): Promise<CallResult> {
    const decoder = new TextDecoder();
    const token_times_ms: number[] = [];
    let body = "";
    let first_byte_ms = 0;
    let ended = true;
    try {
      for await (const chunk of answer.body) {
        const now = performance.now() - from.start;
        if (body === "") first_byte_ms = now;
        body += decoder.decode(chunk, { stream: true });
        token_times_ms.push(now);
      }
    } catch {
      ended = false;
    }
    const type = String(answer.headers["content-type"] ?? "");
    const is_stream = type.startsWith("text/event-stream");
    const error = answer.statusCode < 400 ? {} : parseError(body);
    return {
      status: answer.statusCode,
      body,
      whole: ended && (!is_stream || body.includes(END_MARKER)),
      not_run: error.not_run,
      error_type: error.type,
      headers: answer.headers,
      url: from.url,
      first_byte_ms,
      total_ms: performance.now() - from.start,
      token_times_ms: is_stream ? token_times_ms : [],
    };
  }
}
