/** Holder side of the rate limiter: the buckets of the workspaces on the slots
 * that this instance holds.
 *
 * @module
 */
import type { Clock, Metrics } from "@banyanlb/core";
import {
  REPLY_STEP_TOKENS,
  RESERVATION_TIMEOUT_MS,
  RESERVATION_VALIDITY_MS,
} from "./constants.ts";
import type {
  ReserveAsk,
  ReserveReply,
  SettleBatch,
  ShareLevel,
  SlotLevels,
} from "./generated/rate_messages.ts";
import type { HolderLevel } from "./level_estimates.ts";
import { type RateWorkspace, type ShareLimits, shareLimits } from "./limits.ts";
import { ShareBucket, type ShareReservation } from "./share_bucket.ts";

/** The lease under which this instance holds its slots. */
export interface RateLease {
  /** Milliseconds until the lease expires; zero or less after expiry. */
  remaining(): number;
}

/** Options of {@linkcode RateShares.hold}. */
export interface HoldOptions {
  /** The slot's epoch, which increases with each new holder. */
  readonly epoch: number;
  /** Levels returned by the previous holder's `release`. Absent: the buckets
   * start empty. */
  readonly handover?: SlotLevels;
}

/** Dependencies of {@linkcode RateShares}. */
export interface RateSharesDeps {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly lease: RateLease;
  /** Creates a bucket. Default: an empty {@linkcode ShareBucket}. */
  readonly create_bucket?: (limits: ShareLimits, now: number) => ShareBucket;
}

interface BucketReservation {
  readonly bucket: ShareBucket;
  readonly reservation: ShareReservation;
}

interface ReservationRecord {
  readonly at: number;
  readonly parts: readonly BucketReservation[];
  readonly granted: number;
  readonly validity_ms: number;
}

/** The grant that answers a request for tokens. */
type GrantResult = Pick<ReservationRecord, "granted" | "validity_ms">;

const NO_GRANT: GrantResult = {
  granted: 0,
  validity_ms: RESERVATION_VALIDITY_MS,
};

type Buckets = Map<string, ShareBucket>;

/** Rounds a level or limit up to a multiple of `REPLY_STEP_TOKENS`, so that it
 * is short in JSON. An estimate that is too high costs the entry instance at
 * most one message. */
function roundUpLevel(tokens: number): number {
  return Math.ceil(tokens / REPLY_STEP_TOKENS) * REPLY_STEP_TOKENS;
}

function toShareLevel(
  name: string,
  bucket: ShareBucket,
  now: number,
): ShareLevel {
  const { level, limits } = bucket.exportShare(now);
  const { rate, capacity, validity_ms } = limits;
  return { w: name, l: level, r: rate, c: capacity, d: validity_ms };
}

/** The shares that this instance holds.
 *
 * @example
 * ```ts
 * const shares = new RateShares({ clock, metrics, lease });
 * shares.setWorkspaces([{ name: "a", rate: 9, burst: 9, slots: [0, 1, 2] }]);
 * shares.hold(0, { epoch: 4 });
 * shares.reserve({ w: "a", i: "me.1", n: 2, s: [0] }).g; // 0: still empty
 * ```
 */
export class RateShares {
  readonly #deps: RateSharesDeps;
  readonly #slots = new Map<number, Buckets>();
  readonly #epochs = new Map<number, number>();
  /** Slots whose levels were imported under the current epoch. */
  readonly #seeded_slots = new Set<number>();
  readonly #reservations = new Map<string, ReservationRecord>();
  #workspaces: readonly RateWorkspace[] = [];

  constructor(deps: RateSharesDeps) {
    this.#deps = deps;
  }

