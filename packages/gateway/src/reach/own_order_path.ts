/** Whether orders of this instance reach engines.
 *
 * @module
 */
import { type MemberTable, OWNER_CUT_MS } from "@banyanlb/serving";

/** The path of this instance's orders. An owner that had none may have lost its
 * engines without having heard of it, so it orders nothing for a while after. */
export class OwnOrderPath {
  readonly #self: string;
  readonly #members: MemberTable;
  /** Minimum time between the orders of two owners, in milliseconds. */
  readonly #orderGapMs: number;
  #cutSince: number | undefined;
  #restoredAt = -Infinity;
  /** Whether another instance could have taken over engines. */
  #hadSuccessor = false;

  constructor(
    self: string,
    options: { readonly members: MemberTable; readonly orderGapMs: number },
  ) {
    this.#self = self;
    this.#members = options.members;
    this.#orderGapMs = options.orderGapMs;
  }

  /** Records whether there is a path. Called regularly. */
  record(hasPath: boolean, now: number): void {
    this.#members.orderPaths.record(this.#self, hasPath, now);
    if (!hasPath) {
      this.#cutSince ??= now;
      // Others may report the same a moment later.
      if (now - this.#cutSince < OWNER_CUT_MS) return;
      const { orderPaths } = this.#members;
      this.#hadSuccessor ||= this.#members.list().some(({ name }) =>
        this.#members.isAlive(name, now) && orderPaths.mayTakeOver(name, now)
      );
    } else if (this.#cutSince !== undefined) {
      this.#restoredAt = this.#hadSuccessor ? now : -Infinity;
      this.#cutSince = undefined;
      this.#hadSuccessor = false;
    }
  }

  /** Whether this instance may send orders to the engines that it owns. */
  get mayOrder(): boolean {
    return this.#cutSince === undefined &&
      performance.now() - this.#restoredAt >= this.#orderGapMs;
  }

  /** Whether it may get engines of others. */
  get mayTakeOver(): boolean {
    const { orderPaths } = this.#members;
    return this.mayOrder &&
      orderPaths.mayTakeOver(this.#self, performance.now());
  }
}
