/** Which other instances are alive, as their updates show.
 *
 * @module
 */
import type { MemberRole } from "./digest_pace.ts";
import type { ReadyMember } from "./steering.ts";
import type { Member } from "./types.ts";

/** How long an instance that fell silent still counts as alive, in
 * milliseconds: five updates at the usual pace, so that a busy moment takes
 * nobody out. */
export const UNRESPONSIVE_AFTER_MS = 1200;

/** The same in updates, for an instance that is heard of less often. */
const UNRESPONSIVE_AFTER_DIGESTS = 2.5;

/** How long after its start a process may not have heard of all others, in
 * milliseconds: they start within a second of each other, and dial anew. */
const STARTUP_GRACE_MS = 1500;

interface MemberState {
  readonly at: number;
  readonly leaving: boolean;
  readonly ready: boolean;
  /** Time between its updates at most, in milliseconds. */
  readonly digestIntervalMs: number;
  /** Whether callers use it. */
  readonly serves: boolean;
  /** Whether it orders at engines. */
  readonly orders: boolean;
  /** Part of its time for which it is busy, in [0, 1]. */
  readonly busy: number;
  /** Whether the store answers it. */
  readonly reachesStore: boolean;
  /** Under which it may own engines; undefined if the store did not confirm
   * one yet. */
  readonly tenure: string | undefined;
}

/** The other members, and when each was heard of last. */
export class MemberTable {
  #members: ReadonlyMap<string, Member> = new Map();
  readonly #states = new Map<string, MemberState>();
  readonly #ownName: string;
  readonly #startedAt: number;

  /** `now` is when this process started. */
  constructor(ownName: string, now: number) {
    this.#ownName = ownName;
    this.#startedAt = now;
  }

  /** Puts the list of the store in force. Members that are heard of stay, also
   * if the store turns them away. */
  setMembers(members: readonly Member[], now: number): void {
    const aliveMembers = this.list().filter((m) => this.isAlive(m.name, now));
    this.#members = new Map(
      [...members, ...aliveMembers].filter((m) => m.name !== this.#ownName)
        .map((m) => [m.name, m]),
    );
    for (const name of this.#states.keys()) {
      if (!this.#members.has(name)) this.#states.delete(name);
    }
  }

  /** Adds a member that introduced itself. */
  add(member: Member): void {
    if (member.name === this.#ownName) return;
    const members = new Map(this.#members);
    members.set(member.name, member);
    this.#members = members;
  }

  /** A member was heard. */
  setState(name: string, now: number, state: Omit<MemberState, "at">): void {
    this.#states.set(name, { at: now, ...state });
  }

  /** A member's entry was removed. */
  remove(name: string): void {
    this.#states.delete(name);
    const members = new Map(this.#members);
    members.delete(name);
    this.#members = members;
  }

  /** All members but this one. */
  list(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** The member of this name. */
  get(name: string): Member | undefined {
    return this.#members.get(name);
  }

  /** Whether the member was heard within the time allowed. */
  isAlive(name: string, now: number): boolean {
    const state = this.#states.get(name);
    return state !== undefined && now - state.at < unresponsiveAfterMs(state);
  }

  /** The tenure that a member told. */
  tenureOf(name: string): string | undefined {
    return this.#states.get(name)?.tenure;
  }

  /** Members that callers may be sent to. */
  ready(now: number): readonly ReadyMember[] {
    return this.list().flatMap((m) => {
      const state = this.#states.get(m.name);
      const usable = state !== undefined && state.ready && !state.leaving &&
        now - state.at < unresponsiveAfterMs(state);
      return usable ? [{ ...m, busy: state.busy }] : [];
    });
  }

  /** Members that callers use. */
  serving(now: number): readonly Member[] {
    return this.list().filter((m) =>
      this.isAlive(m.name, now) && this.#states.get(m.name)?.serves === true
    );
  }

  /** What a member does for callers; all, as long as it was not heard of. */
  roleOf(member: Member): MemberRole {
    const state = this.#states.get(member.name);
    const { zone, region } = member;
    return {
      zone,
      region,
      serves: state?.serves ?? true,
      orders: state?.orders ?? true,
    };
  }

  /** Members whose view of the store is fresh. */
  membersReachingStore(now: number): readonly Member[] {
    return this.list().filter((m) =>
      this.isAlive(m.name, now) &&
      this.#states.get(m.name)?.reachesStore === true
    );
  }

  /** Members alive, this one among them. */
  aliveCount(now: number): number {
    return 1 + this.list().filter((m) => this.isAlive(m.name, now)).length;
  }

  /** Instances among which a common allowance is divided: those that callers
   * use, and no fewer than half of those alive, since others may step in. */
  sharingCount(now: number): number {
    const serving = 1 + this.serving(now).length;
    return Math.max(serving, Math.ceil(this.aliveCount(now) / 2));
  }

  /** Part of all members that is silent. Soon after the start of this process
   * those that it has not heard yet do not count: after the loss of all
   * instances everybody is about to be heard. */
  silentShare(now: number): number {
    const expected = now < this.#startedAt + STARTUP_GRACE_MS
      ? this.list().filter((m) => this.#states.has(m.name))
      : this.list();
    const unresponsive =
      expected.filter((m) => !this.isAlive(m.name, now)).length;
    return unresponsive / (this.#members.size + 1);
  }
}

function unresponsiveAfterMs({ digestIntervalMs }: MemberState): number {
  return Math.max(
    UNRESPONSIVE_AFTER_MS,
    digestIntervalMs * UNRESPONSIVE_AFTER_DIGESTS,
  );
}
