/** Permit requests that wait at one target, with their pending replies.
 *
 * @module
 */
import type { PermitQueue, QueuedRequest, TokenCharge } from "@banyanlb/core";
import type { PermitAcquireRequest, PermitReply } from "./types.ts";
import { permitKey } from "./permit_table.ts";

/** A waiting permit request. Times are monotonic milliseconds of the owner. */
export interface Waiter {
  readonly key: string;
  readonly ask: PermitAcquireRequest;
  readonly queued_at: number;
  readonly deadline_at: number;
  /** Time at which the request is refused if it has not been granted. */
  readonly wait_until: number;
  readonly reply: Promise<PermitReply>;
  readonly answer: (reply: PermitReply) => void;
}

/** Waiting permit requests by key, ordered by a {@linkcode PermitQueue}. */
export class WaitingList {
  readonly #queue: PermitQueue;
  readonly #waiters = new Map<string, Waiter>();
  readonly #by_version = new Map<string, number>();

  constructor(queue: PermitQueue) {
    this.#queue = queue;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#waiters.size;
  }

  /** Number of requests that wait for one version. */
  countOf(version: string): number {
    return this.#by_version.get(version) ?? 0;
  }

  /** The waiter with this key. */
  get(key: string): Waiter | undefined {
    return this.#waiters.get(key);
  }

  /** Adds a request. Returns `undefined` if the queue does not admit it. */
  add(
    request: PermitAcquireRequest,
    times: {
      readonly queued_at: number;
      readonly deadline_at: number;
      readonly wait_until: number;
    },
  ): Waiter | undefined {
    const key = permitKey(request.session, request.id);
    const queued: QueuedRequest = {
      id: key,
      version: request.version,
      workspace: request.workspace,
      weight: request.weight ?? 1,
      class: request.class,
      tokens: request.tokens,
      queued_at: times.queued_at,
    };
    if (!this.#queue.add(queued)) return undefined;
    const { promise, resolve } = createDeferredReply();
    const waiter = {
      key,
      ask: request,
      ...times,
      reply: promise,
      answer: resolve,
    };
    this.#waiters.set(key, waiter);
    this.#adjustCount(request.version, 1);
    return waiter;
  }

  /** Removes and returns the next waiter for whose request `accepts` returns
   * true. */
  take(
    now: number,
    accepts: (request: QueuedRequest) => boolean,
  ): Waiter | undefined {
    const taken = this.#queue.take({ now, accepts });
    return taken === undefined ? undefined : this.#remove(taken.id);
  }

  /** The next request for which `accepts` returns true. It stays in the
   * queue. */
  peek(
    now: number,
    accepts: (request: QueuedRequest) => boolean,
  ): QueuedRequest | undefined {
    return this.#queue.peek({ now, accepts });
  }

  /** Removes a waiter and resolves its reply. Returns false if there is no
   * waiter with this key. */
  end(key: string, reply: PermitReply): boolean {
    if (!this.#waiters.has(key)) return false;
    this.#queue.remove(key);
    this.#remove(key)?.answer(reply);
    return true;
  }

  /** Corrects the tokens that a workspace was charged for a grant. */
  settle(charge: TokenCharge): void {
    this.#queue.settle(charge);
  }

  /** Waiters for which `matches` returns true. */
  filter(matches: (waiter: Waiter) => boolean): readonly Waiter[] {
    return [...this.#waiters.values()].filter(matches);
  }

  /** Earliest `wait_until` of a waiter, or infinity. */
  nextWaitEnd(): number {
    let earliest = Infinity;
    for (const waiter of this.#waiters.values()) {
      earliest = Math.min(earliest, waiter.wait_until);
    }
    return earliest;
  }

  #remove(key: string): Waiter | undefined {
    const waiter = this.#waiters.get(key);
    if (waiter === undefined) return undefined;
    this.#waiters.delete(key);
    this.#adjustCount(waiter.ask.version, -1);
    return waiter;
  }

  #adjustCount(version: string | undefined, by: number): void {
    if (version === undefined) return;
    const count = this.countOf(version) + by;
    if (count === 0) this.#by_version.delete(version);
    else this.#by_version.set(version, count);
  }
}

function createDeferredReply(): {
  readonly promise: Promise<PermitReply>;
  readonly resolve: (reply: PermitReply) => void;
} {
  let resolve: (reply: PermitReply) => void = () => {};
  const promise = new Promise<PermitReply>((done) => {
    resolve = done;
  });
  return { promise, resolve };
}
