/** Watches an attempt until its first byte.
 *
 * @module
 */
import type { Route } from "@banyanlb/serving";
import type { EngineRequest } from "../engine_connections.ts";
import { ReadTimeout } from "../read_timeout.ts";
import { connectTimeoutMs, firstByteTimeoutMs } from "./silence_limits.ts";

/** The attempt that is watched. */
export interface WatchedAttempt {
  readonly request: Pick<EngineRequest, "isSent" | "connectionMs">;
  readonly route: Route;
  readonly startedAt: number;
}

/** What the watch calls. Each call ends it until `restart`. */
export interface FirstByteListeners {
  /** The attempt has no connection. */
  readonly onUnreachable: () => void;
  /** The request was sent, and nothing came. */
  readonly onSilent: () => void;
}

/** The watch over one attempt, from its start. */
export class FirstByteWatch {
  readonly #attempt: WatchedAttempt;
  readonly #listeners: FirstByteListeners;
  #timeout: ReadTimeout | undefined;
  #isOver = false;

  constructor(attempt: WatchedAttempt, listeners: FirstByteListeners) {
    this.#attempt = attempt;
    this.#listeners = listeners;
    this.restart();
  }

  /** Watches for the whole time once more. */
  restart(): void {
    const { request, route } = this.#attempt;
    if (request.isSent()) this.#waitForByte(firstByteTimeoutMs(route));
    else this.#wait(() => this.#handleConnection(), connectTimeoutMs(route));
  }

  /** Ends the watch for good. */
  clear(): void {
    this.#isOver = true;
    this.#timeout?.clear();
  }

  #handleConnection(): void {
    const { request, route, startedAt } = this.#attempt;
    const connectionMs = request.connectionMs();
    if (connectionMs === undefined) return this.#listeners.onUnreachable();
    // After a late connection the engine has the whole time to answer.
    const sentMs = connectionMs < connectTimeoutMs(route) ? 0 : connectionMs;
    const elapsedMs = performance.now() - startedAt - sentMs;
    this.#waitForByte(Math.max(0, firstByteTimeoutMs(route) - elapsedMs));
  }

  #waitForByte(ms: number): void {
    this.#wait(this.#listeners.onSilent, ms);
  }

  #wait(callback: () => void, ms: number): void {
    this.#timeout?.clear();
    if (!this.#isOver) this.#timeout = new ReadTimeout(callback, ms);
  }
}