  /** Starts to hold a slot. An epoch below the latest one of the slot has no
   * effect. The handover may follow in a later call with the same epoch. It is
   * imported only once, so that a repeated handover cannot restore tokens. */
  hold(slot: number, options: HoldOptions): void {
    const last_epoch = this.#epochs.get(slot) ?? -1;
    if (options.epoch < last_epoch) return;
    if (options.epoch > last_epoch) {
      this.#epochs.set(slot, options.epoch);
      this.#seeded_slots.delete(slot);
      this.#createBuckets(slot);
    }
    if (options.handover === undefined || this.#seeded_slots.has(slot)) return;
    this.#seeded_slots.add(slot);
    this.#importLevels(slot, options.handover);
  }

  /** Holds a released slot again with the levels from its release. Call this
   * only if it is certain that no other instance took the slot over. Has no
   * effect on a slot that is held or has another epoch. */
  resume(slot: number, options: Required<HoldOptions>): void {
    if (this.#slots.has(slot)) return;
    if (options.epoch !== this.#epochs.get(slot)) return;
    this.#seeded_slots.add(slot);
    this.#createBuckets(slot);
    this.#importLevels(slot, options.handover);
  }

  /** Stops holding a slot and returns its levels for the next holder. */
  release(slot: number): SlotLevels {
    const buckets = this.#slots.get(slot) ?? new Map<string, ShareBucket>();
    this.#slots.delete(slot);
    // Once the lease has expired, a successor may already grant tokens.
    // Levels handed over now would let tokens be spent twice.
    if (this.#deps.lease.remaining() <= 0) return { v: [] };
    const now = this.#deps.clock.now();
    const rows = [...buckets];
    return { v: rows.map(([name, bucket]) => toShareLevel(name, bucket, now)) };
  }

  /** Applies a configuration. The buckets of a workspace that is new to this
   * instance start empty, because other holders may have applied the
   * configuration and granted tokens for some time already. */
  setWorkspaces(workspaces: readonly RateWorkspace[]): void {
    this.#workspaces = workspaces;
    for (const [slot, buckets] of this.#slots) {
      const assigned = workspaces.filter((w) => w.slots.includes(slot));
      const names = new Set(assigned.map((w) => w.name));
      for (const name of buckets.keys()) {
        if (!names.has(name)) buckets.delete(name);
      }
      for (const workspace of assigned) this.#setWorkspace(buckets, workspace);
    }
  }

  /** Grants up to `request.n` tokens from the shares on the slots `request.s`.
   * A repeated request gets the same grant until it is settled. */
  reserve(request: ReserveAsk): ReserveReply {
    if (request.x !== undefined) this.settle({ x: request.x });
    this.#expireReservations();
    const buckets = this.#bucketsOf(request);
    const existing = this.#reservations.get(request.i);
    if (existing !== undefined) return this.#reply(buckets, existing);
    if (buckets.length === 0) return this.#reply([], NO_GRANT);
    const grant = this.#grant(request, buckets);
    this.#deps.metrics.count("rate.reserve", {
      outcome: grant.granted < request.n ? "partial" : "full",
    });
    return this.#reply(buckets, grant);
  }

  /** Settles reservations. Unknown and repeated ids are ignored. */
  settle(batch: SettleBatch): void {
    const now = this.#deps.clock.now();
    for (const { i, u } of batch.x) {
      const record = this.#reservations.get(i);
      if (record === undefined) continue;
      this.#reservations.delete(i);
      this.#settleParts(record, { used: u, now });
    }
  }

  /** Level and limits of a workspace's shares on those of the given slots that
   * this instance holds. */
  levelOf(workspace: string, slots: readonly number[]): HolderLevel {
    const request = { w: workspace, i: "", n: 0, s: [...slots] };
    const reply = this.#reply(this.#bucketsOf(request), NO_GRANT);
    const { l: level, r: rate, c: capacity, h: shares } = reply;
    return { level, rate, capacity, shares };
  }

  #createBuckets(slot: number): void {
    const buckets: Buckets = new Map();
    this.#slots.set(slot, buckets);
    for (const workspace of this.#workspaces) {
      if (workspace.slots.includes(slot)) this.#addBucket(buckets, workspace);
    }
  }

  #importLevels(slot: number, handover: SlotLevels): void {
    const now = this.#deps.clock.now();
    for (const { w, l, r, c, d } of handover.v) {
      const limits = { rate: r, capacity: c, validity_ms: d };
      const bucket = this.#slots.get(slot)?.get(w);
      bucket?.importShare({ level: l, limits }, now);
    }
  }

  #setWorkspace(buckets: Buckets, workspace: RateWorkspace): void {
    const bucket = buckets.get(workspace.name);
    if (bucket === undefined) {
      this.#addBucket(buckets, workspace);
      return;
    }
    const limits = shareLimits(workspace);
    const old_limits = bucket.limits;
    const is_unchanged = old_limits.rate === limits.rate &&
      old_limits.capacity === limits.capacity;
    if (!is_unchanged) bucket.setLimits(limits, this.#deps.clock.now());
  }

  #addBucket(buckets: Buckets, workspace: RateWorkspace): ShareBucket {
    const create = this.#deps.create_bucket ??
      ((limits, now) => new ShareBucket(limits, now));
    const bucket = create(shareLimits(workspace), this.#deps.clock.now());
    buckets.set(workspace.name, bucket);
    return bucket;
  }

  #bucketsOf(request: ReserveAsk): readonly ShareBucket[] {
    if (this.#deps.lease.remaining() <= 0) return [];
    return [...new Set(request.s)]
      .map((slot) => this.#slots.get(slot)?.get(request.w))
      .filter((bucket) => bucket !== undefined);
  }

  #grant(request: ReserveAsk, buckets: readonly ShareBucket[]): GrantResult {
    const now = this.#deps.clock.now();
    const parts: BucketReservation[] = [];
    let granted = 0;
    for (const bucket of buckets) {
      const reservation = bucket.reserve(request.n - granted, now);
      if (reservation.granted === 0) continue;
      parts.push({ bucket, reservation });
      granted += reservation.granted;
    }
    if (granted === 0) return NO_GRANT;
    const validities_ms = parts.map((part) => part.bucket.limits.validity_ms);
    const validity_ms = Math.min(...validities_ms);
    this.#reservations.set(request.i, { at: now, parts, granted, validity_ms });
    return { granted, validity_ms };
  }

  #reply(buckets: readonly ShareBucket[], grant: GrantResult): ReserveReply {
    const now = this.#deps.clock.now();
    const sum = (value: (bucket: ShareBucket) => number) =>
      buckets.reduce((total, bucket) => total + value(bucket), 0);
    return {
      g: grant.granted,
      l: roundUpLevel(sum((bucket) => bucket.level(now))),
      r: roundUpLevel(sum((bucket) => bucket.limits.rate)),
      c: roundUpLevel(sum((bucket) => bucket.limits.capacity)),
      d: grant.validity_ms,
      h: buckets.length,
    };
  }

  #settleParts(
    record: ReservationRecord,
    outcome: { readonly used: number; readonly now: number },
  ): void {
    let remaining = outcome.used;
    const last = record.parts.at(-1);
    for (const part of record.parts) {
      const { bucket, reservation } = part;
      const used = part === last
        ? remaining
        : Math.min(remaining, reservation.granted);
      bucket.settle(reservation, { used, now: outcome.now });
      remaining -= used;
    }
  }

  #expireReservations(): void {
    const now = this.#deps.clock.now();
    for (const [id, record] of this.#reservations) {
      if (now - record.at < RESERVATION_TIMEOUT_MS) return;
      this.#reservations.delete(id);
      this.#deps.metrics.count("rate.expired");
      for (const { bucket, reservation } of record.parts) {
        bucket.expire(reservation, now);
      }
    }
  }
}
