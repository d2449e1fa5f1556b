/** Which other instances are alive, as their digests show.
 *
 * @module
 */
import type { InstanceState } from "./digest_board.ts";
import type { ReadyMember } from "./steering.ts";
import { OrderPaths } from "./reach/order_paths.ts";
import type { Member } from "./types.ts";

/** How long an instance that is not heard of still counts as alive, in
 * milliseconds: five digests at the usual interval, so that a short stall removes
 * no instance. */
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

/** What shows that a member is alive. */
export interface Evidence {
  /** When the member was last heard of, here or by those that pass its digests
   * on, by the monotonic clock. */
  readonly heardAt: number;
  /** When that was reported here. */
  readonly checkedAt: number;
  /** Longest time until the next report of it, in milliseconds. */
  readonly intervalMs: number;
}

const NO_EVIDENCE: Evidence = {
  heardAt: -Infinity,
  checkedAt: -Infinity,
  intervalMs: 0,
};

/** The other members and the state in their last digests. */
export class MemberTable {
  #members: ReadonlyMap<string, Member> = new Map();
  #generation = 0;
  readonly #states = new Map<string, InstanceState>();
  readonly #evidence = new Map<string, Evidence>();
  readonly #orderPaths = new OrderPaths();
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
    const next = new Map(
      [...members, ...aliveMembers].filter((m) => m.name !== this.#ownName)
        .map((m) => [m.name, m]),
    );
    // What follows from the list of a large fleet takes long to compute.
    const isSame = next.size === this.#members.size &&
      [...next.values()].every(({ name, incarnation }) =>
        this.#members.get(name)?.incarnation === incarnation
      );
    if (isSame) return;
    this.#generation += 1;
    this.#members = next;
    for (const name of this.#states.keys()) {
      if (!this.#members.has(name)) this.#forget(name);
    }
  }

  /** Adds a member that introduced itself. */
  add(member: Member): void {
    if (member.name === this.#ownName) return;
    const known = this.#members.get(member.name);
    if (known?.incarnation === member.incarnation) return;
    const members = new Map(this.#members);
    members.set(member.name, member);
    this.#generation += 1;
    this.#members = members;
  }

  /** Records the state that a member reports. */
  setState(name: string, state: InstanceState): void {
    this.#states.set(name, state);
    this.#orderPaths.record(name, state.ordersCut !== true, performance.now());
  }

  /** Which members' orders reach engines. */
  get orderPaths(): OrderPaths {
    return this.#orderPaths;
  }

  /** The members that may serve a request which this instance passes on. */
  takingPassed(now: number): readonly ReadyMember[] {
    return this.ready(now).filter(({ name }) => {
      const state = this.#states.get(name);
      return state?.takesPassed === true && state.cutOff !== true;
    });
  }

  /** Whether the member reports that it has no path to engines. */
  isCutOff(name: string): boolean {
    return this.#states.get(name)?.cutOff === true;
  }

  /** Records what shows that a member is alive. Of two ways on which it is heard
   * of, the one that heard of it last counts. */
  recordEvidence(name: string, evidence: Evidence): void {
    const current = this.#evidence.get(name) ?? NO_EVIDENCE;
    const heardAt = Math.max(current.heardAt, evidence.heardAt);
    this.#evidence.set(name, { ...evidence, heardAt });
  }

  /** Removes a member whose entry was removed from the store. */
  remove(name: string): void {
    this.#forget(name);
    const members = new Map(this.#members);
    members.delete(name);
    this.#generation += 1;
    this.#members = members;
  }

  /** Differs after each change of the list of members. */
  get generation(): number {
    return this.#generation;
  }

  /** Whether this process started so lately that it need not have heard of the
   * others. */
  isStarting(now: number): boolean {
    return now < this.#startedAt + STARTUP_GRACE_MS;
  }

  /** All members but this one. */
  list(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** The member of this name. */
  get(name: string): Member | undefined {
    return this.#members.get(name);
  }

  /** Whether the member was heard of recently enough. Between two reports of it
   * the member does not count as silent, unless the reports are. */
  isAlive(name: string, now: number): boolean {
    const state = this.#states.get(name);
    const evidence = this.#evidence.get(name);
    if (state === undefined || evidence === undefined) return false;
    const { heardAt, checkedAt, intervalMs } = evidence;
    return checkedAt - heardAt < unresponsiveAfterMs(state.digestIntervalMs) &&
      now - checkedAt < unresponsiveAfterMs(intervalMs);
  }

  /** Whether the last report of the member said that it is silent. Old reports
   * show nothing. */
  isReportedLost(name: string): boolean {
    const evidence = this.#evidence.get(name);
    const state = this.#states.get(name);
    if (state === undefined || evidence === undefined) return false;
    return evidence.checkedAt - evidence.heardAt >=
      unresponsiveAfterMs(state.digestIntervalMs);
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
      const isUsable = state !== undefined && state.ready && !state.leaving &&
        this.isAlive(m.name, now);
      return isUsable ? [{ ...m, busy: state.busy }] : [];
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

  /** Members that callers use or may use, heard of or not: all that did not say
   * that none does. */
  possiblyServing(): readonly Member[] {
    return this.list().filter(({ name }) =>
      this.#states.get(name)?.serves !== false
    );
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
    return 1 + this.#counts(now).alive;
  }

  /** Number of instances that share a common limit: those that callers use, and
   * at least half of those alive, since others may start to serve callers; all
   * that are listed, if fewer than half of them are heard of. */
  sharingCount(now: number): number {
    const counts = this.#counts(now);
    const alive = 1 + counts.alive;
    const listed = this.#members.size + 1;
    if (alive * 2 < listed) return listed;
    return Math.max(1 + counts.serving, Math.ceil(alive / 2));
  }

  /** Whether more than half of the listed members were not heard of for a
   * time. */
  isCutOffFor(ms: number, now: number): boolean {
    const lost = this.list().filter(({ name }) =>
      this.#silentMs(name, now) > ms
    );
    return lost.length * 2 > this.#members.size + 1;
  }

  /** Fraction of all members that is unresponsive. Shortly after the start of
   * this process, members without digests do not count: after a restart of all
   * instances their first digests are still to arrive. */
  silentShare(now: number): number {
    const expected = this.isStarting(now)
      ? this.list().filter((m) => this.#states.has(m.name))
      : this.list();
    const unresponsive =
      expected.filter((m) => !this.isAlive(m.name, now)).length;
    return unresponsive / (this.#members.size + 1);
  }

  /** Number of the other members that are alive, and of those among them that
   * callers use. Asked for with each request. */
  #counts(
    now: number,
  ): { readonly alive: number; readonly serving: number } {
    let alive = 0;
    let serving = 0;
    for (const name of this.#members.keys()) {
      if (!this.isAlive(name, now)) continue;
      alive += 1;
      if (this.#states.get(name)?.serves === true) serving += 1;
    }
    return { alive, serving };
  }

  /** How long a member was not heard of. As in `isAlive`, the time between two
   * reports of it does not count. */
  #silentMs(name: string, now: number): number {
    const state = this.#states.get(name);
    const evidence = this.#evidence.get(name);
    if (state === undefined || evidence === undefined) {
      return now - this.#startedAt;
    }
    const { heardAt, checkedAt } = evidence;
    const isHeard =
      checkedAt - heardAt < unresponsiveAfterMs(state.digestIntervalMs);
    return now - (isHeard ? checkedAt : heardAt);
  }

  #forget(name: string): void {
    this.#states.delete(name);
    this.#evidence.delete(name);
  }

  #reachesStore({ name }: Member, now: number): boolean {
    return this.#states.get(name)?.reachesStore === true &&
      this.isAlive(name, now);
  }
}

function unresponsiveAfterMs(digestIntervalMs: number): number {
  return Math.max(
    UNRESPONSIVE_AFTER_MS,
    digestIntervalMs * UNRESPONSIVE_AFTER_DIGESTS,
  );
}
