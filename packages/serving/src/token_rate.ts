/** Rate limit of a workspace over all instances, by a sliding window that each
 * instance keeps from its peers' reports.
 *
 * Within any window of the deployment's length a workspace may use its rate
 * times the window, plus its burst once. Each instance adds its own use to the
 * window at once, and its peers' use when they report it. Use since a peer's
 * last report is estimated; otherwise a burst would be admitted at every
 * instance until the reports arrive. An instance does not use the equal share
 * of an unresponsive peer, so the sides of a network partition together cannot
 * exceed the limit.
 *
 * @module
 */
import { BUCKET_MS, SlidingWindow } from "./sliding_window.ts";

/** Fraction of the limit that counts as used when a process starts: other
 * instances may have used it just before all of them were lost. It leaves the
 * window like any other use. If only one process starts, it adopts the level of
 * an instance that kept running. */
const START_USED_FRACTION = 0.8;

/** Number of buckets in which the peers' recent use is measured. */
const PEER_USE_BUCKETS = 3;

/** Fraction of the burst that large requests leave to small ones: an
 * application's small call costs a fraction of a generation, and must not
 * starve while generations use up the rate. */
const SMALL_REQUEST_RESERVE_FRACTION = 0.1;

/** Fraction of the burst above which a request is large. */
const LARGE_REQUEST_FRACTION = 0.005;

/** Factor per report by which the assumed age of the peers' reports falls when
 * they arrive more often. */
const REPORT_AGE_DECAY = 0.95;

/** A workspace's limits, in units. */
export interface RateLimit {
  readonly perSecond: number;
  readonly burst: number;
}

/** What a view of a workspace's use consists of, in units, for logs. */
export interface RateState {
  /** What may be used in a window. */
  readonly allowed: number;
  /** What this instance counts in its window: its own use, that in reports, and
   * the initial level. */
  readonly window: number;
  readonly own: number;
  /** Estimate of what peers have used since their reports. */
  readonly estimated: number;
  /** Since the start of the process: admitted less refunded; refunded; and what
   * the first reports of peers' processes said, which is not in the window. */
  readonly used: number;
  readonly refunded: number;
  readonly firstReports: number;
  readonly peers: number;
  /** The age that the estimate assumes, in milliseconds. */
  readonly assumedAgeMs: number;
}

