/** JSON requests over persistent HTTP connections. Each request has a deadline.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { Agent, type Dispatcher } from "undici";
import {
  CONNECT_TIMEOUT_MS,
  KEEP_ALIVE_TIMEOUT_MS,
  MAX_RESPONSE_BYTES,
  REQUEST_TIMEOUT_MS,
} from "./constants.ts";

/** Options of all clients in this package. */
export interface HttpClientOptions {
  /** Source address of connections. Default: chosen by the system. */
  readonly local_address?: string;
  /** Timeout for opening a connection. Default: `CONNECT_TIMEOUT_MS`. */
  readonly connect_timeout_ms?: number;
  /** Timeout of requests that set none. Default: `REQUEST_TIMEOUT_MS`. */
  readonly timeout_ms?: number;
}

/** An HTTP request. */
export interface HttpRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** JSON text. */
  readonly body?: string;
  readonly timeout_ms?: number | undefined;
  readonly signal?: AbortSignal | undefined;
}

/** A complete response. `body` is `undefined` if it is empty or not JSON. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: unknown;
}

/** The reason why no complete response arrived. The request may have taken
 * effect. */
export interface HttpFailure {
  readonly message: string;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Aborts a request at its deadline or when `signal` is aborted. */
class RequestDeadline {
  readonly #controller = new AbortController();
  readonly #timer: NodeJS.Timeout;
  readonly #signal: AbortSignal | undefined;
  readonly #abort = () => this.#controller.abort(new Error("request aborted"));

  constructor(timeout_ms: number, signal: AbortSignal | undefined) {
    const error = new Error(`no complete response within ${timeout_ms} ms`);
    this.#timer = setTimeout(() => this.#controller.abort(error), timeout_ms);
    this.#signal = signal;
    if (signal?.aborted) this.#abort();
    signal?.addEventListener("abort", this.#abort, { once: true });
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  close(): void {
    clearTimeout(this.#timer);
    this.#signal?.removeEventListener("abort", this.#abort);
  }
}

/** Sends JSON requests to any origin.
 *
 * @example
 * ```ts
 * const client = new JsonHttpClient({ timeout_ms: 500 });
 * const response = await client.send({
 *   method: "GET",
 *   url: "http://127.0.0.1:8000/v1/instances",
 * });
 * await client.close();
 * ```
 */
export class JsonHttpClient {
  readonly #agent: Agent;
  readonly #timeout_ms: number;

  constructor(options: HttpClientOptions = {}) {
    this.#timeout_ms = options.timeout_ms ?? REQUEST_TIMEOUT_MS;
    this.#agent = new Agent({
      connect: { timeout: options.connect_timeout_ms ?? CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_RESPONSE_BYTES,
      ...(options.local_address === undefined
        ? {}
        : { localAddress: options.local_address }),
    });
  }

  /** Sends a request once, without retries, and reads the complete response.
   * Never rejects. */
  async send(request: HttpRequest): Promise<Result<HttpResponse, HttpFailure>> {
    const deadline = new RequestDeadline(
      request.timeout_ms ?? this.#timeout_ms,
      request.signal,
    );
    try {
      return ok(await this.#exchange(request, deadline.signal));
    } catch (error) {
      const cause = error instanceof Error ? error.message : String(error);
      return err({ message: `${request.method} ${request.url}: ${cause}` });
    } finally {
      deadline.close();
    }
  }

  async #exchange(
    request: HttpRequest,
    signal: AbortSignal,
  ): Promise<HttpResponse> {
    const res = await this.#agent.request({
      ...splitUrl(request.url),
      method: request.method,
      signal,
      headers: request.body === undefined
        ? { ...request.headers }
        : { ...request.headers, "content-type": "application/json" },
      ...(request.body === undefined ? {} : { body: request.body }),
    });
    const text = await res.body.text();
    return {
      status: res.statusCode,
      headers: res.headers,
      body: parseJson(text),
    };
  }

  /** Aborts open requests and releases connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function splitUrl(url: string): { origin: string; path: string } {
  const { origin, pathname, search } = new URL(url);
  return { origin, path: `${pathname}${search}` };
}

/** Reads `Retry-After`, in seconds with an optional fraction. Returns
 * milliseconds. */
export function readRetryAfter(
  headers: HttpResponse["headers"],
): number | undefined {
  const text = headers["retry-after"];
  if (typeof text !== "string" || text.trim() === "") return undefined;
  const seconds = Number(text);
  if (!Number.isFinite(seconds) || seconds < 0) return undefined;
  return Math.ceil(seconds * 1_000);
}
