/** Requests that this instance serves now, and the ways to end them.
 *
 * @module
 */
import { Refusal } from "@banyanlb/core";

/** One request that is being served. */
export interface InFlightRequest {
  /** Hash of the key that came with the request, if any. */
  readonly key_sha256: string | undefined;
  readonly workspace: string;
  /** True once a target may have seen it. */
  readonly mayHaveRun: () => boolean;
  /** Aborts with a {@linkcode Refusal} as reason. */
  readonly controller: AbortController;
}

/** Registry of the requests that are being served. */
export class InFlightRegistry {
  readonly #requests = new Set<InFlightRequest>();
  #waiters: readonly (() => void)[] = [];

  /** Requests that are being served. */
  get size(): number {
    return this.#requests.size;
  }

  /** Registers a request. Returns the function that takes it out again. */
  add(request: InFlightRequest): () => void {
    this.#requests.add(request);
    return () => {
      this.#requests.delete(request);
      this.#wakeIfEmpty();
    };
  }

  /** Ends every request whose key `isWithdrawn`. Returns how many. */
  endWithdrawn(isWithdrawn: (key_sha256: string) => boolean): number {
    return this.#endMatching(
      ({ key_sha256 }) => key_sha256 !== undefined && isWithdrawn(key_sha256),
      new Refusal("key_withdrawn", {
        message: "the key of this request was withdrawn while it ran",
        not_run: false,
      }),
    );
  }

  /** Ends every request that came with a key: whether it is still valid is not
   * known. Returns how many. */
  endWithKey(): number {
    return this.#endMatching(
      ({ key_sha256 }) => key_sha256 !== undefined,
      new Refusal("stale_configuration", {
        message: "this instance can no longer tell whether the key is valid",
        not_run: false,
      }),
    );
  }

  /** Ends every request that still waits here: this instance can get no more
   * permits under its lost session. Returns how many. */
  endUnsent(): number {
    return this.#endMatching(
      ({ mayHaveRun }) => !mayHaveRun(),
      new Refusal("not_ready", {
        message: "this instance lost its session while the request waited",
        not_run: true,
      }),
    );
  }

  /** Resolves when no request is left or `limit_ms` have passed. */
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
