/** A caller: requests steering addresses, caches them, sends requests to them,
 * and repeats a request at another address if it certainly did not run.
 *
 * @module
 */
import type { SteeringAddress, SteeringResponse } from "@banyanlb/daemon";
import { Agent, type Dispatcher } from "undici";

/** The outcome of one request for its caller. */
export interface CallResult {
  readonly status: number;
  /** The body, as far as it was received. */
  readonly body: string;
  /** True if the response is complete: it has its full length and, if it is a
   * stream, its end marker. */
  readonly whole: boolean;
  readonly not_run: boolean | undefined;
  readonly error_type: string | undefined;
  readonly headers: Readonly<Record<string, unknown>>;
  /** URL of the instance that responded. */
  readonly url: string;
  readonly first_byte_ms: number;
  readonly total_ms: number;
  /** Milliseconds from the request to each chunk of tokens; empty unless the
   * response is a stream. */
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
  /** URL of the instance; by default one of the steering addresses. */
  readonly url?: string;
  readonly signal?: AbortSignal;
}

/** Options of a caller. */
export interface CallerOptions {
  /** URLs from which the caller requests steering addresses when it has none
   * or none of them responds. */
  readonly seeds: readonly string[];
  readonly region?: string;
  readonly random: () => number;
  /** Local address of its connections. */
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
  readonly #steering_by_key = new Map<
    string,
    { answer: SteeringResponse; until: number }
  >();
  readonly #excluded_until_ms = new Map<string, number>();

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

  /** Steering addresses for a key's workspace, cached for the `keep_ms` of the
   * response. Throws if no instance responds. */
  async steer(key?: string): Promise<readonly SteeringAddress[]> {
    const entry = this.#steering_by_key.get(key ?? "");
    const now = performance.now();
    if (entry !== undefined && entry.until > now) return entry.answer.addresses;
    const cached_urls = entry?.answer.addresses.map((address) => address.url) ??
      [];
    for (const url of [...cached_urls, ...this.#options.seeds]) {
      const steering = await this.#requestSteering(url, key);
      if (steering === undefined || steering.addresses.length === 0) continue;
      const until_ms = now + steering.keep_ms;
      this.#steering_by_key.set(key ?? "", {
        answer: steering,
        until: until_ms,
      });
      return steering.addresses;
    }
    throw new Error("no instance answered a steering request");
  }

  /** Picks an address at random by weight. Addresses that failed recently are
   * excluded unless all of them failed. */
  async pick(key?: string): Promise<string> {
    const addresses = await this.steer(key);
    const now = performance.now();
    const usable_addresses = addresses.filter(({ url }) =>
      (this.#excluded_until_ms.get(url) ?? 0) < now
    );
    const candidates = usable_addresses.length === 0
      ? addresses
      : usable_addresses;
    const total_weight = candidates.reduce(
      (sum, address) => sum + address.weight,
      0,
    );
    let remaining_weight = this.#options.random() * total_weight;
    for (const address of candidates) {
      remaining_weight -= address.weight;
      if (remaining_weight <= 0) return address.url;
    }
    return candidates.at(-1)?.url ?? "";
  }

  /** Sends a request once. Throws if no response begins. */
  async call(options: CallOptions): Promise<CallResult> {
    const url = options.url ?? await this.pick(options.key);
    const start_ms = performance.now();
    const response = await this.#agent.request({
      origin: url,
      path: options.path,
      method: options.method ?? "POST",
      headers: this.#buildHeaders(options),
      body: this.#encodeBody(options),
      signal: options.signal ??
        AbortSignal.timeout(options.timeout_ms ?? DEFAULT_TIMEOUT_MS),
    });
    return await this.#readResponse(response, { url, start: start_ms });
  }

  /** Sends a request, and repeats it at another address if it fails without a
   * response, or if the error says that the request did not run and may be
   * repeated at once. Throws the last error after `attempts` attempts. */
  async callUntilServed(
    options: CallOptions,
    attempts = 4,
  ): Promise<CallResult> {
    let last_cause: unknown;
    for (let i = 0; i < attempts; i++) {
      const url = await this.pick(options.key);
      try {
        const result = await this.call({ ...options, url });
        const is_repeatable = result.not_run === true &&
          ["not_ready", "stale_configuration"]
            .includes(result.error_type ?? "");
        if (!is_repeatable) return result;
        last_cause = new Error(result.body);
      } catch (cause) {
        last_cause = cause;
      }
      this.excludeAddress(url);
    }
    throw last_cause;
  }

  /** Excludes an address for one second. */
  excludeAddress(url: string): void {
    this.#excluded_until_ms.set(url, performance.now() + STEER_TIMEOUT_MS);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #requestSteering(
    url: string,
    key: string | undefined,
  ): Promise<SteeringResponse | undefined> {
    const { region } = this.#options;
    const query = region === undefined ? "" : `?region=${region}`;
    try {
      const response = await this.#agent.request({
        origin: url,
        path: `/v1/steering${query}`,
        method: "GET",
        headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
        signal: AbortSignal.timeout(STEER_TIMEOUT_MS),
      });
      const body = await response.body.text();
      if (response.statusCode !== 200) return undefined;
      return JSON.parse(body) as SteeringResponse;
    } catch {
      return undefined;
    }
  }

  #buildHeaders(options: CallOptions): Record<string, string> {
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

  #encodeBody(options: CallOptions): string | null {
    if (options.body === undefined) return null;
    if (typeof options.body === "string") return options.body;
    return JSON.stringify(options.body);
  }

  async #readResponse(
    response: Dispatcher.ResponseData,
    request: { readonly url: string; readonly start: number },
  ): Promise<CallResult> {
    const decoder = new TextDecoder();
    const token_times_ms: number[] = [];
    let body = "";
    let first_byte_ms = 0;
    let is_ended = true;
    try {
      for await (const chunk of response.body) {
        const elapsed_ms = performance.now() - request.start;
        if (body === "") first_byte_ms = elapsed_ms;
        body += decoder.decode(chunk, { stream: true });
        token_times_ms.push(elapsed_ms);
      }
    } catch {
      is_ended = false;
    }
    const content_type = String(response.headers["content-type"] ?? "");
    const is_stream = content_type.startsWith("text/event-stream");
    const error = response.statusCode < 400 ? {} : parseError(body);
    return {
      status: response.statusCode,
      body,
      whole: is_ended && (!is_stream || body.includes(END_MARKER)),
      not_run: error.not_run,
      error_type: error.type,
      headers: response.headers,
      url: request.url,
      first_byte_ms,
      total_ms: performance.now() - request.start,
      token_times_ms: is_stream ? token_times_ms : [],
    };
  }
}
