/** Exchange of digests: the state that instances report to each other a few
 * times a second.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  aggregatesLoads,
  distanceBetween,
  type Engine,
  type EngineLimits,
  type EngineTable,
  type EngineView,
  LagDetector,
  type Member,
  type MemberTable,
  type PartQuarantine,
  type PathDelays,
  type ReportRow,
  SLOW_PATH_MS,
  ticksBetweenDigests,
} from "@banyanlb/serving";
import type { AdapterLoader } from "./adapter_loader.ts";
import * as events from "./events.ts";
import type { Membership } from "./membership.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { ReaderRoles } from "./reader_roles.ts";
import { type Digest, SHARED_KINDS } from "./peer_messages.ts";
import { SentRows } from "./sent_rows.ts";
import type { SharedRecords } from "./shared_records.ts";
import type { StoreView } from "./store_view.ts";
import type { AdapterUsage, AdapterUsageCounts } from "./adapter_usage.ts";
import type { WorkspaceRates } from "./workspace_rates.ts";

/** Time between ticks, in milliseconds. It bounds the age of the request counts
 * that nearby instances report. */
export const DIGEST_TICK_MS = 200;

/** Number of digests to a peer after which a digest repeats every value,
 * including unchanged ones, since a digest may have been lost with its
 * connection. */
const REFRESH_EVERY_DIGESTS = 10;

/** Number of ticks of which the time is known; an acknowledgement of an older
 * one shows only that the peer is alive. */
const TICKS_KEPT = 128;

/** Request counts reported by a peer stay valid for this many of its digest
 * intervals, and at least for the minimum time, in milliseconds. */
const COUNTS_VALID_DIGESTS = 4;
const COUNTS_VALID_MIN_MS = 1500;

/** How long after the first digest from a peer the digests to it include what
 * its earlier process had left of its rates, in milliseconds. A new process
 * adopts that only from a peer that has been running for longer than it by more
 * than this time. */
const NEW_PEER_MS = 1500;

/** An engine and the instance that sends orders to it. */
interface EngineWithOwner {
  readonly view: EngineView;
  readonly key: string;
  readonly owner: string | undefined;
}

/** The digests exchanged with one peer. */
interface PeerState {
  readonly incarnation: string;
  /** The newest tick received from the peer, and when. */
  ack: number;
  ackedAt: number;
  /** When the first digest arrived from the peer, by the monotonic clock;
   * undefined until then. */
  aliveSince: number | undefined;
  /** Number of digests sent to the peer, and the tick of the last one. */
  digestsSent: number;
  lastSentTick: number;
  readonly sentRows: SentRows;
  /** What the peer's earlier process had left of its rates. */
  readonly formerRooms: Readonly<Record<string, number>>;
}

/** Parts of the gateway whose state digests report and update. */
export interface DigestExchangeOptions {
  readonly self: Member;
  readonly members: MemberTable;
  readonly membership: Membership;
  readonly engineTable: EngineTable;
  readonly loader: AdapterLoader;
  readonly storeView: StoreView;
  readonly records: SharedRecords;
  readonly rates: WorkspaceRates;
  readonly use: AdapterUsageCounts;
  readonly quarantine: PartQuarantine;
  readonly limits: EngineLimits;
  readonly roles: Pick<ReaderRoles, "expectsRecordsBefore">;
  readonly pathDelays: PathDelays;
  /** The region of a zone. */
  readonly regionOf: (zone: string) => string | undefined;
  readonly links: () => PeerLinks;
  readonly state: () => {
    readonly ready: boolean;
    readonly leaving: boolean;
    /** Whether callers send requests to this instance. */
    readonly serves: boolean;
    /** Fraction of time for which this instance is busy, in [0, 1]. */
    readonly busy: number;
  };
  readonly log: EventLog;
}

/** Sends digests to peers and applies those received from them. */
export class DigestExchange {
  readonly #options: DigestExchangeOptions;
  /** Number of the current tick. */
  #tick = 0;
  /** When the latest ticks were. */
  readonly #tickTimes = new Map<number, number>();
  readonly #peers = new Map<string, PeerState>();
  // Most instances read records from the store rarely, so they pull them at once
  // from a peer that is ahead.
  readonly #lagDetectors = createLagDetectors(0);
  /** For records that should reach this instance by another way first. */
  readonly #patientLagDetectors = createLagDetectors();
  /** The newest revisions announced so far, in the order of `SHARED_KINDS`. */
  #announcedRevisions: readonly number[] = [];

