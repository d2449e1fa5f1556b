/** A workspace's rate over all instances, kept from what each one tells.
 *
 * Every instance runs the same bucket: it takes out its own use at once and the
 * others' when they tell it. An instance that does not hear from a peer counts
 * the peer's equal share as used, so parts that are cut off from each other
 * cannot spend more than the rate between them.
 *
 * @module
 */

/** Share of the burst that a process starts with. After the loss of all
 * instances callers return together and need more than the rate; a single
 * process that starts takes the level of one that ran before. */
const START_FRACTION = 0.6;

/** Part of the burst that large requests leave to small ones: a call of an
 * application costs a fraction of a generation, and must not starve beside
 * generations that use up the rate. */
const RESERVED_FRACTION = 0.1;

/** A request is large from this part of the burst. */
const LARGE_FRACTION = 0.005;

/** A workspace's limits, in units. */
export interface RateLimit {
  readonly perSecond: number;
  readonly burst: number;
}

/** The bucket of one workspace as one instance sees it. */
export class TokenRate {
  #limit: RateLimit;
  #level: number;
  #at: number;
  #used = 0;
  readonly #peerUsed = new Map<string, { incarnation: string; used: number }>();

  constructor(limit: RateLimit, now: number) {
    this.#limit = limit;
    this.#level = limit.burst * START_FRACTION;
    this.#at = now;
  }

  /** Units that this process has let pass since its start. */
  get used(): number {
    return this.#used;
  }

  /** Units left; below zero after others have told of their use. */
  get level(): number {
    return this.#level;
  }

  /** Puts another limit in force. A lower burst takes effect at once. */
  setLimit(limit: RateLimit): void {
    this.#limit = limit;
    this.#level = Math.min(this.#level, limit.burst);
  }

  /** Refills up to `now`. `silentShare` is the part of all instances that has
   * not been heard of lately. */
  refill(now: number, silentShare: number): void {
    const elapsed = Math.max(0, now - this.#at) / 1000;
    this.#at = now;
    const rate = this.#limit.perSecond * (1 - silentShare);
    this.#level = Math.min(this.#limit.burst, this.#level + elapsed * rate);
  }

  /** A peer tells how much it has let pass since its start. */
  learn(peer: string, incarnation: string, used: number): void {
    const known = this.#peerUsed.get(peer);
    const before = known?.incarnation === incarnation ? known.used : undefined;
    if (before !== undefined && used < before) return;
    this.#peerUsed.set(peer, { incarnation, used });
    // A peer heard of for the first time: its past use lies before this
    // process's own level.
    if (before === undefined) return;
    this.#level = Math.max(-this.#limit.burst, this.#level - (used - before));
  }

  /** Takes the level of an instance that has run for longer, if it is lower. */
  adopt(level: number): void {
    this.#level = Math.min(this.#level, level);
  }

  /** Takes `units` if there are that many, and tells so. */
  take(units: number): boolean {
    if (this.#level < this.#needed(units)) return false;
    this.#level -= units;
    this.#used += units;
    return true;
  }

  /** Puts back what a request took that did not run. */
  giveBack(units: number): void {
    this.#level = Math.min(this.#limit.burst, this.#level + units);
    this.#used -= units;
  }

  /** Milliseconds until `units` are there, at the full rate. */
  waitMs(units: number): number {
    const missing = this.#needed(units) - this.#level;
    return Math.max(0, missing / this.#limit.perSecond * 1000);
  }

  /** The level at which a request may pass. */
  #needed(units: number): number {
    const { burst } = this.#limit;
    const reserved = units > burst * LARGE_FRACTION
      ? burst * RESERVED_FRACTION
      : 0;
    return Math.min(units + reserved, burst);
  }
}
