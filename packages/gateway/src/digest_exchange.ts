/** Exchange of digests: the state that instances report to each other a few
 * times a second.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  type BoardRow,
  type ClockPair,
  type CountedLoads,
  decodeDigest,
  type Digest,
  DigestPlane,
  type EngineLimits,
  type EngineReach,
  type EngineTable,
  isLargeFleet,
  LagDetector,
  type LoadCounts,
  type Member,
  type MemberTable,
  type Moment,
  type PathDelays,
  type Quarantine,
  type WarmUps,
} from "@banyanlb/serving";
import type { AdapterLoader } from "./adapter_loader.ts";
import type { AdapterUsageCounts } from "./adapter_usage.ts";
import { DigestRows } from "./digest_rows.ts";
import * as events from "./events.ts";
import type { Membership } from "./membership.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { SharedKind } from "./peer_messages.ts";
import type { AccessState } from "./reach/engine_access.ts";
import type { ReaderRoles } from "./reader_roles.ts";
import type { SharedRecords } from "./shared_records.ts";
import type { WorkspaceRates } from "./workspace_rates.ts";

/** How long after the first digest from a peer the digests to it include what
 * its earlier process had left of its rates, in milliseconds. A new process
 * adopts that only from a peer that has been running for longer than it by more
 * than this time. */
const NEW_PEER_MS = 1500;

/** Time for which news that must be passed on at once are gathered, and the
 * minimum time between two rounds of them, in milliseconds. */
const GATHER_MS = 10;
const URGENT_PAUSE_MS = 100;

/** Connections to peers that were not used for so long are closed, in
 * milliseconds. */
const IDLE_LINK_MS = 30_000;

/** A difference of the clocks since the last tick above which this process was
 * suspended, in milliseconds. */
const SUSPENDED_MIN_MS = 500;

/** Busy time is reported in steps of this fraction, and the time of calls to the
 * store in steps of this many milliseconds. */
const BUSY_STEP = 0.05;
const STORE_STEP_MS = 2;

/** The name under which fetches of adapters are counted beside the requests at
 * engines. */
const FETCHES = "";

/** What is known of a peer's process. */
interface PeerState {
  /** When its first digest arrived, by the monotonic clock. */
  readonly aliveSince: number;
  /** What its earlier process had left of its rates. */
  readonly formerRooms: Readonly<Record<string, number>>;
}

/** Parts of the gateway whose state digests report and update. */
export interface DigestExchangeOptions {
  readonly self: Member;
  readonly members: MemberTable;
  readonly membership: Membership;
  readonly engineTable: EngineTable;
  readonly loader: AdapterLoader;
  readonly records: SharedRecords;
  readonly rates: WorkspaceRates;
  readonly use: AdapterUsageCounts;
  readonly quarantine: Quarantine;
  readonly limits: EngineLimits;
  readonly warmUps: Pick<WarmUps, "report" | "recordTold">;
  readonly roles: Pick<ReaderRoles, "expectsRecordsBefore" | "isStoreReader">;
  /** Whether the store replies to this instance. */
  readonly reachesStore: () => boolean;
  readonly pathDelays: PathDelays;
  readonly clocks: ClockPair;
  /** The region of a zone. */
  readonly regionOf: (zone: string) => string | undefined;
  readonly otherRegions: () => readonly string[];
  readonly links: () => PeerLinks;
  readonly state: () => {
    readonly ready: boolean;
    readonly leaving: boolean;
    /** Whether callers send requests to this instance. */
    readonly serves: boolean;
    /** Fraction of time for which this instance is busy, in [0, 1]. */
    readonly busy: number;
  } & Partial<AccessState>;
  readonly reach: EngineReach;
  readonly log: EventLog;
}