  constructor(options: DigestExchangeOptions) {
    this.#options = options;
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
    this.send(true);
  }

  /** Sends a digest to each peer for which one is due; to all if `isUrgent`. */
  send(isUrgent = false): void {
    const { members, membership, loader, self, use, engineTable } =
      this.#options;
    const now = performance.now();
    this.#tick += 1;
    this.#tickTimes.set(this.#tick, now);
    this.#tickTimes.delete(this.#tick - TICKS_KEPT);
    const peers = members.list();
    const engines = [...engineTable.all()].map((view): EngineWithOwner => {
      const key = view.engine.key;
      return { view, key, owner: membership.ownerOf(key) };
    });
    let isOwner = false;
    for (const { key, owner } of engines) {
      if (owner !== self.name) continue;
      isOwner = true;
      loader.recordAdapterUse(owner, key, use.collect(key) ?? {});
    }
    const common = {
      ...this.#commonFields(),
      orders: isOwner ? true as const : undefined,
    };
    const held = loader.held();
    const rooms = this.#options.rates.roomRows(now);
    const slow = this.#slowPaths(now);
    const { crashes, answers, holds } = this.#options.quarantine.report(now);
    const limits = this.#options.limits.report(now);
    const selfRole = {
      ...self,
      serves: common.serves === true,
      orders: isOwner,
    };
    const ownersSumLoads = aggregatesLoads(peers.length);
    for (const member of peers) {
      const peerRole = members.roleOf(member);
      const tickInterval = ticksBetweenDigests(
        selfRole,
        peerRole,
        peers.length,
      );
      const peer = this.#peerState(member);
      if (!isUrgent && this.#tick - peer.lastSentTick < tickInterval) continue;
      peer.digestsSent += 1;
      peer.lastSentTick = this.#tick;
      const changed = <T>(kind: string, rows: readonly ReportRow<T>[]) =>
        peer.sentRows.takeChanged(kind, rows, isRefreshDue(peer));
      const digest: Digest = {
        ...common,
        ack: peer.ack,
        ackHeldMs: Math.round(now - peer.ackedAt),
        every: tickInterval === 1 ? undefined : tickInterval,
        flight: this.#inFlightFor(member.name, engines, ownersSumLoads),
        slow,
        rooms: changed("rooms", rooms),
        formerRooms: this.#formerRoomsFor(peer, now),
        held: changed("held", held),
        use: this.#adapterUseFor(member.name, engines),
        crashes: changed("crashes", crashes),
        answers: changed("answers", answers),
        holds: changed("holds", holds),
        limits: changed("limits", limits),
      };
      const isSent = this.#options.links().send(
        member.peerAddress,
        digest,
        tickInterval * DIGEST_TICK_MS,
      );
      if (!isSent) peer.sentRows.clear();
    }
    this.#dropLostPeers();
  }

