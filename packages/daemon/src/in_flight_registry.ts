/** Registry of the requests in flight, which can end groups of them.
 *
 * @module
 */
import { Refusal } from "@banyanlb/core";

/** One request that is being served. */
export interface InFlightRequest {
  /** SHA-256 hash of the request's key, if it has one. */
  readonly key_sha256: string | undefined;
  readonly workspace: string;
  /** True once a target may have run the request. */
  readonly mayHaveRun: () => boolean;
  /** Ends the request. The registry aborts it with a {@linkcode Refusal} as the
   * reason. */
  readonly controller: AbortController;
}

/** The requests of callers that this instance is serving. */
export class InFlightRegistry {
  readonly #requests = new Set<InFlightRequest>();
  #waiters: readonly (() => void)[] = [];

  /** Count of requests that are being served. */
  get size(): number {
    return this.#requests.size;
  }

  /** Registers a request. Returns the function that removes it. */
  add(request: InFlightRequest): () => void {
    this.#requests.add(request);
    return () => {
      this.#requests.delete(request);
      this.#wakeIfEmpty();
    };
  }

  /** Ends every request whose key was withdrawn. Returns their count. */
  endWithdrawn(isWithdrawn: (key_sha256: string) => boolean): number {
    return this.#endMatching(
      ({ key_sha256 }) => key_sha256 !== undefined && isWithdrawn(key_sha256),
      new Refusal("key_withdrawn", {
        message: "the key of this request was withdrawn while it ran",
        not_run: false,
      }),
    );
  }

  /** Ends every request with a key, because this instance can no longer verify
   * that the key is valid. Returns their count. */
  endWithKey(): number {
    return this.#endMatching(
      ({ key_sha256 }) => key_sha256 !== undefined,
      new Refusal("stale_configuration", {
        message: "this instance can no longer tell whether the key is valid",
        not_run: false,
      }),
    );
  }

  /** Ends every request that no target can have run: after losing its session,
   * this instance gets no more permits. Returns their count. */
  endUnsent(): number {
    return this.#endMatching(
      ({ mayHaveRun }) => !mayHaveRun(),
      new Refusal("not_ready", {
        message: "this instance lost its session while the request waited",
        not_run: true,
      }),
    );
  }

  /** Resolves when no request is left, or after `timeout_ms`. */
  async waitUntilEmpty(timeout_ms: number): Promise<void> {
    if (this.#requests.size === 0) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeout_ms);
      this.#waiters = [...this.#waiters, () => {
        clearTimeout(timer);
        resolve();
      }];
    });
  }

  #endMatching(
    matches: (request: InFlightRequest) => boolean,
    refusal: Refusal,
  ): number {
    const ended = [...this.#requests].filter((request) =>
      !request.controller.signal.aborted && matches(request)
    );
    for (const { controller } of ended) controller.abort(refusal);
    return ended.length;
  }

  #wakeIfEmpty(): void {
    if (this.#requests.size > 0) return;
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
  }
}
