/** A caller's keep-alive connection that records the time of every part of each
 * response.
 *
 * @module
 */
import { monotonicMs } from "@banyanlb/standins";
import { Readable } from "node:stream";
import { Agent } from "undici";
import { callerAddressOf } from "./regional_callers.ts";
import type { World } from "./world.ts";

/** A request on a keep-alive connection. */
export interface TimedRequest {
  readonly method?: "GET" | "POST";
  readonly path: string;
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Text, or a stream of parts, which lets the sender delay the rest of the
   * body. */
  readonly body?: string | AsyncIterable<string>;
  readonly timeout_ms?: number;
}

/** One part of a response's body, with its time of arrival. */
export interface BodyPart {
  readonly at_ms: number;
  readonly text: string;
}

/** The response to a request. Times are monotonic, like those in the records of
 * targets. */
export interface TimedResponse {
  readonly sent_ms: number;
  readonly ended_ms: number;
  /** HTTP status; 0 if no response was received. */
  readonly status: number;
  readonly parts: readonly BodyPart[];
  /** True if the body ended without a connection error. */
  readonly ended: boolean;
}

const DEFAULT_TIMEOUT_MS = 20_000;
const KEEP_ALIVE_MS = 60_000;

function toBody({ body }: TimedRequest): string | Readable | null {
  if (body === undefined || typeof body === "string") return body ?? null;
  return Readable.from(body);
}

/** Returns the body of a response as one string. */
export function bodyOf(response: TimedResponse): string {
  return response.parts.map((part) => part.text).join("");
}

/** A keep-alive connection to one instance, from a caller in the instance's
 * region. If it was closed, the next request opens a new one. */
export class KeepAliveConnection {
  readonly #agent: Agent;
  readonly #origin: string;

  constructor(world: World, index: number) {
    this.#origin = world.instance(index).caller_url;
    this.#agent = new Agent({
      connections: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      localAddress: callerAddressOf(world, index),
    });
  }

  /** Sends one request. Never throws. */
  async send(request: TimedRequest): Promise<TimedResponse> {
    const sent_ms = monotonicMs();
    const parts: BodyPart[] = [];
    let status = 0;
    let ended = false;
    try {
      const response = await this.#agent.request({
        origin: this.#origin,
        path: request.path,
        method: request.method ?? "POST",
        headers: this.#headers(request),
        body: toBody(request),
        signal: AbortSignal.timeout(request.timeout_ms ?? DEFAULT_TIMEOUT_MS),
      });
      status = response.statusCode;
      for await (const chunk of response.body) {
        parts.push({ at_ms: monotonicMs(), text: String(chunk) });
      }
      ended = true;
    } catch {
      // The status and parts received so far are returned below.
    }
    return { sent_ms, ended_ms: monotonicMs(), status, parts, ended };
  }

  /** Closes the connection. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #headers(request: TimedRequest): Record<string, string> {
    return {
      ...(request.body === undefined
        ? {}
        : { "content-type": "application/json" }),
      ...(request.key === undefined
        ? {}
        : { authorization: `Bearer ${request.key}` }),
      ...request.headers,
    };
  }
}