  /** Applies a digest received from the peer `from`. */
  receive(from: string, digest: Digest): void {
    const { members, engineTable, loader, rates, log } = this.#options;
    const now = performance.now();
    const member = members.get(from);
    if (member === undefined) return;
    const peer = this.#peerState(member);
    if (peer.aliveSince === undefined) {
      peer.aliveSince = now;
      log.write(events.PEER_REACHABLE, { peer: from });
    }
    const intervalMs = (digest.every ?? 1) * DIGEST_TICK_MS;
    members.setState(from, now, {
      ready: digest.ready,
      leaving: digest.leaving === true,
      tenure: digest.tenure,
      digestIntervalMs: intervalMs,
      serves: digest.serves === true,
      orders: digest.orders === true,
      busy: (digest.busy ?? 0) / 100,
      reachesStore: digest.cut !== true,
      storeRoundTripMs: digest.storeMs,
    });
    peer.ack = digest.seq;
    peer.ackedAt = now;
    const sentAt = this.#tickTimes.get(digest.ack);
    if (sentAt !== undefined) {
      this.#options.links().confirmDelivery(member.peerAddress, sentAt);
      this.#options.pathDelays.record(from, {
        region: member.region,
        roundTripMs: Math.max(0, now - sentAt - (digest.ackHeldMs ?? 0)),
        intervalMs,
        at: now,
      });
    }
    const validMs = Math.max(
      COUNTS_VALID_MIN_MS,
      intervalMs * COUNTS_VALID_DIGESTS,
    );
    for (const view of engineTable.all()) {
      const key = view.engine.key;
      view.setPeerLoad(from, digest.flight?.[key] ?? 0, now + validMs);
      const slowMs = digest.slow?.[key];
      if (slowMs !== undefined && this.#isNoFarther(member, view.engine)) {
        view.path.recordReport(slowMs, now);
      }
      if (this.#options.membership.ownerOf(key) === from) {
        view.down = digest.down?.includes(key) === true;
      }
    }
    rates.recordRooms(from, digest.rooms ?? {});
    if (digest.up > now + NEW_PEER_MS && now < NEW_PEER_MS * 2) {
      rates.adoptFormerRooms(digest.formerRooms ?? {});
    }
    this.#options.quarantine.receive(from, digest, now);
    this.#options.limits.receive(digest.limits ?? {}, now);
    loader.recordPeerFetches(from, digest.fetches ?? 0);
    for (const [key, use] of Object.entries(digest.use ?? {})) {
      loader.recordAdapterUse(from, key, use);
    }
    for (const [key, rows] of Object.entries(digest.held ?? {})) {
      const view = engineTable.get(key);
      if (view === undefined) continue;
      if (this.#options.membership.ownerOf(key) !== from) continue;
      view.isReportedByOwner = true;
      view.adapters = new Map(
        rows.map(([adapter, version, readyIn]) => [
          adapter,
          { version, readyAt: readyIn === 0 ? 0 : now + readyIn },
        ]),
      );
    }
    this.#compareRevisions(member, digest, now);
  }

  /** Engines whose path is slow, by this instance's own requests. */
  #slowPaths(now: number): Readonly<Record<string, number>> | undefined {
    const slow: Record<string, number> = {};
    for (const { engine, path } of this.#options.engineTable.all()) {
      const delayMs = path.ownDelayMs(now);
      if (delayMs > SLOW_PATH_MS) slow[engine.key] = Math.round(delayMs);
    }
    return isEmpty(slow) ? undefined : slow;
  }

  /** Whether a path that is slow for the peer is slow for this instance too. */
  #isNoFarther(peer: Member, engine: Engine): boolean {
    const { self, regionOf } = this.#options;
    const place = { zone: engine.zone, region: regionOf(engine.zone) };
    return distanceBetween(peer, place) <= distanceBetween(self, place);
  }

  #newestRevisions(): readonly number[] {
    const { records } = this.#options;
    return SHARED_KINDS.map((kind) => records.summary(kind).revision);
  }

  /** The fields that are the same in the digests to all peers. */
  #commonFields() {
    const { membership, storeView, loader } = this.#options;
    const { ready, leaving, serves, busy } = this.#options.state();
    const down = loader.down();
    const fetches = loader.fetches;
    return {
      t: "digest" as const,
      seq: this.#tick,
      ready,
      leaving: leaving ? true as const : undefined,
      serves: serves ? true as const : undefined,
      busy: Math.round(busy * 100) || undefined,
      cut: storeView.reachesStore ? undefined : true as const,
      storeMs: roundUp(membership.storeRoundTripMs),
      tenure: membership.tenure,
      revs: this.#newestRevisions(),
      up: Math.round(performance.now()),
      down: down.length === 0 ? undefined : down,
      fetches: fetches === 0 ? undefined : fetches,
    };
  }

  /** The state of the exchange with a peer; a new state if the peer's process
   * was restarted. */
  #peerState(member: Member): PeerState {
    const existing = this.#peers.get(member.name);
    if (existing?.incarnation === member.incarnation) return existing;
    const peer = {
      incarnation: member.incarnation,
      ack: 0,
      ackedAt: 0,
      aliveSince: undefined,
      digestsSent: 0,
      lastSentTick: -Infinity,
      sentRows: new SentRows(),
      formerRooms: this.#options.rates.roomsOf(member.name),
    };
    this.#peers.set(member.name, peer);
    return peer;
  }

  /** Number of requests in flight by engine, as reported to a peer. If owners
   * sum up loads, the owner of an engine reports the requests of all instances
   * except the peer, and an instance that is not the owner reports its own
   * requests to the owner only. Otherwise each instance reports its own
   * requests to every peer. */
  #inFlightFor(
    peer: string,
    engines: readonly EngineWithOwner[],
    ownersSumLoads: boolean,
  ): Readonly<Record<string, number>> | undefined {
    const { self } = this.#options;
    const now = performance.now();
    const inFlight: Record<string, number> = {};
    for (const { view, key, owner } of engines) {
      const count = ownersSumLoads && owner === self.name
        ? view.loadExcluding(peer, now)
        : !ownersSumLoads || owner === undefined || owner === peer
        ? view.inFlight
        : 0;
      if (count > 0) inFlight[key] = count;
    }
    return isEmpty(inFlight) ? undefined : inFlight;
  }

  #adapterUseFor(
    peer: string,
    engines: readonly EngineWithOwner[],
  ): Readonly<Record<string, AdapterUsage>> | undefined {
    const byEngine: Record<string, AdapterUsage> = {};
    for (const { key, owner } of engines) {
      if (owner !== peer) continue;
      const adapterUse = this.#options.use.collect(key);
      if (adapterUse !== undefined) byEngine[key] = adapterUse;
    }
    return isEmpty(byEngine) ? undefined : byEngine;
  }

  #formerRoomsFor(
    peer: PeerState,
    now: number,
  ): Readonly<Record<string, number>> | undefined {
    const isNew = now - (peer.aliveSince ?? -Infinity) <= NEW_PEER_MS;
    return isNew ? peer.formerRooms : undefined;
  }

  #dropLostPeers(): void {
    const now = performance.now();
    for (const [name, peer] of this.#peers) {
      if (peer.aliveSince === undefined) continue;
      if (this.#options.members.isAlive(name, now)) continue;
      this.#peers.delete(name);
      this.#options.log.write(events.PEER_UNRESPONSIVE, { peer: name });
    }
  }

  /** Pulls the records of each kind of which the peer has a newer revision than
   * this instance's watch has delivered: the watch may be dead, or the store
   * may be rejecting this instance. */
  #compareRevisions(member: Member, digest: Digest, now: number): void {
    const { records, roles } = this.#options;
    SHARED_KINDS.forEach((kind, i) => {
      const follower = records.follower(kind);
      const announcedRevision = digest.revs[i] ?? 0;
      const isExpected = roles.expectsRecordsBefore(member, { kind, now });
      const detectors = isExpected
        ? this.#patientLagDetectors
        : this.#lagDetectors;
      const detector = detectors[kind];
      const isBehind = detector.observe({
        // The revision up to which the watch has reported changes says nothing
        // about changes that it missed. For engines it is used nonetheless,
        // because the revision of a removal may differ between instances.
        ownRevision: kind === "engines"
          ? Math.max(follower.revision, records.summary(kind).revision)
          : follower.newestRevision,
        peerRevision: announcedRevision,
        now,
      });
      // A process without any records of the kind does not wait for the store.
      if (isBehind || (!follower.known && announcedRevision > 0)) {
        void records.pull(member, kind);
      }
    });
  }
}

function createLagDetectors(toleranceMs?: number) {
  return {
    configuration: new LagDetector(toleranceMs),
    engines: new LagDetector(toleranceMs),
    versions: new LagDetector(toleranceMs),
    assignment: new LagDetector(toleranceMs),
  };
}

function roundUp(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.ceil(ms);
}

function isRefreshDue(peer: PeerState): boolean {
  return peer.digestsSent % REFRESH_EVERY_DIGESTS === 0;
}

function isEmpty(fields: Readonly<Record<string, unknown>>): boolean {
  for (const _ in fields) return false;
  return true;
}
