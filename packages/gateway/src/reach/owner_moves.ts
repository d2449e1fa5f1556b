/** Which engines need another owner, and who may get them, by the paths of
 * instances to engines.
 *
 * @module
 */
import type { Member, MemberTable } from "@banyanlb/serving";
import type { OwnOrderPath } from "./own_order_path.ts";

/** The name of the instance in an owner, which is NAME#TENURE.
 *
 * @example
 * ```ts
 * instanceOf("front-1#31c737f1"); // "front-1"
 * ```
 */
export function instanceOf(owner: string): string {
  return owner.split("#")[0] ?? owner;
}

/** What the coordinator knows of paths at one moment. */
export class OwnerMoves {
  readonly #self: Member;
  readonly #members: MemberTable;
  readonly #alive: ReadonlySet<string>;
  readonly #now: number;
  /** The instances that may get engines. */
  readonly candidates: readonly Member[];
  readonly #hasReaching: boolean;

  constructor(
    self: Member,
    options: {
      readonly members: MemberTable;
      readonly ownPath: Pick<OwnOrderPath, "mayTakeOver">;
      /** Names of the other instances that are alive. */
      readonly alive: readonly string[];
      readonly now: number;
    },
  ) {
    const { members, ownPath, alive, now } = options;
    this.#self = self;
    this.#members = members;
    this.#alive = new Set(alive);
    this.#now = now;
    const heard = [self, ...members.list().filter((m) => this.#isHeard(m))];
    const reaching = heard.filter(({ name }) =>
      name === self.name
        ? ownPath.mayTakeOver
        : members.orderPaths.mayTakeOver(name, now)
    );
    this.#hasReaching = reaching.length > 0;
    this.candidates = this.#hasReaching ? reaching : heard;
  }

  /** Whether the engines of an owner need another one. What a silent owner
   * reported last may be over. */
  mustYield(owner: string): boolean {
    const name = instanceOf(owner);
    return this.#hasReaching && this.#isHeard({ name }) &&
      this.#members.orderPaths.mustYield(name, this.#now);
  }

  #isHeard({ name }: Pick<Member, "name">): boolean {
    return name === this.#self.name || this.#alive.has(name);
  }
}
