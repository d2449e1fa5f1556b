/** How long an instance waits after a restore of the store before it orders at an
 * engine that it did not own over the restore.
 *
 * The assignment of a restored store may name an owner of before. Whoever owned
 * the engine in the time that the store has lost may order until its lease ends.
 * An instance that was not there learns from the members' entries when the store
 * was restored.
 *
 * @module
 */
import { type ClockPair, WALL_CLOCK_SKEW_MS } from "../clock_pair.ts";
import { ORDER_LEASE_MS } from "../order_lease.ts";
import { FIRST_ERA } from "./store_revision.ts";

/** When the store was found to be in an era, as members' entries tell it. */
export interface RestoreNotice {
  readonly era: number;
  /** Milliseconds of Unix time, by the clock of the one that found it. */
  readonly at: number;
}

/** The wait of one instance. */
export class RestoreWait {
  readonly #clocks: ClockPair;
  readonly #startedAt: number;
  readonly #startedAtWall: number;
  #notice: RestoreNotice | undefined;
  /** The time of the notice by the monotonic clock. */
  #noticedAt = -Infinity;

  constructor(clocks: ClockPair) {
    this.#clocks = clocks;
    const { monotonic, wall } = clocks.read();
    this.#startedAt = monotonic;
    this.#startedAtWall = wall;
  }

  /** Records that a call has found the store in a new era. */
  recordRestore(era: number): void {
    const { monotonic, wall } = this.#clocks.read();
    this.#notice = { era, at: wall };
    this.#noticedAt = monotonic;
  }

  /** Records what a member's entry tells; the earliest notice counts. */
  learn(notice: RestoreNotice, era: number): void {
    if (notice.era !== era) return;
    const isKnown = this.#notice?.era === era;
    if (isKnown && (this.#notice?.at ?? 0) <= notice.at) return;
    const { monotonic, wall } = this.#clocks.read();
    this.#notice = notice;
    const noticedAt = monotonic - (wall - notice.at) + WALL_CLOCK_SKEW_MS;
    this.#noticedAt = isKnown
      ? Math.min(this.#noticedAt, noticedAt)
      : noticedAt;
  }

  /** What this instance's entry tells of `era`; undefined in the first. */
  noticeOf(era: number): RestoreNotice | undefined {
    if (era === FIRST_ERA) return undefined;
    if (this.#notice?.era === era) return this.#notice;
    // It was restored before this process started.
    return { era, at: this.#startedAtWall };
  }

  /** Whether the owners of before a restore have ended in `era`. `gapMs` is the
   * minimum time between the orders of two owners.
   *
   * @example
   * ```ts
   * if (wait.isOver(store.era, orderGapMs)) order();
   * ```
   */
  isOver(era: number, gapMs: number): boolean {
    if (era === FIRST_ERA) return true;
    const since = this.#notice?.era === era ? this.#noticedAt : this.#startedAt;
    const { monotonic } = this.#clocks.read();
    return monotonic - since >= ORDER_LEASE_MS + gapMs;
  }
}
