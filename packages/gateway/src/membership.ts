/** Entries of the members in the store, and the assignment of engines to them:
 * renews the entry of this instance, removes expired entries of other members,
 * and assigns engines to owners.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { EventLog } from "@banyanlb/core";
import {
  type Assignment,
  type ClockPair,
  type ConfirmationTimes,
  confirmationTimes,
  type EngineTable,
  eraOf,
  ExpiryDetector,
  FIRST_ERA,
  isLargeFleet,
  type Member,
  type MemberTable,
  OrderLease,
  OwnerMemory,
  planAssignment,
  type RecordStore,
  RestoreWait,
  StoreCallError,
  type StoredRecord,
  WALL_CLOCK_SKEW_MS,
} from "@banyanlb/serving";
import * as events from "./events.ts";
import { splitsProgressOf } from "./software_versions/split_records.ts";
import type { OwnOrderPath } from "./reach/own_order_path.ts";
import { instanceOf, OwnerMoves } from "./reach/owner_moves.ts";
import type { WorkspaceRates } from "./workspace_rates.ts";
import {
  decodeAssignment,
  decodeStoredMember,
  type StoredAssignment,
  type StoredMember,
  type StoredOwner,
} from "./membership_entries.ts";
import {
  NON_READER_WATCH_PAUSE_MS,
  RecordFollower,
} from "./record_follower.ts";

/** Time between renewals of this instance's entry, in milliseconds: three
 * within a term of the order lease. */
const RENEWAL_INTERVAL_MS = 2000;

/** Time between renewals for an instance that owns no engine and is not a
 * coordinator, in milliseconds: its entry only lets new members find it. */
const IDLE_RENEWAL_INTERVAL_MS = 30_000;

/** Time between reads of the entry of a member that is not heard of, in
 * milliseconds: three of them show that it was unchanged for a whole term. */
const EXPIRY_CHECK_INTERVAL_MS = 3050;

/** Number of renewals that are measured: a single one may be slow. */
const RENEWALS_MEASURED = 4;

/** Time between checks for unresponsive members and of the assignment, in
 * milliseconds. */
const CHECK_INTERVAL_MS = 500;

/** How long after its start an instance waits before it assigns engines, in
 * milliseconds: all instances of a new deployment should be listed by then. */
const SETTLE_MS = 2500;

/** Number of coordinators: the live members whose names sort first. All of them
 * remove the entries of expired members; the first also assigns engines. */
const COORDINATOR_COUNT = 2;

/** Time between checks of whether the members are known, in milliseconds. */
const MEMBERS_POLL_MS = 10;

/** Time within which the instances of a large fleet write their entries again
 * after the store was restored, in milliseconds. */
const REWRITE_WITHIN_MS = 1000;

/** Longest wait of one watch, in milliseconds. */
const WATCH_WAIT_MS = 25_000;

/** Pause between watches of the members, in milliseconds. Renewals change the
 * list often, and new members introduce themselves to their peers, so the list
 * is read rarely. */
const MEMBERS_WATCH_PAUSE_MS = 20_000;

/** When an instance of a small fleet that has written its entry reads the list of
 * members again, in milliseconds after the writing. */
const FIND_MEMBERS_DELAY_MS = 1000;

/** Factor of the time within which a new assignment must be known, compared
 * with other changes: an instance with an old one only asks the wrong owner. */
const ASSIGNMENT_KNOWN_FACTOR = 2;

/** When the members are confirmed, in milliseconds. They are not compared with
 * those of peers. */
const MEMBERS_CONFIRMATION_TIMES: ConfirmationTimes = {
  leadMs: 20_000,
  relayedLeadMs: 20_000,
  relayAskMs: Infinity,
  askMs: Infinity,
  readMs: 20_000,
  backupReadMs: 20_000,
  // Digests tell of new members, and of those that are lost.
  lastReadMs: 60_000,
};
const ASSIGNMENT_RECORD_NAME = "engines";

