/** Permits and permit requests of an entry instance.
 *
 * @module
 */
import type { Clock, EventLog, Metrics, RequestClass } from "@banyanlb/core";
import { MAX_DEADLINE_MS } from "./constants.ts";
import { ReleaseOutbox } from "./release_outbox.ts";
import type {
  HeldPermit,
  PermitAcquireRequest,
  PermitReply,
  ReleaseOutcome,
  ReleaseSender,
  ReportRequest,
} from "./types.ts";

/** Dependencies of a ledger. */
export interface LedgerDeps {
  readonly clock: Clock;
  /** Session id of this process. */
  readonly session: string;
  readonly sender: ReleaseSender;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** Properties of the request that needs a permit. */
export interface AcquireOptions {
  readonly target: string;
  readonly version?: string | undefined;
  readonly workspace: string;
  readonly weight?: number;
  readonly class: RequestClass;
  readonly tokens: number;
  /** Milliseconds until the request's deadline. */
  readonly deadline_ms: number;
  /** Longest wait in the queue, in milliseconds. */
  readonly wait_ms?: number;
}

/** A permit granted to this entry. Times are monotonic milliseconds. */
export interface EntryPermit {
  readonly id: string;
  readonly target: string;
  readonly version: string | undefined;
  readonly workspace: string;
  readonly tokens: number;
  readonly epoch: number;
  readonly use_until: number;
  /** Time by which the request must have ended. */
  readonly deadline_at: number;
}

/** Why a permit may not be used; the request must not be sent. `unknown`: no
 * such permit. `revoked`: the target has a newer owner. `late`: the time limit
 * for using the permit or the request's deadline has passed. */
export type UseRefusal = "unknown" | "revoked" | "late";

/** Result of {@linkcode PermitLedger.use}. */
export type UseResult =
  | { readonly usable: true; readonly remaining_ms: number }
  | { readonly usable: false; readonly reason: UseRefusal };

interface PendingRequest {
  readonly ask: PermitAcquireRequest;
  readonly sent_at: number;
}

/** Tracks the permit requests and permits of one process and sends the releases
 * to the owners.
 *
 * @example
 * ```ts
 * const request = ledger.open(options);
 * const permit = ledger.accept(request.id, await owner.acquire(request));
 * if (permit !== undefined && ledger.use(permit.id).usable) send(req);
 * ledger.release(permit.id, "done");
 * ```
 */
export class PermitLedger {
  readonly #deps: LedgerDeps;
  readonly #outbox: ReleaseOutbox;
  readonly #pending_requests = new Map<string, PendingRequest>();
  readonly #permits = new Map<string, EntryPermit>();
  readonly #used_ids = new Set<string>();
  readonly #epochs = new Map<string, number>();
  #next_id = 0;

  constructor(deps: LedgerDeps) {
    this.#deps = deps;
    this.#outbox = new ReleaseOutbox(deps);
  }

  /** Number of pending permit requests and of permits that are not released. */
  get size(): number {
    return this.#pending_requests.size + this.#permits.size;
  }

