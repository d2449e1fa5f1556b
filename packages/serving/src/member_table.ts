/** Which other instances are alive, as their digests show.
 *
 * @module
 */
import type { MemberRole } from "./digest_interval.ts";
import type { ReadyMember } from "./steering.ts";
import type { Member } from "./types.ts";

/** How long an instance without digests still counts as alive, in milliseconds:
 * five digests at the usual interval, so that a short stall removes no
 * instance. */
export const UNRESPONSIVE_AFTER_MS = 1200;

/** How many digest intervals an instance without digests still counts as alive,
 * for instances that send digests less often. */
const UNRESPONSIVE_AFTER_DIGESTS = 2.5;

/** How long after its start a process may not have received digests of all
 * peers, in milliseconds: instances start within a second of each other and
 * connect anew. */
const STARTUP_GRACE_MS = 1500;

/** Fraction of unresponsive members above which this instance may be the one
 * that is cut off. */
const CUT_OFF_SHARE = 0.5;

/** The instances that send requests to engines, in the view of one of them. */
export interface ServingInstances {
  /** Names of the instances that callers use, this one included. */
  readonly names: readonly string[];
  /** Whether this instance may be cut off from the others. */
  readonly isCutOff: boolean;
}

interface MemberState {
  /** When the digest was received, by the monotonic clock. */
  readonly at: number;
  readonly leaving: boolean;
  readonly ready: boolean;
  /** Longest time between the member's digests, in milliseconds. */
  readonly digestIntervalMs: number;
  /** Whether callers use the member. */
  readonly serves: boolean;
  /** Whether the member sends orders to engines. */
  readonly orders: boolean;
  /** Fraction of its time for which the member is busy, in [0, 1]. */
  readonly busy: number;
  /** Whether the store responds to the member. */
  readonly reachesStore: boolean;
  /** Time of the member's small calls to the store, in milliseconds; undefined
   * before the first. */
  readonly storeRoundTripMs: number | undefined;
  /** Identifies the member as an owner of engines, and changes when its entry
   * is written anew; undefined until the store has confirmed the entry. */
  readonly tenure: string | undefined;
}

/** The other members and the state in their last digests. */
export class MemberTable {
  #members: ReadonlyMap<string, Member> = new Map();
  #generation = 0;
  readonly #states = new Map<string, MemberState>();
  readonly #ownName: string;
  readonly #startedAt: number;

  /** `now` is when this process started. */
  constructor(ownName: string, now: number) {
    this.#ownName = ownName;
    this.#startedAt = now;
  }

  /** Replaces the members with the store's list. Members that are alive stay,
   * even if the store rejects their renewals. */
  setMembers(members: readonly Member[], now: number): void {
    const aliveMembers = this.list().filter((m) => this.isAlive(m.name, now));
    this.#generation += 1;
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
    this.#generation += 1;
    this.#members = members;
  }

  /** Records the state in a digest that was received from a member. */
  setState(name: string, now: number, state: Omit<MemberState, "at">): void {
    this.#states.set(name, { at: now, ...state });
  }

  /** Removes a member whose entry was removed from the store. */
  remove(name: string): void {
    this.#states.delete(name);
    const members = new Map(this.#members);
    members.delete(name);
    this.#generation += 1;
    this.#members = members;
  }

  /** Differs after each change of the list of members. */
  get generation(): number {
    return this.#generation;
  }

  /** All members but this one. */
  list(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** The member of this name. */
  get(name: string): Member | undefined {
    return this.#members.get(name);
  }

  /** Whether the member's last digest is recent enough. */
  isAlive(name: string, now: number): boolean {
    const state = this.#states.get(name);
    return state !== undefined && now - state.at < unresponsiveAfterMs(state);
  }

  /** The tenure in the member's last digest. */
  tenureOf(name: string): string | undefined {
    return this.#states.get(name)?.tenure;
  }

  /** Time of the member's small calls to the store, in milliseconds. */
  storeRoundTripOf(name: string): number | undefined {
    return this.#states.get(name)?.storeRoundTripMs;
  }

  /** Members that may serve callers. */
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

  /** The instances that share what engines are sent: the members that callers
   * use, and this one. */
  servingInstances(now: number): ServingInstances {
    return {
      names: [this.#ownName, ...this.serving(now).map(({ name }) => name)],
      isCutOff: this.silentShare(now) > CUT_OFF_SHARE,
    };
  }

  /** Location of a member, and whether it serves callers or sends orders to
   * engines. A member without digests is assumed to serve callers and to send
   * orders. */
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

  /** Members that can reach the store. */
  membersReachingStore(now: number): readonly Member[] {
    return this.list().filter((m) => this.#reachesStore(m, now));
  }

  /** Whether a member of the region can reach the store. */
  isStoreReachedFrom(region: string, now: number): boolean {
    return this.list().some((m) =>
      m.region === region && this.#reachesStore(m, now)
    );
  }

  /** Number of members alive, including this one. */
  aliveCount(now: number): number {
    return 1 + this.list().filter((m) => this.isAlive(m.name, now)).length;
  }

  /** Number of instances that share a common limit: those that callers use, and
   * at least half of those alive, since others may start to serve callers; all
   * that are listed, if fewer than half of them are heard of. */
  sharingCount(now: number): number {
    const alive = this.aliveCount(now);
    const listed = this.#members.size + 1;
    if (alive * 2 < listed) return listed;
    return Math.max(1 + this.serving(now).length, Math.ceil(alive / 2));
  }

  /** Whether more than half of the listed members were not heard of for a
   * time. */
  isCutOffFor(ms: number, now: number): boolean {
    const lost = this.list().filter(({ name }) =>
      now - (this.#states.get(name)?.at ?? this.#startedAt) > ms
    );
    return lost.length * 2 > this.#members.size + 1;
  }

  /** Fraction of all members that is unresponsive. Shortly after the start of
   * this process, members without digests do not count: after a restart of all
   * instances their first digests are still to arrive. */
  silentShare(now: number): number {
    const expected = now < this.#startedAt + STARTUP_GRACE_MS
      ? this.list().filter((m) => this.#states.has(m.name))
      : this.list();
    const unresponsive =
      expected.filter((m) => !this.isAlive(m.name, now)).length;
    return unresponsive / (this.#members.size + 1);
  }

  #reachesStore({ name }: Member, now: number): boolean {
    return this.#states.get(name)?.reachesStore === true &&
      this.isAlive(name, now);
  }
}

function unresponsiveAfterMs({ digestIntervalMs }: MemberState): number {
  return Math.max(
    UNRESPONSIVE_AFTER_MS,
    digestIntervalMs * UNRESPONSIVE_AFTER_DIGESTS,
  );
}
