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
const SLOT_MS = 250;

/** Part of the limit that counts as used when a process starts: others may have
 * used it just before all instances were lost. It leaves the window like any
 * other use. A single process that starts takes the level of one that ran. */
const START_USED_FRACTION = 0.8;

/** Slots from which the others' use of late is taken. */
const RECENT_SLOTS = 3;

/** Part of the burst that large requests leave to small ones: a call of an
 * application costs a fraction of a generation, and must not starve beside
 * generations that use up the rate. */
const RESERVED_FRACTION = 0.1;

/** A request is large from this part of the burst. */
const LARGE_FRACTION = 0.005;

/** How fast the assumed age of the others' counts falls when they tell more
 * often, for each count. */
const AGE_DECAY = 0.95;

/** A workspace's limits, in units. */
export interface RateLimit {
  readonly perSecond: number;
  readonly burst: number;
}

/** Units by slot, for a window that moves with time. */
class SlotWindow {
  readonly #units: number[];
  #slot: number;
  #total = 0;

  constructor(slots: number, now: number) {
    this.#units = new Array<number>(slots).fill(0);
    this.#slot = Math.floor(now / SLOT_MS);
  }

  get total(): number {
    return this.#total;
  }

  advance(now: number): void {
    const slot = Math.floor(now / SLOT_MS);
    const steps = Math.min(slot - this.#slot, this.#units.length);
    for (let i = 1; i <= steps; i++) {
      const index = this.#index(slot - steps + i);
      this.#total -= this.#units[index] ?? 0;
      this.#units[index] = 0;
    }
    this.#slot = Math.max(slot, this.#slot);
  }

  add(units: number): void {
    const index = this.#index(this.#slot);
    this.#units[index] = (this.#units[index] ?? 0) + units;
    this.#total += units;
  }

  /** Adds units as if they had been used evenly over the whole window. */
  addEvenly(units: number): void {
    const each = Math.ceil(units / this.#units.length);
    for (let i = 0; i < this.#units.length; i++) {
      this.#units[i] = (this.#units[i] ?? 0) + each;
      this.#total += each;
    }
  }

  /** Units of the latest slots. */
  recent(slots: number): number {
    let sum = 0;
    for (let i = 0; i < Math.min(slots, this.#units.length); i++) {
      sum += this.#units[this.#index(this.#slot - i)] ?? 0;
    }
    return sum;
  }

  /** Units a millisecond over the whole window; the latest slot is under way. */
  perMs(now: number): number {
    const passed = (this.#units.length - 1) * SLOT_MS + now % SLOT_MS;
    return this.#total / Math.max(SLOT_MS, passed);
  }

  /** Milliseconds until this many units have left the window. */
  waitMs(units: number, now: number): number {
    const { length } = this.#units;
    let left = units;
    for (let i = length - 1; i >= 0; i--) {
      const slot = this.#slot - i;
      left -= this.#units[this.#index(slot)] ?? 0;
      if (left <= 0) return Math.max(0, (slot + length) * SLOT_MS - now);
    }
    return length * SLOT_MS;
  }

  #index(slot: number): number {
    const { length } = this.#units;
    return ((slot % length) + length) % length;
  }
}

/** The use of one workspace as one instance sees it. */
export class TokenRate {
  #limit: RateLimit;
  readonly #windowMs: number;
  readonly #window: SlotWindow;
  readonly #own: SlotWindow;
  /** The others' use of late. */
  readonly #others: SlotWindow;
  #now: number;
  #silentShare = 0;
  #used = 0;
  /** Age of the others' counts, in milliseconds. */
  #ageMs = 0;
  readonly #peerUsed = new Map<string, { incarnation: string; used: number }>();

  constructor(
    limit: RateLimit,
    options: { readonly now: number; readonly windowMs: number },
  ) {
    const { now, windowMs } = options;
    this.#limit = limit;
    this.#windowMs = windowMs;
    this.#now = now;
    // One more, so that nothing leaves too early.
    const slots = Math.ceil(windowMs / SLOT_MS) + 1;
    this.#window = new SlotWindow(slots, now);
    this.#own = new SlotWindow(slots, now);
    this.#others = new SlotWindow(RECENT_SLOTS, now);
    this.#window.addEvenly(this.#allowed * START_USED_FRACTION);
  }

  /** Units that this process has let pass since its start. */
  get used(): number {
    return this.#used;
  }

  /** Units left at the last step; below zero after others have told of their
   * use. */
  get level(): number {
    return this.#allowed - this.#window.total - this.#untold;
  }

  /** Units left now. */
  levelAt(now: number): number {
    this.advance(now, this.#silentShare);
    return this.level;
  }

  /** Puts another limit in force. */
  setLimit(limit: RateLimit): void {
    this.#limit = limit;
  }

  /** Moves the window to `now`. `silentShare` is the part of all instances that
   * has not been heard of lately. */
  advance(now: number, silentShare: number): void {
    this.#now = now;
    this.#silentShare = silentShare;
    this.#window.advance(now);
    this.#own.advance(now);
    this.#others.advance(now);
  }

  /** A peer tells `now` how much it has let pass since its start; it does so
   * every `everyMs`. */
  learn(
    peer: string,
    told: {
      readonly incarnation: string;
      readonly used: number;
      readonly everyMs: number;
      readonly now: number;
    },
  ): void {
    const { incarnation, used, everyMs, now } = told;
    // This instance may have had no request for long: what is told now must not
    // count as used then.
    this.advance(now, this.#silentShare);
    const known = this.#peerUsed.get(peer);
    const before = known?.incarnation === incarnation ? known.used : undefined;
    if (before !== undefined && used < before) return;
    this.#peerUsed.set(peer, { incarnation, used });
    this.#ageMs = Math.max(everyMs, this.#ageMs * AGE_DECAY);
    // A peer heard of for the first time: its past use lies before this
    // process's own level.
    if (before === undefined) return;
    this.#window.add(used - before);
    this.#others.add(used - before);
  }

  /** Takes the level of an instance that has run for longer, if it is lower. */
  adopt(level: number, now: number): void {
    const own = this.levelAt(now);
    if (level < own) this.#window.addEvenly(own - level);
  }

  /** Takes `units` if there are that many, and tells so.
   *
   * @example
   * ```ts
   * rate.advance(performance.now(), 0);
   * if (!rate.take(1200)) refuse(rate.waitMs(1200));
   * ```
   */
  take(units: number): boolean {
    if (this.level < this.#needed(units)) return false;
    this.#window.add(units);
    this.#own.add(units);
    this.#used += units;
    return true;
  }

  /** Puts back what a request took that did not run. */
  giveBack(units: number): void {
    this.#window.add(-units);
    this.#own.add(-units);
    this.#used -= units;
  }

  /** Milliseconds until `units` are there if nobody else uses any. */
  waitMs(units: number): number {
    const missing = this.#needed(units) - this.level;
    return missing <= 0 ? 0 : this.#window.waitMs(missing, this.#now);
  }

  get #allowed(): number {
    const { perSecond, burst } = this.#limit;
    const limit = perSecond * this.#windowMs / 1000 + burst;
    return limit * (1 - this.#silentShare);
  }

  /** What the others may have used since they told it last: as much as before,
   * or as this instance has, in proportion. */
  get #untold(): number {
    const asBefore = this.#others.perMs(this.#now) * this.#ageMs;
    const slots = Math.ceil(this.#ageMs / SLOT_MS) + 1;
    const asHere = this.#own.recent(slots) * (1 / this.#share - 1);
    return Math.max(asBefore, asHere);
  }

  /** Part of all use in the window that was this instance's, or an equal one. */
  get #share(): number {
    const equal = 1 / (this.#peerUsed.size + 1);
    const part = this.#own.total / Math.max(1, this.#window.total);
    return Math.min(1, Math.max(equal, part));
  }

  /** The level at which a request may pass. */
  #needed(units: number): number {
    const { burst } = this.#limit;
    const reserved = units > burst * LARGE_FRACTION
      ? burst * RESERVED_FRACTION
      : 0;
    return Math.min(units + reserved, this.#allowed);
  }
}