  /** Creates a permit request, whose times count from now. It includes the
   * pending releases for the target's owner. */
  open(options: AcquireOptions): PermitAcquireRequest {
    this.#next_id += 1;
    const epoch = this.#epochs.get(options.target);
    const releases = this.#outbox.takeFor(options.target);
    const request: PermitAcquireRequest = {
      ...options,
      id: this.#next_id.toString(36),
      session: this.#deps.session,
      deadline_ms: Math.min(options.deadline_ms, MAX_DEADLINE_MS),
      ...(epoch === undefined ? {} : { epoch }),
      ...(releases.length === 0 ? {} : { releases }),
    };
    this.#pending_requests.set(request.id, {
      ask: request,
      sent_at: this.#deps.clock.now(),
    });
    return request;
  }

  /** Processes the reply to a permit request. Returns `undefined` if the permit
   * was refused, or if it was granted by an owner that has been replaced; a
   * permit of a replaced owner is released as unused. */
  accept(id: string, reply: PermitReply): EntryPermit | undefined {
    const pending = this.#pending_requests.get(id);
    if (pending === undefined) return undefined;
    this.#pending_requests.delete(id);
    this.#outbox.acknowledge(pending.ask.releases ?? [], reply.untaken ?? []);
    if (reply.kind !== "granted") return undefined;
    const { target } = pending.ask;
    if (reply.epoch < (this.#epochs.get(target) ?? 0)) {
      this.#deps.metrics.count("permits.revoked");
      this.#outbox.add(
        { id, target, outcome: "unused" },
        this.#deadlineOf(pending),
      );
      return undefined;
    }
    this.#epochs.set(target, reply.epoch);
    const permit = createPermit(pending, reply);
    this.#permits.set(id, permit);
    return permit;
  }

  /** Ends a permit request that got no reply, and sends a release because the
   * owner may have granted the permit. */
  abandon(id: string): void {
    const pending = this.#pending_requests.get(id);
    if (pending === undefined) return;
    this.#pending_requests.delete(id);
    this.#outbox.retryNow(pending.ask.releases ?? []);
    const { target } = pending.ask;
    this.#outbox.add(
      { id, target, outcome: "unused" },
      this.#deadlineOf(pending),
    );
  }

  /** Checks whether a permit may be used, and marks it as used. Call it in the
   * turn of the event loop in which the request is sent. */
  use(id: string): UseResult {
    const permit = this.#permits.get(id);
    if (permit === undefined) return { usable: false, reason: "unknown" };
    const now = this.#deps.clock.now();
    if (permit.epoch < (this.#epochs.get(permit.target) ?? 0)) {
      return { usable: false, reason: "revoked" };
    }
    if (now > permit.use_until || now >= permit.deadline_at) {
      return { usable: false, reason: "late" };
    }
    this.#used_ids.add(id);
    return { usable: true, remaining_ms: permit.deadline_at - now };
  }

  /** Returns a permit to the owner, with the tokens that the request used.
   * After `failed` and `canceled` the target may still be running the
   * request. */
  release(id: string, outcome: ReleaseOutcome, tokens?: number): void {
    const permit = this.#permits.get(id);
    if (permit === undefined) return;
    this.#permits.delete(id);
    this.#used_ids.delete(id);
    const { target, deadline_at } = permit;
    const used = tokens === undefined ? {} : { tokens };
    this.#outbox.add({ id, target, outcome, ...used }, deadline_at);
  }

  /** Replies to a new owner's report request. Returns the permits of older
   * epochs that are in use, and revokes those that are not, including grants
   * that have not arrived yet. */
  report(request: ReportRequest): readonly HeldPermit[] {
    const now = this.#deps.clock.now();
    const known_epoch = this.#epochs.get(request.target) ?? 0;
    this.#epochs.set(request.target, Math.max(known_epoch, request.epoch));
    return [...this.#permits.values()]
      .filter((permit) => permit.target === request.target)
      .filter((permit) => permit.epoch < request.epoch)
      .filter((permit) => this.#used_ids.has(permit.id))
      .map((permit) => this.#toHeldPermit(permit, now));
  }

  /** Sends the pending releases once more and stops. */
  async close(): Promise<void> {
    await this.#outbox.close();
  }

  #toHeldPermit(permit: EntryPermit, now: number): HeldPermit {
    return {
      id: permit.id,
      session: this.#deps.session,
      version: permit.version,
      workspace: permit.workspace,
      tokens: permit.tokens,
      remaining_ms: Math.max(0, permit.deadline_at - now),
    };
  }

  #deadlineOf(pending: PendingRequest): number {
    return pending.sent_at + pending.ask.deadline_ms;
  }
}

function createPermit(
  pending: PendingRequest,
  reply: PermitReply & { readonly kind: "granted" },
): EntryPermit {
  const { id, target, version, workspace, tokens } = pending.ask;
  return {
    ...{ id, target, version, workspace, tokens },
    epoch: reply.epoch,
    use_until: pending.sent_at + reply.use_within_ms,
    deadline_at: pending.sent_at +
      Math.min(reply.deadline_ms, pending.ask.deadline_ms),
  };
}
