/** Which other instances are alive, as their updates show.
 *
 * @module
 */
import type { FleetPart } from "./digest_pace.ts";
import type { ReadyMember } from "./steering.ts";
import type { Member } from "./types.ts";

/** How long an instance that fell silent still counts as alive, in
 * milliseconds: five updates at the usual pace, so that a busy moment takes
 * nobody out. */
export const SILENT_AFTER_MS = 1200;

/** The same in updates, for an instance that is heard of less often. */
const SILENT_AFTER_UPDATES = 2.5;

/** How long after its start a process may not have heard of all others, in
 * milliseconds: they start within a second of each other, and dial anew. */
const INTRODUCTION_MS = 1500;

interface Heard {
  readonly at: number;
  readonly leaving: boolean;
  readonly ready: boolean;
  /** Time between its updates at most, in milliseconds. */
  readonly everyMs: number;
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
  readonly #heard = new Map<string, Heard>();
  readonly #self: string;
  readonly #startedAt: number;

  /** `now` is when this process started. */
  constructor(self: string, now: number) {
    this.#self = self;
    this.#startedAt = now;
  }

  /** Puts the list of the store in force. Members that are heard of stay, also
   * if the store turns them away. */
  setMembers(members: readonly Member[], now: number): void {
    const heard = this.list().filter((m) => this.isAlive(m.name, now));
    this.#members = new Map(
      [...members, ...heard].filter((m) => m.name !== this.#self)
        .map((m) => [m.name, m]),
    );
    for (const name of this.#heard.keys()) {
      if (!this.#members.has(name)) this.#heard.delete(name);
    }
  }

  /** Adds a member that introduced itself. */
  introduce(member: Member): void {
    if (member.name === this.#self) return;
    const members = new Map(this.#members);
    members.set(member.name, member);
    this.#members = members;
  }

  /** A member was heard. */
  hear(name: string, now: number, state: Omit<Heard, "at">): void {
    this.#heard.set(name, { at: now, ...state });
  }

  /** A member's entry was removed. */
  remove(name: string): void {
    this.#heard.delete(name);
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
    const heard = this.#heard.get(name);
    return heard !== undefined && now - heard.at < silentAfterMs(heard);
  }

  /** The tenure that a member told. */
  tenureOf(name: string): string | undefined {
    return this.#heard.get(name)?.tenure;
  }

  /** Members that callers may be sent to. */
  ready(now: number): readonly ReadyMember[] {
    return this.list().flatMap((m) => {
      const heard = this.#heard.get(m.name);
      const usable = heard !== undefined && heard.ready && !heard.leaving &&
        now - heard.at < silentAfterMs(heard);
      return usable ? [{ ...m, busy: heard.busy }] : [];
    });
  }

  /** Members that callers use. */
  serving(now: number): readonly Member[] {
    return this.list().filter((m) =>
      this.isAlive(m.name, now) && this.#heard.get(m.name)?.serves === true
    );
  }

  /** What a member does for callers; all, as long as it was not heard of. */
  partOf(member: Member): FleetPart {
    const heard = this.#heard.get(member.name);
    const { zone, region } = member;
    return {
      zone,
      region,
      serves: heard?.serves ?? true,
      orders: heard?.orders ?? true,
    };
  }

  /** Members whose view of the store is fresh. */
  reachingStore(now: number): readonly Member[] {
    return this.list().filter((m) =>
      this.isAlive(m.name, now) &&
      this.#heard.get(m.name)?.reachesStore === true
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
    const known = now < this.#startedAt + INTRODUCTION_MS
      ? this.list().filter((m) => this.#heard.has(m.name))
      : this.list();
    const silent = known.filter((m) => !this.isAlive(m.name, now)).length;
    return silent / (this.#members.size + 1);
  }
}

function silentAfterMs({ everyMs }: Heard): number {
  return Math.max(SILENT_AFTER_MS, everyMs * SILENT_AFTER_UPDATES);
}
