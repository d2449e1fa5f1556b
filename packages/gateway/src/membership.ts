/** This instance's entry in the store, the entries of the others, and the
 * assignment of engines to instances.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { EventLog } from "@banyanlb/core";
import {
  type Assignment,
  type ClockPair,
  type EngineTable,
  ExpiryDetector,
  type Member,
  type MemberTable,
  OrderLease,
  planAssignment,
  type RecordStore,
  StoreCallError,
  type StoredRecord,
} from "@banyanlb/serving";
import * as events from "./events.ts";
import { GATHER_SELDOM_MS, KindFollower } from "./kind_follower.ts";

/** Time between renewals, in milliseconds: three within a term. */
const RENEW_MS = 2000;

/** The same for an instance that orders nowhere and looks after nobody: it
 * needs its entry only to be found. */
const RENEW_IDLE_MS = 10_000;

/** Time between checks of silent members and of the assignment. */
const CHECK_MS = 500;

/** After its start an instance waits this long before it assigns engines: all
 * instances of a new deployment should be known by then. */
const SETTLE_MS = 2500;

/** Allowance for the difference of two machines' times of day. */
const WALL_CLOCK_SKEW_MS = 2000;

/** How many members, first by name, look after lapsed ones. */
const CARETAKERS = 2;

const WATCH_MS = 25_000;
/** Members renew often; new ones introduce themselves, so the list is no
 * hurry. */
const MEMBERS_GATHER_MS = 20_000;
const ASSIGNMENT_NAME = "engines";

/** A member's entry. */
interface StoredMember extends Member {
  /** Differs after the entry was removed and written anew. An owner is a name
   * with its tenure, so a member whose entry was removed owns nothing, even if
   * it has not seen the assignment that says so. */
  readonly tenure: string;
  readonly renewals: number;
}

/** One engine's owner in the stored assignment. */
interface StoredOwner {
  /** NAME#TENURE. */
  readonly owner: string;
  /** Time of day of the move from another owner; 0 if there was none. */
  readonly movedAt: number;
}

type StoredAssignment = Readonly<Record<string, StoredOwner>>;

/** What this module needs. */
export interface MembershipOptions {
  readonly self: Member;
  readonly members: MemberTable;
  readonly board: EngineTable;
  readonly clocks: ClockPair;
  readonly log: EventLog;
  /** The least time between orders of two owners, in milliseconds. */
  readonly orderGapMs: number;
  /** Whether this instance reads the store for others. */
  readonly readsForOthers: () => boolean;
  /** Called when another assignment is in force. */
  readonly onAssigned: () => void;
  /** Called when a call to the store fails. */
  readonly onStoreLost: () => void;
  /** Whether engines of this service take orders. */
  readonly takesOrders: (service: string) => boolean;
}

/** Keeps membership and assignment. */
export class Membership {
  readonly #store: RecordStore;
  readonly #options: MembershipOptions;
  readonly #lease: OrderLease;
  readonly #lapses: ExpiryDetector;
  readonly #followMembers: KindFollower;
  readonly #followAssignment: KindFollower;
  readonly #startedAt = performance.now();
  #assignment: StoredAssignment = {};
  #owners: ReadonlyMap<string, string> = new Map();
  #fence = 0;
  #entry: StoredRecord | undefined;
  #tenure: string | undefined;
  #tenures: ReadonlyMap<string, string> = new Map();
  readonly #mayOrderAt = new Map<string, number>();
  #renewals = 0;
  #wakeCheck: (() => void) | undefined;
  #wakeRenewal: (() => void) | undefined;
  #closed = false;

