/** A workspace's rate over all instances, kept from what each one tells.
 *
 * Within any window of the deployment's length a workspace may use its rate
 * times the window, and its burst once. Every instance keeps the same window:
 * it counts its own use at once and the others' when they tell it. What they
 * have used since is estimated, or a flood would pass at all instances until
 * they have heard of each other. An instance that does not hear from a peer
 * leaves the peer's equal share alone, so parts that are cut off from each other
 * cannot use more than the limit between them.
 *
 * @module
 */

/** Use is counted in slots of this length, in milliseconds: what has left the
 * window is known that exactly. */
const BUCKET_MS = 250;

/** Part of the limit that counts as used when a process starts: others may have
 * used it just before all instances were lost. It leaves the window like any
 * other use. A single process that starts takes the level of one that ran. */
const START_USED_FRACTION = 0.8;

/** Slots from which the others' use of late is taken. */
const PEER_USE_BUCKETS = 3;

/** Part of the burst that large requests leave to small ones: a call of an
 * application costs a fraction of a generation, and must not starve beside
 * generations that use up the rate. */
const SMALL_REQUEST_RESERVE_FRACTION = 0.1;

/** A request is large from this part of the burst. */
const LARGE_REQUEST_FRACTION = 0.005;

/** How fast the assumed age of the others' counts falls when they tell more
 * often, for each count. */
const REPORT_AGE_DECAY = 0.95;

/** A workspace's limits, in units. */
export interface RateLimit {
  readonly perSecond: number;
  readonly burst: number;
}

/** Units by slot, for a window that moves with time. */
class SlidingWindow {
  readonly #unitsByBucket: number[];
  #currentBucket: number;
  #total = 0;

  constructor(bucketCount: number, now: number) {
    this.#unitsByBucket = new Array<number>(bucketCount).fill(0);
    this.#currentBucket = Math.floor(now / BUCKET_MS);
  }

  get total(): number {
    return this.#total;
  }

  advance(now: number): void {
    const bucket = Math.floor(now / BUCKET_MS);
    const steps = Math.min(
      bucket - this.#currentBucket,
      this.#unitsByBucket.length,
    );
    for (let i = 1; i <= steps; i++) {
      const index = this.#index(bucket - steps + i);
      this.#total -= this.#unitsByBucket[index] ?? 0;
      this.#unitsByBucket[index] = 0;
    }
    this.#currentBucket = Math.max(bucket, this.#currentBucket);
  }

  add(units: number): void {
    const index = this.#index(this.#currentBucket);
    this.#unitsByBucket[index] = (this.#unitsByBucket[index] ?? 0) + units;
    this.#total += units;
  }