/** Parts of the gateway and callbacks that membership uses. */
export interface MembershipOptions {
  readonly self: Member;
  readonly members: MemberTable;
  readonly engineTable: EngineTable;
  readonly clocks: ClockPair;
  readonly log: EventLog;
  /** Minimum time between the orders of an old and a new owner of an engine, in
   * milliseconds. */
  readonly orderGapMs: number;
  /** Time within which a change must be known here, in milliseconds. */
  readonly changeKnownMs: number;
  /** Whether this instance reads the store on behalf of its region. */
  readonly isStoreReader: () => boolean;
  /** Called with all records that assign work, after each change. */
  readonly onAssignmentRecords: (
    records: ReadonlyMap<string, StoredRecord>,
  ) => void;
  /** Called when a new assignment is in force. */
  readonly onAssignmentChange: () => void;
  /** Called when calls to the store begin to fail, and when a renewal gets no
   * reply. */
  readonly onStoreFailure: () => void;
  /** The use that the entry keeps for a next process of this instance. */
  readonly rates: Pick<
    WorkspaceRates,
    "useAt" | "isNearlyUsed" | "adoptFormerUse"
  >;
  /** What tells whether orders of this instance reach engines. */
  readonly ownPath: Pick<OwnOrderPath, "mayOrder" | "mayTakeOver">;
  /** Whether the engines of a service accept orders. */
  readonly acceptsOrders: (service: string) => boolean;
}

/** Maintains the membership of this instance and the assignment of engines. */
export class Membership {
  readonly #store: RecordStore;
  readonly #options: MembershipOptions;
  readonly #lease: OrderLease;
  readonly #expiryDetector: ExpiryDetector;
  readonly #memberFollower: RecordFollower;
  readonly #assignmentFollower: RecordFollower;
  readonly #startedAt = performance.now();
  #assignment: StoredAssignment = {};
  #owners: ReadonlyMap<string, string> = new Map();
  /** Whether the record in the store is malformed. */
  #isAssignmentDamaged = false;
  /** The revision of the assignment in the store; undefined if it has none. */
  #storedRevision: number | undefined;
  #fencingToken = 0;
  #entry: StoredRecord | undefined;
  #tenure: string | undefined;
  #tenureByMember: ReadonlyMap<string, string> = new Map();
  /** Names of malformed entries that were logged. */
  readonly #ignoredMembers = new Set<string>();
  readonly #orderAllowedAt = new Map<string, number>();
  readonly #ownerMemory = new OwnerMemory();
  #renewals = 0;
  /** When the last renewal was sent, by the monotonic clock. */
  #renewedAt = -Infinity;
  /** Durations of the latest renewals that the store answered, in
   * milliseconds. */
  readonly #renewalMs: number[] = [];
  /** The era in which the store last accepted a renewal. */
  #renewedEra = Infinity;
  readonly #restoreWait: RestoreWait;
  /** The engines that this instance has owned since before the last restore of
   * the store. */
  #heldOver = new Set<string>();
  readonly #stopHearingOfEras: () => void;
  #isFollowingMembers = false;
  #isRenewalFailing = false;
  /** When the entries of members that are not heard of are read next. */
  readonly #expiryCheckAt = new Map<string, number>();
  #startCheck: (() => void) | undefined;
  #startRenewal: (() => void) | undefined;
  #isClosed = false;