/** Sends digests to peers and applies those received from them. */
export class DigestExchange {
  readonly #options: DigestExchangeOptions;
  readonly #plane: DigestPlane;
  readonly #rows: DigestRows;
  readonly #peers = new Map<string, PeerState>();
  /** Names of the peers that are not heard of at present. */
  readonly #unresponsive = new Set<string>();
  // Most instances read records from the store rarely, so they pull them at once
  // from a peer that is ahead.
  readonly #lagDetectors = createLagDetectors(0);
  /** For records that should reach this instance by another way first. */
  readonly #patientLagDetectors = createLagDetectors();
  /** The newest revision of evacuations that a peer announced and whose records it
   * has sent since. */
  #fetchedEvacuations = 0;
  /** The newest revisions announced so far, in the order of the kinds. */
  #announcedRevisions: readonly number[] = [];
  #tickedAt: Moment;
  #gathering: NodeJS.Timeout | undefined;
  #urgentAt = -Infinity;

  constructor(options: DigestExchangeOptions) {
    this.#options = options;
    const { self, members, pathDelays, loader } = options;
    this.#tickedAt = options.clocks.read();
    this.#plane = new DigestPlane(self, {
      members,
      now: performance.now(),
      onRows: (member, rows) => this.#applyRows(member, rows),
      onUse: (from, engine, use) => loader.recordAdapterUse(from, engine, use),
      onLoads: (loads, validUntil) => this.#setLoads(loads, validUntil),
      onRoundTrip: (member, { roundTripMs, intervalMs }) =>
        pathDelays.record(member.name, {
          region: member.region,
          roundTripMs,
          intervalMs,
          at: performance.now(),
        }),
      onDelivered: (member, sentAt) =>
        options.links().confirmDelivery(member.peerAddress, sentAt),
      onPeer: (member) => this.#addPeer(member),
    });
    this.#rows = new DigestRows({ ...options, board: this.#plane.board });
  }

  /** The largest age of what is known of an instance that callers use and that is
   * alive, in milliseconds. */
  get oldestAgeMs(): number {
    const { members, self } = this.#options;
    const now = performance.now();
    let oldestMs = 0;
    for (const { member, state, heardAt } of this.#plane.board.origins()) {
      if (member.name === self.name || !state.serves) continue;
      if (!members.isAlive(member.name, now)) continue;
      oldestMs = Math.max(oldestMs, now - heardAt);
    }
    return Math.round(oldestMs);
  }

  /** Sends a digest to all peers at once if a shared kind has a newer revision
   * than the last one announced. Called by store readers. */
  announceChanges(): void {
    const revisions = this.#newestRevisions();
    if (
      !revisions.some((revision, i) =>
        revision > (this.#announcedRevisions[i] ?? 0)
      )
    ) {
      return;
    }
    this.#announcedRevisions = revisions;
    this.#sendSoon();
  }

  /** Whether this instance passes digests on. */
  get isCollector(): boolean {
    return this.#plane.isCollector;
  }

  /** Sends a digest to each peer for which one is due, `ticks` after the last
   * call; to all if `isUrgent`. */
  send({ isUrgent = false, ticks = 1 } = {}): void {
    const { links } = this.#options;
    const now = performance.now();
    this.#recordSuspension();
    this.#publish(now);
    for (
      const { member, everyMs, build } of this.#plane.plan(now, {
        isUrgent,
        ticks,
      })
    ) {
      const connection = links().connect(member.peerAddress, everyMs);
      if (connection === undefined) continue;
      const digest = build(connection);
      const formerRooms = this.#formerRoomsFor(member, now);
      links().send(
        member.peerAddress,
        formerRooms === undefined ? digest : { ...digest, formerRooms },
      );
    }
    if (isUrgent) return;
    this.#rows.applyOwners();
    this.#compareRevisions(now);
    this.#logLostPeers(now);
    links().closeIdle(now - IDLE_LINK_MS);
  }

  /** Applies a digest received from the peer `from`. */
  receive(from: string, message: Digest): void {
    const { members, rates, log } = this.#options;
    const now = performance.now();
    const member = members.get(from);
    if (member === undefined) return;
    const digest = decodeDigest(message);
    if (digest === undefined) {
      log.write(events.PEER_MESSAGE_INVALID, { peer: from, reason: "digest" });
      return;
    }
    this.#plane.receive(member, digest, now);
    if (digest.up > now + NEW_PEER_MS && now < NEW_PEER_MS * 2) {
      rates.adoptFormerRooms(digest.formerRooms ?? {});
    }
    if (this.#plane.isUrgent) this.#sendSoon();
  }

  /** Stops passing news on. */
  close(): void {
    clearTimeout(this.#gathering);
  }

  /** Sends digests to all peers, together with news that follow at once. */
  #sendSoon(): void {
    if (this.#gathering !== undefined) return;
    const sinceMs = performance.now() - this.#urgentAt;
    this.#gathering = setTimeout(() => {
      this.#gathering = undefined;
      this.#urgentAt = performance.now();
      this.send({ isUrgent: true });
    }, Math.max(GATHER_MS, URGENT_PAUSE_MS - sinceMs));
  }

  /** Makes what is known older by the time for which this process was
   * suspended: its monotonic clock does not count it. */
  #recordSuspension(): void {
    const { clocks } = this.#options;
    const before = this.#tickedAt;
    const elapsedMs = clocks.elapsedMs(before);
    this.#tickedAt = clocks.read();
    const missingMs = elapsedMs - (this.#tickedAt.monotonic - before.monotonic);
    if (missingMs >= SUSPENDED_MIN_MS) this.#plane.recordSuspension(missingMs);
  }

  #publish(now: number): void {
    const { members, roles } = this.#options;
    this.#plane.setState(this.#state(now), now);
    this.#rows.publish(this.#plane, now);
    const isReported = roles.isStoreReader ||
      !isLargeFleet(members.list().length);
    const revisions = isReported ? this.#newestRevisions() : [];
    this.#plane.publish(
      "revisions",
      revisions.map((revision, i) => [
        this.#options.records.kinds[i] ?? "",
        revision,
        revision,
      ]),
      now,
    );
    this.#plane.setLoads(this.#ownLoads());
  }

  /** This instance's state; sends use of adapters to the owners of engines. */
  #state(now: number) {
    const { self, membership, loader, engineTable, use } = this.#options;
    const { ready, leaving, serves, busy, ...paths } = this.#options.state();
    let isOwner = false;
    for (const { engine: { key } } of engineTable.all()) {
      const owner = membership.ownerOf(key);
      if (owner === self.name) isOwner = true;
      const counts = owner === undefined ? undefined : use.collect(key);
      if (owner === undefined || counts === undefined) continue;
      if (owner === self.name) loader.recordAdapterUse(owner, key, counts);
      else this.#plane.sendUse(owner, key, counts, now);
    }
    const { storeRoundTripMs } = membership;
    return {
      ready,
      leaving,
      serves,
      orders: isOwner,
      busy: Math.round(busy / BUSY_STEP) * BUSY_STEP,
      reachesStore: this.#options.reachesStore(),
      storeRoundTripMs: storeRoundTripMs === undefined
        ? undefined
        : Math.ceil(storeRoundTripMs / STORE_STEP_MS) * STORE_STEP_MS,
      tenure: membership.tenure,
      ...paths,
    };
  }

  /** Requests of this instance by engine, and fetches of its engines. */
  #ownLoads(): LoadCounts {
    const { engineTable, loader } = this.#options;
    const counts = new Map<string, number>();
    for (const { engine, inFlight } of engineTable.all()) {
      if (inFlight > 0) counts.set(engine.key, inFlight);
    }
    if (loader.fetches > 0) counts.set(FETCHES, loader.fetches);
    return counts;
  }

  #setLoads({ counts, countedAt }: CountedLoads, validUntil: number): void {
    const { engineTable, loader } = this.#options;
    const times = { countedAt, validUntil };
    for (const view of engineTable.all()) {
      view.setOthersLoad(counts.get(view.engine.key) ?? 0, times);
    }
    loader.recordOtherFetches(counts.get(FETCHES) ?? 0);
  }

  #applyRows(member: Member, rows: readonly BoardRow[]): void {
    this.#rows.apply(member, rows);
    if (rows.some(({ kind }) => kind === "revisions")) {
      this.#compareRevisions(performance.now());
    }
  }

  #newestRevisions(): readonly number[] {
    const { records } = this.#options;
    return records.kinds.map((kind) => records.summary(kind).revision);
  }

  #addPeer(member: Member): void {
    const { rates, log } = this.#options;
    log.write(events.PEER_REACHABLE, { peer: member.name });
    this.#unresponsive.delete(member.name);
    this.#peers.set(member.name, {
      aliveSince: performance.now(),
      formerRooms: rates.roomsOf(member.name),
    });
  }

  #formerRoomsFor(
    { name }: Member,
    now: number,
  ): Readonly<Record<string, number>> | undefined {
    const peer = this.#peers.get(name);
    const isNew = peer !== undefined && now - peer.aliveSince <= NEW_PEER_MS;
    return isNew ? peer.formerRooms : undefined;
  }

  #logLostPeers(now: number): void {
    const { members, log } = this.#options;
    for (const peer of this.#peers.keys()) {
      const isAlive = members.isAlive(peer, now);
      if (isAlive && this.#unresponsive.delete(peer)) {
        log.write(events.PEER_REACHABLE, { peer });
      } else if (!isAlive && !this.#unresponsive.has(peer)) {
        this.#unresponsive.add(peer);
        log.write(events.PEER_UNRESPONSIVE, { peer });
      }
      if (members.get(peer) !== undefined) continue;
      this.#peers.delete(peer);
      this.#unresponsive.delete(peer);
    }
  }

  /** Pulls the records of each kind of which a peer has a newer revision than
   * this instance's watch has delivered: the watch may be dead, or the store may
   * be rejecting this instance. */
  #compareRevisions(now: number): void {
    const { members, self, records } = this.#options;
    for (const { member } of this.#plane.board.origins()) {
      if (member.name === self.name || !members.isAlive(member.name, now)) {
        continue;
      }
      for (const kind of records.kinds) {
        const row = this.#plane.board.rowOf(member.name, "revisions", kind);
        const revision = Number(row?.value ?? 0);
        if (revision > 0) {
          this.#compareRevision(member, { kind, revision, now });
        }
      }
    }
  }

  #compareRevision(
    member: Member,
    announced: {
      readonly kind: SharedKind;
      readonly revision: number;
      readonly now: number;
    },
  ): void {
    const { records, roles } = this.#options;
    const { kind, revision, now } = announced;
    const follower = records.follower(kind);
    const isExpected = roles.expectsRecordsBefore(member, { kind, now });
    const detectors = isExpected
      ? this.#patientLagDetectors
      : this.#lagDetectors;
    const isSet = kind === "engines" || kind === "evacuations";
    const isBehind = detectors[kind].observe({
      // The revision up to which the watch has reported changes says nothing
      // about changes that it missed. For sets it is used nonetheless,
      // because the revision of a removal may differ between instances.
      ownRevision: isSet
        ? Math.max(
          follower.revision,
          records.summary(kind).revision,
          kind === "evacuations" ? this.#fetchedEvacuations : 0,
        )
        : follower.newestRevision,
      peerRevision: revision,
      now,
    });
    // A process without any records of the kind does not wait for the store.
    if (!isBehind && follower.known) return;
    void records.pull(member, kind).then((isReceived) => {
      if (!isReceived || kind !== "evacuations") return;
      this.#fetchedEvacuations = Math.max(this.#fetchedEvacuations, revision);
    });
  }
}

function createLagDetectors(toleranceMs?: number) {
  return {
    configuration: new LagDetector(toleranceMs),
    engines: new LagDetector(toleranceMs),
    versions: new LagDetector(toleranceMs),
    assignment: new LagDetector(toleranceMs),
    evacuations: new LagDetector(toleranceMs),
  };
}
