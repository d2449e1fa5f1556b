/** One caller's connection that is kept open, with the time of every part of
 * each answer.
 *
 * @module
 */
import { monotonicMs } from "@banyanlb/standins";
import { Readable } from "node:stream";
import { Agent } from "undici";
import { callerAddressOf } from "./regional_callers.ts";
import type { World } from "./world.ts";

/** A request on a kept connection. */
export interface TimedRequest {
  readonly method?: "GET" | "POST";
  readonly path: string;
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Text, or parts whose sending can be held back. */
  readonly body?: string | AsyncIterable<string>;
  readonly timeout_ms?: number;
}

/** One part of an answer's body. */
export interface BodyPart {
  readonly at_ms: number;
  readonly text: string;
}

/** What came of a request. Times are monotonic, as in records. */
export interface TimedResponse {
  readonly sent_ms: number;
  readonly ended_ms: number;
  /** 0 if no answer began. */
  readonly status: number;
  readonly parts: readonly BodyPart[];
  /** True if the body ended without an error of the connection. */
  readonly ended: boolean;
}

const DEFAULT_TIMEOUT_MS = 20_000;
const KEEP_ALIVE_MS = 60_000;

function toBody({ body }: TimedRequest): string | Readable | null {
  if (body === undefined || typeof body === "string") return body ?? null;
  return Readable.from(body);
}

/** The body of an answer as one text. */
export function bodyOf(response: TimedResponse): string {
  return response.parts.map((part) => part.text).join("");
}

/** A connection from a caller of its region to one instance; a new one is made if it was closed. */
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
      // The answer as far as it came says what happened.
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