/** One workspace's use and level in the view of one instance. */
export class TokenRate {
  #limit: RateLimit;
  readonly #windowMs: number;
  readonly #window: SlidingWindow;
  readonly #ownUse: SlidingWindow;
  /** The peers' recent use. */
  readonly #peerUse: SlidingWindow;
  #now: number;
  #unresponsiveFraction = 0;
  #used = 0;
  #refunded = 0;
  #firstReports = 0;
  /** Assumed age of the peers' reports, in milliseconds. */
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
    // One bucket more than the window needs, so that no use leaves it too
    // early.
    const bucketCount = Math.ceil(windowMs / BUCKET_MS) + 1;
    this.#window = new SlidingWindow(bucketCount, now);
    this.#ownUse = new SlidingWindow(bucketCount, now);
    this.#peerUse = new SlidingWindow(PEER_USE_BUCKETS, now);
    this.#window.addEvenly(this.#allowedUnits * START_USED_FRACTION);
  }

  /** Units that this process has admitted since its start. */
  get used(): number {
    return this.#used;
  }

  /** Units left as of the last `advance`; below zero after peers have reported
   * more use than was left. */
  get level(): number {
    return this.#allowedUnits - this.#window.total - this.#unreportedUse;
  }

  /** Units left at `now`. */
  levelAt(now: number): number {
    this.advance(now, this.#unresponsiveFraction);
    return this.level;
  }

  /** What the level consists of, as of the last `advance`. */
  get state(): RateState {
    return {
      allowed: Math.round(this.#allowedUnits),
      window: Math.round(this.#window.total),
      own: Math.round(this.#ownUse.total),
      estimated: Math.round(this.#unreportedUse),
      used: Math.round(this.#used),
      refunded: Math.round(this.#refunded),
      firstReports: Math.round(this.#firstReports),
      peers: this.#reportedByPeer.size,
      assumedAgeMs: Math.round(this.#reportAgeMs),
    };
  }

  /** Replaces the limit. */
  setLimit(limit: RateLimit): void {
    this.#limit = limit;
  }

  /** Moves the window to `now`. `unresponsiveFraction` is the fraction of all
   * instances that is unresponsive. */
  advance(now: number, unresponsiveFraction: number): void {
    this.#now = now;
    this.#unresponsiveFraction = unresponsiveFraction;
    this.#window.advance(now);
    this.#ownUse.advance(now);
    this.#peerUse.advance(now);
  }

  /** Records a peer's report, received at `now`, of the units that its process
   * has admitted since its start. The peer reports every `digestIntervalMs`. */
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
    // The window may not have moved for long: the reported use must not count
    // in an old bucket.
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
    // The first report of a peer's process: use before it is already part of
    // this process's initial level.
    if (previousUsed === undefined) {
      this.#firstReports += used;
      return;
    }
    this.#window.add(used - previousUsed);
    this.#peerUse.add(used - previousUsed);
  }

  /** Adopts the level of an instance that has run for longer, if that level is
   * lower. */
  adoptLevel(level: number, now: number): void {
    const ownLevel = this.levelAt(now);
    if (level < ownLevel) this.#window.addEvenly(ownLevel - level);
  }

  /** Uses `units` if the level allows it. Returns whether it does.
   *
   * @example
   * ```ts
   * rate.advance(performance.now(), 0);
   * if (!rate.tryTake(1200)) refuse(rate.waitMs(1200));
   * ```
   */
  tryTake(units: number): boolean {
    if (this.level < this.#requiredLevel(units)) return false;
    this.#window.add(units);
    this.#ownUse.add(units);
    this.#used += units;
    return true;
  }

  /** Refunds the units of a request that did not run. */
  refund(units: number): void {
    this.#window.add(-units);
    this.#ownUse.add(-units);
    this.#used -= units;
    this.#refunded += units;
  }

  /** Milliseconds until `units` are available if no other request uses any. */
  waitMs(units: number): number {
    const missing = this.#requiredLevel(units) - this.level;
    return missing <= 0 ? 0 : this.#window.waitMs(missing, this.#now);
  }

  get #allowedUnits(): number {
    const { perSecond, burst } = this.#limit;
    const limit = perSecond * this.#windowMs / 1000 + burst;
    return limit * (1 - this.#unresponsiveFraction);
  }

  /** Estimate of the peers' use since their last reports: at their recent rate,
   * or in proportion to this instance's recent use, whichever is more. */
  get #unreportedUse(): number {
    const estimateFromPeers = this.#peerUse.unitsPerMs(this.#now) *
      this.#reportAgeMs;
    const bucketCount = Math.ceil(this.#reportAgeMs / BUCKET_MS) + 1;
    const estimateFromOwn = this.#ownUse.recentUnits(bucketCount) *
      (1 / this.#ownShare - 1);
    return Math.max(estimateFromPeers, estimateFromOwn);
  }

  /** This instance's fraction of all use in the window, or an equal share if
   * that is more. */
  get #ownShare(): number {
    const equalShare = 1 / (this.#reportedByPeer.size + 1);
    const measuredShare = this.#ownUse.total / Math.max(1, this.#window.total);
    return Math.min(1, Math.max(equalShare, measuredShare));
  }

  /** The level from which a request of `units` is admitted. */
  #requiredLevel(units: number): number {
    const { burst } = this.#limit;
    const reservedUnits = units > burst * LARGE_REQUEST_FRACTION
      ? burst * SMALL_REQUEST_RESERVE_FRACTION
      : 0;
    return Math.min(units + reservedUnits, this.#allowedUnits);
  }
}