  constructor(store: RecordStore, options: MembershipOptions) {
    this.#store = store;
    this.#options = options;
    this.#lease = new OrderLease(options.clocks);
    this.#expiryDetector = new ExpiryDetector(options.clocks);
    this.#restoreWait = new RestoreWait(options.clocks);
    this.#stopHearingOfEras = store.onEraChange((era) => this.#onRestore(era));
    this.#memberFollower = new RecordFollower(store, {
      kind: "members",
      waitMs: WATCH_WAIT_MS,
      watchPauseMs: () => MEMBERS_WATCH_PAUSE_MS,
      mayWatch: () =>
        options.isStoreReader() || !isLargeFleet(options.members.list().length),
      confirmationTimes: MEMBERS_CONFIRMATION_TIMES,
      onRecords: (records) => this.#setMembers(records),
      onReachabilityChange: (reachable, reason) =>
        this.#onReachabilityChange("members", reachable, reason),
      log: options.log,
    });
    this.#assignmentFollower = new RecordFollower(store, {
      kind: "assignment",
      waitMs: WATCH_WAIT_MS,
      watchPauseMs: () =>
        options.isStoreReader() ? 0 : NON_READER_WATCH_PAUSE_MS,
      mayWatch: options.isStoreReader,
      confirmationTimes: confirmationTimes(
        options.changeKnownMs * ASSIGNMENT_KNOWN_FACTOR,
      ),
      onRecords: (records) => {
        this.#setAssignment(records);
        options.onAssignmentRecords(records);
      },
      lostRecords: { progressOf: splitsProgressOf },
      onReachabilityChange: (reachable, reason) =>
        this.#onReachabilityChange("assignment", reachable, reason),
      log: options.log,
    });
  }

  /** The fencing token of orders: it grows with each change of the
   * assignment. */
  get fence(): number {
    return this.#fencingToken;
  }

  /** The tenure under which this instance may own engines; undefined if the
   * store has not confirmed one. */
  get tenure(): string | undefined {
    return this.#tenure;
  }

  /** The instance that owns an engine: the only one that sends orders to it. */
  ownerOf(engineKey: string): string | undefined {
    return this.#owners.get(engineKey);
  }

  /** Whether this instance may send an order to the engine in this event-loop
   * turn. */
  mayOrder(engineKey: string): boolean {
    const allowedAt = this.#orderAllowedAt.get(engineKey);
    if (allowedAt === undefined || performance.now() < allowedAt) return false;
    if (!this.#lease.isHeld() || !this.#options.ownPath.mayOrder) return false;
    const isHeldOver = this.#heldOver.has(engineKey);
    if (!isHeldOver && !this.#isRestoreOver) return false;
    // The restored store may name another owner.
    const isOfEra = eraOf(this.#fencingToken) >= this.#era;
    return isOfEra || this.#lease.isFormerHeld();
  }

  /** The era of the store. */
  get #era(): number {
    return this.#store.era ?? FIRST_ERA;
  }

  /** Whether the owners of before the last restore of the store have ended. */
  get #isRestoreOver(): boolean {
    return this.#restoreWait.isOver(this.#era, this.#options.orderGapMs);
  }

  /** Whether the store has confirmed this instance's entry within the term after
   * which others may remove it. */
  get holdsLease(): boolean {
    return this.#lease.isHeld();
  }

  /** Time of a small call to the store, in milliseconds: the shortest of the
   * latest renewals. Undefined before the first. */
  get storeRoundTripMs(): number | undefined {
    return this.#renewalMs.length === 0
      ? undefined
      : Math.min(...this.#renewalMs);
  }

  /** The follower of the members. */
  get memberFollower(): RecordFollower {
    return this.#memberFollower;
  }

  /** The follower of the assignment. */
  get assignmentFollower(): RecordFollower {
    return this.#assignmentFollower;
  }

  /** Checks members and the assignment at once, after a change of the
   * engines. */
  checkNow(): void {
    this.#startCheck?.();
  }

  /** Restarts all watches: connections to the store often die together. */
  reconnect(): void {
    this.#memberFollower.reconnect();
    this.#assignmentFollower.reconnect();
  }

  /** Reads the assignment at once, without the pause between watches. */
  readNow(): void {
    this.#assignmentFollower.readNow();
  }

  /** Starts to follow the store, to renew this instance's entry and to check
   * members and the assignment. */
  start(): void {
    void this.#runPeriodically(
      () => this.#renewsOften ? RENEWAL_INTERVAL_MS : IDLE_RENEWAL_INTERVAL_MS,
      () => this.#renew(),
      (startNow) => (this.#startRenewal = startNow),
    );
    void this.#runPeriodically(
      () => CHECK_INTERVAL_MS,
      () => this.#check(),
      (startNow) => (this.#startCheck = startNow),
    );
  }

  /** Starts to follow the assignment. */
  startAssignment(): void {
    void this.#assignmentFollower.run();
  }

  /** Resolves when the members are known, or after `maxMs`. */
  async waitForMembers(maxMs: number): Promise<void> {
    for (
      const until = performance.now() + maxMs;
      !this.#memberFollower.known && performance.now() < until;
    ) {
      await new Promise((resolve) => setTimeout(resolve, MEMBERS_POLL_MS));
    }
  }

  /** Whether the store did not answer the last renewal. */
  get isRenewalFailing(): boolean {
    return this.#isRenewalFailing;
  }

  /** Stops the followers, the renewals and the checks. */
  close(): void {
    this.#isClosed = true;
    this.#stopHearingOfEras();
    this.#memberFollower.close();
    this.#assignmentFollower.close();
  }

  async #runPeriodically(
    intervalMs: () => number,
    step: () => Promise<void>,
    setStartNow: (startNow: () => void) => void,
  ): Promise<void> {
    while (!this.#isClosed) {
      try {
        await step();
      } catch (err) {
        const event = err instanceof StoreCallError
          ? events.MEMBERSHIP_CHECK_FAILED
          : events.UNEXPECTED_ERROR;
        this.#options.log.write(event, { error: String(err) });
      }
      await new Promise<void>((resolve) => {
        setTimeout(resolve, intervalMs());
        setStartNow(resolve);
      });
    }
  }

  #onReachabilityChange(
    kind: string,
    reachable: boolean,
    reason: string,
  ): void {
    if (reachable) this.#options.log.write(events.STORE_RECOVERED, { kind });
    else {
      this.#options.log.write(events.STORE_UNAVAILABLE, { kind, reason });
      this.#options.onStoreFailure();
    }
  }

  /** Writes again what the restored store has lost of this instance. */
  #onRestore(era: number): void {
    const isFormerOver = this.#restoreWait.isOver(
      era - 1,
      this.#options.orderGapMs,
    );
    // Otherwise only those of before the former restore.
    if (isFormerOver) this.#heldOver = new Set(this.#orderAllowedAt.keys());
    this.#restoreWait.recordRestore(era);
    this.#lease.recordRestore();
    this.reconnect();
    this.#memberFollower.readNow();
    this.readNow();
    const isLarge = isLargeFleet(this.#options.members.list().length);
    setTimeout(
      () => this.#startRenewal?.(),
      isLarge ? Math.random() * REWRITE_WITHIN_MS : 0,
    ).unref();
  }

  /** Renews the entry. A restored store holds none or an older one: it is then
   * renewed `again`, once. */
  async #renew(again = true): Promise<void> {
    const { self, clocks, rates, log } = this.#options;
    const sentAt = clocks.read();
    this.#renewedAt = sentAt.monotonic;
    this.#renewals += 1;
    const tenure = this.#tenure ?? randomUUID().slice(0, 8);
    const value: StoredMember = {
      ...self,
      tenure,
      renewals: this.#renewals,
      use: rates.useAt(performance.now()),
      useAt: sentAt.wall,
      restore: this.#restoreWait.noticeOf(this.#era),
    };
    const isFirst = this.#entry === undefined;
    try {
      this.#entry = await this.#store.put("members", {
        name: self.name,
        value,
        revision: this.#entry?.revision,
      });
      this.#renewedEra = eraOf(this.#entry.revision);
      this.#setTenure(tenure);
      this.#lease.recordRenewal(sentAt);
      this.#isRenewalFailing = false;
      this.#renewalMs.push(clocks.elapsedMs(sentAt));
      if (this.#renewalMs.length > RENEWALS_MEASURED) this.#renewalMs.shift();
      if (isFirst) this.#findMembers();
      this.#followMembers();
    } catch (err) {
      if (!(err instanceof StoreCallError)) throw err;
      this.#isRenewalFailing = err.failure === "unknown" ||
        err.failure === "rejected";
      const hadEntry = this.#entry !== undefined;
      if (hadEntry || err.failure !== "conflict") {
        log.write(events.RENEWAL_FAILED, { failure: err.failure });
        if (err.failure === "unknown") this.#options.onStoreFailure();
      }
      this.#followMembers();
      this.#entry = await this.#store.get("members", self.name);
      const existing = this.#entry && decodeStoredMember(this.#entry);
      if (this.#renewedEra < this.#era) {
        // No one removes the entry while the lease is held. Later, others may
        // have taken the engines in the time that the store has lost.
        if (!this.#lease.isHeld()) this.#setTenure(undefined);
        if (again) await this.#renew(false);
        return;
      }
      if (err.failure === "not_found") this.#lease.revoke();
      // A write without a reply may have taken effect, and an earlier process
      // may have left an entry. In both cases the tenure of the stored entry is
      // kept.
      this.#setTenure(existing?.tenure);
      if (!hadEntry && existing !== undefined) this.#adoptUse(existing);
      if (!hadEntry && existing !== undefined) await this.#renew(again);
    }
  }

  /** Follows the members once this instance's entry was written, or could not
   * be. Of two instances that start together, the one whose entry is written
   * last finds the other and introduces itself. */
  #followMembers(): void {
    if (this.#isFollowingMembers) return;
    this.#isFollowingMembers = true;
    void this.#memberFollower.run();
  }

  /** Reads the list of members again after the entry was written, for the case
   * that the introduction fails. In a large fleet collectors introduce all. */
  #findMembers(): void {
    setTimeout(() => {
      const { members } = this.#options;
      if (this.#isClosed || isLargeFleet(members.list().length)) return;
      void this.#memberFollower.confirm();
    }, FIND_MEMBERS_DELAY_MS).unref();
  }

  /** Whether the entry is renewed often: this instance needs its lease, much of
   * its shares is used, or others may think that it is gone. */
  get #renewsOften(): boolean {
    const now = performance.now();
    const { members, rates } = this.#options;
    return this.#needsLease() || rates.isNearlyUsed(now) ||
      members.isCutOffFor(RENEWAL_INTERVAL_MS, now);
  }

  /** Adopts the use in the entry of an earlier process of this instance. */
  #adoptUse({ incarnation, use, useAt, restore }: StoredMember): void {
    const { self, clocks, rates } = this.#options;
    if (incarnation === self.incarnation) return;
    // An entry that was not written in the era of the store is from a copy, and
    // lacks what was used later.
    if (this.#era > FIRST_ERA && restore?.era !== this.#era) return;
    rates.adoptFormerUse(use, Math.max(0, clocks.read().wall - useAt));
  }

  #setTenure(tenure: string | undefined): void {
    if (this.#tenure === tenure) return;
    this.#tenure = tenure;
    this.#orderAllowedAt.clear();
    this.#heldOver.clear();
    this.#updateOwnedEngines({});
  }

  #setMembers(records: ReadonlyMap<string, StoredRecord>): void {
    const entries = [...records.values()].flatMap((record) => {
      const entry = decodeStoredMember(record);
      if (entry === undefined) this.#logIgnoredMember(record.name);
      return entry ?? [];
    });
    const { name: self, incarnation: own } = this.#options.self;
    for (const { name, restore, incarnation } of entries) {
      if (restore === undefined || (name === self && incarnation === own)) {
        continue;
      }
      this.#restoreWait.learn(restore, this.#era);
    }
    this.#tenureByMember = new Map(entries.map((e) => [e.name, e.tenure]));
    this.#options.members.setMembers(entries, performance.now());
  }

  #logIgnoredMember(name: string): void {
    if (this.#ignoredMembers.has(name)) return;
    this.#ignoredMembers.add(name);
    this.#options.log.write(events.RECORD_IGNORED, { kind: "members", name });
  }

  #setAssignment(records: ReadonlyMap<string, StoredRecord>): void {
    const record = records.get(ASSIGNMENT_RECORD_NAME);
    this.#storedRevision = record?.revision;
    if (record === undefined || record.revision <= this.#fencingToken) return;
    const previous = this.#assignment;
    const decoded = decodeAssignment(record.value, previous);
    this.#assignment = decoded.assignment;
    this.#isAssignmentDamaged = decoded.isDamaged;
    if (decoded.isDamaged) {
      const { name, revision } = record;
      this.#options.log.write(events.RECORD_IGNORED, {
        kind: "assignment",
        name,
        revision,
      });
    }
    this.#owners = new Map(
      Object.entries(this.#assignment).map(([key, { owner }]) => [
        key,
        instanceOf(owner),
      ]),
    );
    this.#fencingToken = record.revision;
    this.#updateOwnedEngines(previous);
    this.#options.onAssignmentChange();
  }

  /** Updates which engines this instance owns under the assignment. Orders to a
   * newly owned engine wait until the order gap after its previous owner's
   * orders has passed. */
  #updateOwnedEngines(previous: StoredAssignment): void {
    const { self, log, orderGapMs } = this.#options;
    const selfOwner = `${self.name}#${this.#tenure}`;
    for (const [key, { owner, movedAt }] of Object.entries(this.#assignment)) {
      if (owner !== selfOwner) {
        this.#heldOver.delete(key);
        if (this.#orderAllowedAt.delete(key)) {
          log.write(events.OWNERSHIP_CHANGED, { engine: key, owner });
        }
        continue;
      }
      if (this.#orderAllowedAt.has(key)) continue;
      // If this process did not observe the move, only the wall-clock time in
      // the assignment shows when it took place.
      const delayMs = movedAt === 0
        ? 0
        : previous[key] === undefined
        ? movedAt + orderGapMs + WALL_CLOCK_SKEW_MS - Date.now()
        : orderGapMs;
      if (this.#orderAllowedAt.size === 0) this.#startRenewal?.();
      this.#orderAllowedAt.set(key, performance.now() + Math.max(0, delayMs));
      log.write(events.OWNERSHIP_CHANGED, {
        engine: key,
        owner,
        waitMs: delayMs,
      });
    }
    for (const key of this.#orderAllowedAt.keys()) {
      if (this.#assignment[key] !== undefined) continue;
      this.#orderAllowedAt.delete(key);
      this.#heldOver.delete(key);
    }
  }

  /** The names of the other members that are alive. */
  #aliveNames(): readonly string[] {
    const { members } = this.#options;
    const now = performance.now();
    return members.list().filter((m) => members.isAlive(m.name, now))
      .map((m) => m.name);
  }

  /** The rank of this instance among the live members by name, up to the number
   * of coordinators. */
  #coordinatorRank(): number {
    const { self, members } = this.#options;
    const now = performance.now();
    let rank = 0;
    for (const { name } of members.list()) {
      if (name >= self.name || !members.isAlive(name, now)) continue;
      rank += 1;
      if (rank === COORDINATOR_COUNT) break;
    }
    return rank;
  }

  /** Whether the order lease must be kept without interruption: this instance
   * owns engines or is a coordinator. */
  #needsLease(): boolean {
    return this.#orderAllowedAt.size > 0 ||
      this.#coordinatorRank() < COORDINATOR_COUNT;
  }

  async #check(): Promise<void> {
    const sinceRenewalMs = performance.now() - this.#renewedAt;
    if (this.#renewsOften && sinceRenewalMs >= RENEWAL_INTERVAL_MS) {
      this.#startRenewal?.();
    }
    if (performance.now() - this.#startedAt < SETTLE_MS) return;
    const rank = this.#coordinatorRank();
    if (rank >= COORDINATOR_COUNT) return;
    if (!this.#memberFollower.known) return;
    if (!this.#lease.isHeld()) {
      this.#startRenewal?.();
      return;
    }
    const alive = this.#aliveNames();
    await this.#removeExpired(new Set(alive));
    if (rank === 0) await this.#assignEngines(alive);
  }

  async #removeExpired(alive: ReadonlySet<string>): Promise<void> {
    const { self, members, clocks, log } = this.#options;
    for (const name of this.#tenureByMember.keys()) {
      if (name === self.name || alive.has(name)) {
        this.#expiryDetector.forget(name);
        this.#expiryCheckAt.delete(name);
        continue;
      }
      const now = performance.now();
      if (now < (this.#expiryCheckAt.get(name) ?? -Infinity)) continue;
      this.#expiryCheckAt.set(name, now + EXPIRY_CHECK_INTERVAL_MS);
      const sentAt = clocks.read();
      const entry = await this.#store.get("members", name);
      if (entry === undefined) continue;
      if (!this.#expiryDetector.observe(name, entry.revision, sentAt)) continue;
      await this.#store.remove("members", entry);
      this.#expiryCheckAt.delete(name);
      this.#expiryDetector.forget(name);
      const tenures = new Map(this.#tenureByMember);
      tenures.delete(name);
      this.#tenureByMember = tenures;
      members.remove(name);
      log.write(events.MEMBER_REMOVED, { member: name });
    }
  }

  async #assignEngines(alive: readonly string[]): Promise<void> {
    const { self, members, engineTable, acceptsOrders, log } = this.#options;
    if (!this.#assignmentFollower.known) return;
    const current = this.#assignment;
    const engines = [...engineTable.all()].map((view) => view.engine)
      .filter((engine) => acceptsOrders(engine.service));
    const tenureOf = (name: string) =>
      members.tenureOf(name) ?? this.#tenureByMember.get(name);
    const listedOwners = new Set(
      [self, ...members.list()].map(({ name }) =>
        `${name}#${name === self.name ? this.#tenure : tenureOf(name)}`
      ),
    );
    // An unresponsive owner keeps its engines until its entry is removed, and
    // for the term of its lease if a restored store has lost the entry.
    const mayBeLost = !this.#isRestoreOver;
    const kept: Record<string, string> = {};
    const owners = Object.fromEntries(
      Object.entries(current).map(([key, { owner }]) => [key, owner]),
    );
    const formerOwners = this.#ownerMemory.keep(
      owners,
      engines,
      performance.now(),
    );
    for (const [key, owner] of Object.entries(formerOwners)) {
      if (mayBeLost || listedOwners.has(owner)) kept[key] = owner;
    }
    const moves = new OwnerMoves(self, {
      members,
      ownPath: this.#options.ownPath,
      alive,
      now: performance.now(),
    });
    for (const [key, owner] of Object.entries(kept)) {
      if (moves.mustYield(owner)) delete kept[key];
    }
    const added = planAssignment(
      kept,
      engines.filter(({ key }) => kept[key] === undefined),
      moves.candidates.flatMap(({ name, zone, cores }) => {
        const tenure = name === self.name ? this.#tenure : tenureOf(name);
        return tenure === undefined
          ? []
          : [{ owner: `${name}#${tenure}`, zone, cores }];
      }),
    );
    const planned: Assignment = { ...kept, ...added };
    const keys = Object.keys(planned);
    const isUnchanged = keys.length === Object.keys(current).length &&
      keys.every((key) => planned[key] === current[key]?.owner);
    const isStored = this.#storedRevision !== undefined || keys.length === 0;
    if (isUnchanged && !this.#isAssignmentDamaged && isStored) return;
    const value: Record<string, StoredOwner> = {};
    for (const key of keys) {
      const owner = planned[key] ?? "";
      const previous = current[key];
      const formerOwner = formerOwners[key];
      value[key] = previous !== undefined && previous.owner === owner
        ? previous
        : formerOwner === owner ||
            (formerOwner === undefined && !this.#isAssignmentDamaged)
        ? { owner, movedAt: 0 }
        : { owner, movedAt: Date.now() };
    }
    const record = await this.#store.put("assignment", {
      name: ASSIGNMENT_RECORD_NAME,
      value,
      revision: this.#storedRevision,
    });
    this.#assignmentFollower.readNow();
    log.write(events.ASSIGNMENT_WRITTEN, {
      engines: keys.length,
      revision: record.revision,
    });
  }
}
