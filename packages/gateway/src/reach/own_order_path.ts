/** Whether orders of this instance reach engines.
 *
 * @module
 */
import { type MemberTable, OWNER_CUT_MS } from "@banyanlb/serving";

/** Least time for which an owner that had no path orders nothing, in milliseconds:
 * others may still act on what it reported. */
const HOLD_MIN_MS = 2000;

/** What the path of orders depends on. */
export interface OwnOrderPathOptions {
  readonly members: MemberTable;
  /** Minimum time between the orders of two owners, in milliseconds. */
  readonly orderGapMs: number;
  /** Time since the assignment was last known to be the newest, in
   * milliseconds. */
  readonly assignmentAgeMs: (now: number) => number;
}

/** The path of this instance's orders. An owner that had none may have lost its
 * engines without having heard of it, so it orders nothing for a while after, and
 * until the assignment is confirmed. */
export class OwnOrderPath {
  readonly #self: string;
  readonly #members: MemberTable;
  readonly #options: OwnOrderPathOptions;
  #cutSince: number | undefined;
  #restoredAt = -Infinity;
  /** Whether another instance could have taken over engines. */
  #hadSuccessor = false;

  constructor(self: string, options: OwnOrderPathOptions) {
    this.#self = self;
    this.#members = options.members;
    this.#options = options;
  }

  /** Records whether there is a path. Called regularly. */
  record(hasPath: boolean, now: number): void {
    this.#members.orderPaths.record(this.#self, hasPath, now);
    if (!hasPath) {
      this.#cutSince ??= now;
      // Others may report the same a moment later.
      if (now - this.#cutSince < OWNER_CUT_MS) return;
      this.#hadSuccessor ||= this.#hasSuccessor(now);
    } else if (this.#cutSince !== undefined) {
      // The others may not hear that it was so short.
      if (now - this.#cutSince < OWNER_CUT_MS) {
        this.#hadSuccessor = this.#hasSuccessor(now);
      }
      this.#restoredAt = this.#hadSuccessor ? now : -Infinity;
      this.#cutSince = undefined;
      this.#hadSuccessor = false;
    }
  }

  /** Whether this instance may send orders to the engines that it owns. */
  get mayOrder(): boolean {
    if (this.#cutSince !== undefined) return false;
    if (this.#restoredAt === -Infinity) return true;
    const { orderGapMs, assignmentAgeMs } = this.#options;
    const now = performance.now();
    const restoredMs = now - this.#restoredAt;
    return restoredMs >= Math.max(orderGapMs, HOLD_MIN_MS) &&
      assignmentAgeMs(now) <= restoredMs;
  }

  /** Whether it may get engines of others. */
  get mayTakeOver(): boolean {
    const { orderPaths } = this.#members;
    return this.mayOrder &&
      orderPaths.mayTakeOver(this.#self, performance.now());
  }

  #hasSuccessor(now: number): boolean {
    const { orderPaths } = this.#members;
    return this.#members.list().some(({ name }) =>
      this.#members.isAlive(name, now) && orderPaths.mayTakeOver(name, now)
    );
  }
}