  /** Adds units as if they had been used evenly over the whole window. */
  addEvenly(units: number): void {
    const unitsPerBucket = Math.ceil(units / this.#unitsByBucket.length);
    for (let i = 0; i < this.#unitsByBucket.length; i++) {
      this.#unitsByBucket[i] = (this.#unitsByBucket[i] ?? 0) + unitsPerBucket;
      this.#total += unitsPerBucket;
    }
  }

  /** Units of the latest slots. */
  recentUnits(bucketCount: number): number {
    let sum = 0;
    for (
      let i = 0;
      i < Math.min(bucketCount, this.#unitsByBucket.length);
      i++
    ) {
      sum += this.#unitsByBucket[this.#index(this.#currentBucket - i)] ?? 0;
    }
    return sum;
  }

  /** Units a millisecond over the whole window; the latest slot is under way. */
  unitsPerMs(now: number): number {
    const elapsedMs = (this.#unitsByBucket.length - 1) * BUCKET_MS +
      now % BUCKET_MS;
    return this.#total / Math.max(BUCKET_MS, elapsedMs);
  }

  /** Milliseconds until this many units have left the window. */
  waitMs(units: number, now: number): number {
    const { length } = this.#unitsByBucket;
    let rest = units;
    for (let i = length - 1; i >= 0; i--) {
      const bucket = this.#currentBucket - i;
      rest -= this.#unitsByBucket[this.#index(bucket)] ?? 0;
      if (rest <= 0) return Math.max(0, (bucket + length) * BUCKET_MS - now);
    }
    return length * BUCKET_MS;
  }

  #index(bucket: number): number {
    const { length } = this.#unitsByBucket;
    return ((bucket % length) + length) % length;
  }
}

/** The use of one workspace as one instance sees it. */
export class TokenRate {
  #limit: RateLimit;
  readonly #windowMs: number;
  readonly #window: SlidingWindow;
  readonly #ownUse: SlidingWindow;
  /** The others' use of late. */
  readonly #peerUse: SlidingWindow;
  #now: number;
  #unresponsiveFraction = 0;
  #used = 0;
  /** Age of the others' counts, in milliseconds. */
  #reportAgeMs = 0;
  readonly #reportedByPeer = new Map<
    string,
    { incarnation: string; used: number }
  >();

  constructor(
    limit: RateLimit,
    options: { readonly now: number; readonly windowMs: number },
  ) {
    const { now, windowMs } = options;
    this.#limit = limit;
    this.#windowMs = windowMs;
    this.#now = now;
    // One more, so that nothing leaves too early.
    const bucketCount = Math.ceil(windowMs / BUCKET_MS) + 1;
    this.#window = new SlidingWindow(bucketCount, now);
    this.#ownUse = new SlidingWindow(bucketCount, now);
    this.#peerUse = new SlidingWindow(PEER_USE_BUCKETS, now);
    this.#window.addEvenly(this.#allowedUnits * START_USED_FRACTION);
  }

  /** Units that this process has let pass since its start. */
  get used(): number {
    return this.#used;
  }

  /** Units left at the last step; below zero after others have told of their
   * use. */
  get level(): number {
    return this.#allowedUnits - this.#window.total - this.#unreportedUse;
  }

  /** Units left now. */
  levelAt(now: number): number {
    this.advance(now, this.#unresponsiveFraction);
    return this.level;
  }

  /** Puts another limit in force. */
  setLimit(limit: RateLimit): void {
    this.#limit = limit;
  }

  /** Moves the window to `now`. `silentShare` is the part of all instances that
   * has not been heard of lately. */
  advance(now: number, unresponsiveFraction: number): void {
    this.#now = now;
    this.#unresponsiveFraction = unresponsiveFraction;
    this.#window.advance(now);
    this.#ownUse.advance(now);
    this.#peerUse.advance(now);
  }

  /** A peer tells `now` how much it has let pass since its start; it does so
   * every `everyMs`. */
  recordPeerUse(
    peer: string,
    report: {
      readonly incarnation: string;
      readonly used: number;
      readonly digestIntervalMs: number;
      readonly now: number;
    },
  ): void {
    const { incarnation, used, digestIntervalMs, now } = report;
    // This instance may have had no request for long: what is told now must not
    // count as used then.
    this.advance(now, this.#unresponsiveFraction);
    const previous = this.#reportedByPeer.get(peer);
    const previousUsed = previous?.incarnation === incarnation
      ? previous.used
      : undefined;
    if (previousUsed !== undefined && used < previousUsed) return;
    this.#reportedByPeer.set(peer, { incarnation, used });
    this.#reportAgeMs = Math.max(
      digestIntervalMs,
      this.#reportAgeMs * REPORT_AGE_DECAY,
    );
    // A peer heard of for the first time: its past use lies before this
    // process's own level.
    if (previousUsed === undefined) return;
    this.#window.add(used - previousUsed);
    this.#peerUse.add(used - previousUsed);
  }

  /** Takes the level of an instance that has run for longer, if it is lower. */
  adoptLevel(level: number, now: number): void {
    const ownLevel = this.levelAt(now);
    if (level < ownLevel) this.#window.addEvenly(ownLevel - level);
  }

  /** Takes `units` if there are that many, and tells so.
   *
   * @example
   * ```ts
   * rate.advance(performance.now(), 0);
   * if (!rate.take(1200)) refuse(rate.waitMs(1200));
   * ```
   */
  tryTake(units: number): boolean {
    if (this.level < this.#requiredLevel(units)) return false;
    this.#window.add(units);
    this.#ownUse.add(units);
    this.#used += units;
    return true;
  }

  /** Puts back what a request took that did not run. */
  refund(units: number): void {
    this.#window.add(-units);
    this.#ownUse.add(-units);
    this.#used -= units;
  }

  /** Milliseconds until `units` are there if nobody else uses any. */
  waitMs(units: number): number {
    const missing = this.#requiredLevel(units) - this.level;
    return missing <= 0 ? 0 : this.#window.waitMs(missing, this.#now);
  }

  get #allowedUnits(): number {
    const { perSecond, burst } = this.#limit;
    const limit = perSecond * this.#windowMs / 1000 + burst;
    return limit * (1 - this.#unresponsiveFraction);
  }

  /** What the others may have used since they told it last: as much as before,
   * or as this instance has, in proportion. */
  get #unreportedUse(): number {
    const estimateFromPeers = this.#peerUse.unitsPerMs(this.#now) *
      this.#reportAgeMs;
    const bucketCount = Math.ceil(this.#reportAgeMs / BUCKET_MS) + 1;
    const estimateFromOwn = this.#ownUse.recentUnits(bucketCount) *
      (1 / this.#ownShare - 1);
    return Math.max(estimateFromPeers, estimateFromOwn);
  }

  /** Part of all use in the window that was this instance's, or an equal one. */
  get #ownShare(): number {
    const equalShare = 1 / (this.#reportedByPeer.size + 1);
    const measuredShare = this.#ownUse.total / Math.max(1, this.#window.total);
    return Math.min(1, Math.max(equalShare, measuredShare));
  }

  /** The level at which a request may pass. */
  #requiredLevel(units: number): number {
    const { burst } = this.#limit;
    const reservedUnits = units > burst * LARGE_REQUEST_FRACTION
      ? burst * SMALL_REQUEST_RESERVE_FRACTION
      : 0;
    return Math.min(units + reservedUnits, this.#allowedUnits);
  }
}