  constructor(store: RecordStore, options: MembershipOptions) {
    this.#store = store;
    this.#options = options;
    this.#lease = new OrderLease(options.clocks);
    this.#lapses = new ExpiryDetector(options.clocks);
    this.#followMembers = new KindFollower(store, {
      kind: "members",
      waitMs: WATCH_MS,
      gatherMs: () => MEMBERS_GATHER_MS,
      onRecords: (records) => this.#setMembers(records),
      onReachable: (reachable, reason) =>
        this.#noteReachable("members", reachable, reason),
    });
    this.#followAssignment = new KindFollower(store, {
      kind: "assignment",
      waitMs: WATCH_MS,
      gatherMs: () => options.readsForOthers() ? 0 : GATHER_SELDOM_MS,
      onRecords: (records) => this.#setAssignment(records),
      onReachable: (reachable, reason) =>
        this.#noteReachable("assignment", reachable, reason),
    });
  }

  /** The fence of orders: it grows with each change of the assignment. */
  get fence(): number {
    return this.#fence;
  }

  /** Under which this instance may own engines. */
  get tenure(): string | undefined {
    return this.#tenure;
  }

  /** The instance that orders at an engine. */
  ownerOf(engineKey: string): string | undefined {
    return this.#owners.get(engineKey);
  }

  /** Whether this instance may order at the engine in this event-loop turn. */
  mayOrder(engineKey: string): boolean {
    const from = this.#mayOrderAt.get(engineKey);
    return from !== undefined && performance.now() >= from &&
      this.#lease.isHeld();
  }

  /** The follower of the assignment. */
  get assignmentFollower(): KindFollower {
    return this.#followAssignment;
  }

  /** Engines came or went: the assignment is checked at once. */
  wake(): void {
    this.#wakeCheck?.();
  }

  /** Drops all watches: connections often go silent together. */
  redial(): void {
    this.#followMembers.redial();
    this.#followAssignment.redial();
  }

  /** Reads at once what is read seldom otherwise. */
  read(): void {
    this.#followAssignment.wake();
  }

  /** Starts renewals and checks. */
  start(): void {
    void this.#followMembers.run();
    void this.#followAssignment.run();
    void this.#repeat(
      () => this.#needsLease() ? RENEW_MS : RENEW_IDLE_MS,
      () => this.#renew(),
      (wake) => (this.#wakeRenewal = wake),
    );
    void this.#repeat(
      () => CHECK_MS,
      () => this.#check(),
      (wake) => (this.#wakeCheck = wake),
    );
  }

  /** Ends them. */
  close(): void {
    this.#closed = true;
    this.#followMembers.close();
    this.#followAssignment.close();
  }

  async #repeat(
    everyMs: () => number,
    step: () => Promise<void>,
    onPause: (wake: () => void) => void,
  ): Promise<void> {
    while (!this.#closed) {
      try {
        await step();
      } catch (err) {
        const event = err instanceof StoreCallError
          ? events.MEMBERSHIP_CHECK_FAILED
          : events.UNEXPECTED_ERROR;
        this.#options.log.write(event, { error: String(err) });
      }
      await new Promise<void>((resolve) => {
        setTimeout(resolve, everyMs());
        onPause(resolve);
      });
    }
  }

  #noteReachable(kind: string, reachable: boolean, reason: string): void {
    if (reachable) this.#options.log.write(events.STORE_RECOVERED, { kind });
    else {
      this.#options.log.write(events.STORE_UNAVAILABLE, { kind, reason });
      this.#options.onStoreLost();
    }
  }

  async #renew(): Promise<void> {
    const { self, clocks, log } = this.#options;
    const sentAt = clocks.read();
    this.#renewals += 1;
    const tenure = this.#tenure ?? randomUUID().slice(0, 8);
    const value: StoredMember = { ...self, tenure, renewals: this.#renewals };
    try {
      this.#entry = await this.#store.put("members", {
        name: self.name,
        value,
        revision: this.#entry?.revision,
      });
      this.#setTenure(tenure);
      this.#lease.recordRenewal(sentAt);
    } catch (err) {
      if (!(err instanceof StoreCallError)) throw err;
      if (err.failure === "not_found") this.#lease.revoke();
      const known = this.#entry !== undefined;
      if (known || err.failure !== "conflict") {
        log.write(events.RENEWAL_FAILED, { failure: err.failure });
        if (err.failure === "unknown") this.#options.onStoreLost();
      }
      // A write without answer may have been done, and an earlier process may
      // have left an entry: its tenure goes on.
      this.#entry = await this.#store.get("members", self.name);
      const left = this.#entry?.value as StoredMember | undefined;
      this.#setTenure(left?.tenure);
      if (!known && left !== undefined) await this.#renew();
    }
  }

  #setTenure(tenure: string | undefined): void {
    if (this.#tenure === tenure) return;
    this.#tenure = tenure;
    this.#mayOrderAt.clear();
    this.#claim({});
  }

  #setMembers(records: ReadonlyMap<string, StoredRecord>): void {
    const entries = [...records.values()].map((r) => r.value as StoredMember);
    this.#tenures = new Map(entries.map((e) => [e.name, e.tenure]));
    this.#options.members.setMembers(entries, performance.now());
  }

  #setAssignment(records: ReadonlyMap<string, StoredRecord>): void {
    const record = records.get(ASSIGNMENT_NAME);
    if (record === undefined || record.revision <= this.#fence) return;
    const before = this.#assignment;
    this.#assignment = record.value as StoredAssignment;
    this.#owners = new Map(
      Object.entries(this.#assignment).map(([key, { owner }]) => [
        key,
        owner.split("#")[0] ?? owner,
      ]),
    );
    this.#fence = record.revision;
    this.#claim(before);
    this.#options.onAssigned();
  }

  /** Takes up the engines that the assignment gives to this instance. */
  #claim(before: StoredAssignment): void {
    const { self, log, orderGapMs } = this.#options;
    const me = `${self.name}#${this.#tenure}`;
    for (const [key, { owner, movedAt }] of Object.entries(this.#assignment)) {
      if (owner !== me) {
        if (this.#mayOrderAt.delete(key)) {
          log.write(events.OWNERSHIP_CHANGED, { engine: key, owner });
        }
        continue;
      }
      if (this.#mayOrderAt.has(key)) continue;
      // Where the move itself was not seen, only the time of day tells when
      // it was.
      const wait = movedAt === 0
        ? 0
        : before[key] === undefined
        ? movedAt + orderGapMs + WALL_CLOCK_SKEW_MS - Date.now()
        : orderGapMs;
      if (this.#mayOrderAt.size === 0) this.#wakeRenewal?.();
      this.#mayOrderAt.set(key, performance.now() + Math.max(0, wait));
      log.write(events.OWNERSHIP_CHANGED, { engine: key, owner, waitMs: wait });
    }
    for (const key of this.#mayOrderAt.keys()) {
      if (this.#assignment[key] === undefined) this.#mayOrderAt.delete(key);
    }
  }

  /** The names of those members that are heard of. */
  #alive(): readonly string[] {
    const { members } = this.#options;
    const now = performance.now();
    return members.list().filter((m) => members.isAlive(m.name, now))
      .map((m) => m.name);
  }

  #caretakers(alive: readonly string[]): readonly string[] {
    return [this.#options.self.name, ...alive].sort().slice(0, CARETAKERS);
  }

  /** Whether a renewal must never be missed. */
  #needsLease(): boolean {
    const settling = performance.now() - this.#startedAt < SETTLE_MS * 2;
    return settling || this.#mayOrderAt.size > 0 ||
      this.#caretakers(this.#alive()).includes(this.#options.self.name);
  }

  async #check(): Promise<void> {
    if (performance.now() - this.#startedAt < SETTLE_MS) return;
    const { self } = this.#options;
    const alive = this.#alive();
    const caretakers = this.#caretakers(alive);
    if (!caretakers.includes(self.name)) return;
    if (!this.#followMembers.known) return;
    if (!this.#lease.isHeld()) {
      this.#wakeRenewal?.();
      return;
    }
    await this.#removeLapsed(new Set(alive));
    if (caretakers[0] === self.name) await this.#assign(alive);
  }

  async #removeLapsed(alive: ReadonlySet<string>): Promise<void> {
    const { self, members, clocks, log } = this.#options;
    for (const name of this.#tenures.keys()) {
      if (name === self.name || alive.has(name)) {
        this.#lapses.forget(name);
        continue;
      }
      const sentAt = clocks.read();
      const entry = await this.#store.get("members", name);
      if (entry === undefined) continue;
      if (!this.#lapses.observe(name, entry.revision, sentAt)) continue;
      await this.#store.remove("members", entry);
      this.#lapses.forget(name);
      const tenures = new Map(this.#tenures);
      tenures.delete(name);
      this.#tenures = tenures;
      members.remove(name);
      log.write(events.MEMBER_REMOVED, { member: name });
    }
  }

  async #assign(alive: readonly string[]): Promise<void> {
    const { self, members, board, takesOrders, log } = this.#options;
    if (!this.#followAssignment.known) return;
    const current = this.#assignment;
    const engines = [...board.all()].map((view) => view.engine)
      .filter((engine) => takesOrders(engine.service));
    const present = new Set(engines.map(({ key }) => key));
    const tenureOf = (name: string) =>
      members.tenureOf(name) ?? this.#tenures.get(name);
    const listed = new Set(
      [self, ...members.list()].map(({ name }) =>
        `${name}#${name === self.name ? this.#tenure : tenureOf(name)}`
      ),
    );
    // A silent owner keeps its engines until its entry is removed.
    const kept: Record<string, string> = {};
    for (const [key, { owner }] of Object.entries(current)) {
      if (present.has(key) && listed.has(owner)) kept[key] = owner;
    }
    const others = members.list().filter((m) => alive.includes(m.name));
    const open = planAssignment(
      kept,
      engines.filter(({ key }) => kept[key] === undefined),
      [self, ...others].flatMap(({ name, zone, cores }) => {
        const tenure = name === self.name ? this.#tenure : tenureOf(name);
        return tenure === undefined
          ? []
          : [{ owner: `${name}#${tenure}`, zone, cores }];
      }),
    );
    const planned: Assignment = { ...kept, ...open };
    const keys = Object.keys(planned);
    const same = keys.length === Object.keys(current).length &&
      keys.every((key) => planned[key] === current[key]?.owner);
    if (same) return;
    const value: Record<string, StoredOwner> = {};
    for (const key of keys) {
      const owner = planned[key] ?? "";
      const before = current[key];
      value[key] = before === undefined
        ? { owner, movedAt: 0 }
        : before.owner === owner
        ? before
        : { owner, movedAt: Date.now() };
    }
    const record = await this.#store.put("assignment", {
      name: ASSIGNMENT_NAME,
      value,
      revision: this.#fence === 0 ? undefined : this.#fence,
    });
    this.#followAssignment.wake();
    log.write(events.ASSIGNMENT_WRITTEN, {
      engines: keys.length,
      revision: record.revision,
    });
  }
}
