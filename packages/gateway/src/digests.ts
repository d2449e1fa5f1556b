/** What instances tell each other a few times a second.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  aggregatesLoads,
  type EngineTable,
  type EngineView,
  LagDetector,
  type Member,
  type MemberTable,
  ticksBetweenDigests,
  type TokenRate,
} from "@banyanlb/serving";
import type { AdapterLoader } from "./adapter_loader.ts";
import * as events from "./events.ts";
import type { KindFollower } from "./kind_follower.ts";
import type { Knowledge } from "./knowledge.ts";
import type { Membership } from "./membership.ts";
import {
  type Digest,
  type PullReply,
  SHARED_KINDS,
  type SharedKind,
} from "./peer_messages.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { AdapterUsage, AdapterUsageCounts } from "./adapter_usage.ts";

/** Time between ticks, in milliseconds: how old near instances' counts may
 * be. */
export const DIGEST_MS = 200;

/** What is told only when it changes is told again after this many digests: a
 * digest may have been lost with its connection. */
const REPEAT_AFTER = 10;

/** Counts of requests are valid for this many digests after the one that told
 * them, and no less than this time, in milliseconds. */
const COUNTS_VALID_DIGESTS = 4;
const COUNTS_VALID_MS = 1500;

/** A peer that was found just now gets the levels of the rates for this long,
 * and takes them from one that has run longer by as much, in milliseconds. */
const NEW_PEER_MS = 1500;

/** Time allowed for a peer's full list, in milliseconds. */
const PULL_TIMEOUT_MS = 800;

/** Something told when it changes: its name, a number that differs after each
 * change, and the value to tell. */
type ToldRow<T> = readonly [name: string, state: number, value: T];

/** An engine and the instance that orders there. */
interface OwnedEngine {
  readonly view: EngineView;
  readonly key: string;
  readonly owner: string | undefined;
}

/** A peer as digests know it: what it was told, and what it confirmed. */
interface KnownPeer {
  readonly incarnation: string;
  /** The newest tick received from it. */
  ack: number;
  /** When it was found alive; undefined while it is silent. */
  aliveSince: number | undefined;
  /** Digests sent to it, and the tick of the last one. */
  sent: number;
  sentAt: number;
  readonly toldHeld: Map<string, number>;
  readonly toldUsed: Map<string, number>;
}

/** What this module needs. */
export interface DigestParts {
  readonly self: Member;
  readonly members: MemberTable;
  readonly membership: Membership;
  readonly board: EngineTable;
  readonly loader: AdapterLoader;
  readonly knowledge: Knowledge;
  readonly rates: ReadonlyMap<string, TokenRate>;
  readonly use: AdapterUsageCounts;
  readonly links: () => PeerLinks;
  readonly state: () => {
    readonly ready: boolean;
    readonly leaving: boolean;
    /** Whether callers use this instance. */
    readonly serves: boolean;
    /** Part of its time for which this instance is busy, in [0, 1]. */
    readonly busy: number;
  };
  readonly log: EventLog;
}

/** Sends and takes in digests. */
export class Digests {
  readonly #parts: DigestParts;
  /** Number of the current tick. */
  #seq = 0;
  readonly #peers = new Map<string, KnownPeer>();
  readonly #behind = {
    configuration: new LagDetector(),
    // Most instances read these seldom, and hear of changes here.
    engines: new LagDetector(0),
    versions: new LagDetector(0),
    assignment: new LagDetector(0),
  };
  readonly #pulling = new Set<string>();
  /** The newest revisions that were pushed, in the order of the kinds. */
  #pushed: readonly number[] = [];

  constructor(parts: DigestParts) {
    this.#parts = parts;
  }

  /** Tells all peers at once if this instance, which reads for them, has seen a
   * change that they should know. */
  pushNews(): void {
    const newest = SHARED_KINDS.map((kind) => this.#newest(kind));
    if (!newest.some((revision, i) => revision > (this.#pushed[i] ?? 0))) {
      return;
    }
    this.#pushed = newest;
    this.send(true);
  }

  /** Sends a digest to each peer whose turn it is; to all if `urgent`. */
  send(urgent = false): void {
    const { members, membership, loader, self, use, board } = this.#parts;
    this.#seq += 1;
    const peers = members.list();
    const engines = [...board.all()].map((view): OwnedEngine => {
      const key = view.engine.key;
      return { view, key, owner: membership.ownerOf(key) };
    });
    let orders = false;
    for (const { key, owner } of engines) {
      if (owner !== self.name) continue;
      orders = true;
      loader.learnUse(owner, key, use.collect(key) ?? {});
    }
    const common = {
      ...this.#common(),
      orders: orders ? true as const : undefined,
    };
    const held = loader.held();
    const used = [...this.#parts.rates].map(([name, rate]): ToldRow<number> => {
      const units = Math.round(rate.used);
      return [name, units, units];
    });
    const own = { ...self, serves: common.serves === true, orders };
    const sums = aggregatesLoads(peers.length);
    for (const member of peers) {
      const part = members.roleOf(member);
      const every = ticksBetweenDigests(own, part, peers.length);
      const peer = this.#peer(member);
      if (!urgent && this.#seq - peer.sentAt < every) continue;
      peer.sent += 1;
      peer.sentAt = this.#seq;
      const digest: Digest = {
        ...common,
        ack: peer.ack,
        every: every === 1 ? undefined : every,
        flight: this.#flightFor(member.name, engines, sums),
        used: newsFor(peer, peer.toldUsed, used),
        levels: this.#levelsFor(peer),
        held: newsFor(peer, peer.toldHeld, held),
        use: this.#useFor(member.name, engines),
      };
      this.#parts.links().send(member.peerAddress, digest, every * DIGEST_MS);
    }
    this.#noteSilence();
  }

  /** Takes in a peer's digest. */
  take(from: string, digest: Digest): void {
    const { members, board, loader, rates, log } = this.#parts;
    const now = performance.now();
    const member = members.get(from);
    if (member === undefined) return;
    const peer = this.#peer(member);
    if (peer.aliveSince === undefined) {
      peer.aliveSince = now;
      log.write(events.PEER_REACHABLE, { peer: from });
    }
    const everyMs = (digest.every ?? 1) * DIGEST_MS;
    members.setState(from, now, {
      ready: digest.ready,
      leaving: digest.leaving === true,
      tenure: digest.tenure,
      digestIntervalMs: everyMs,
      serves: digest.serves === true,
      orders: digest.orders === true,
      busy: (digest.busy ?? 0) / 100,
      reachesStore: digest.cut !== true,
    });
    peer.ack = digest.seq;
    if (digest.ack > 0) {
      const age = Math.max(0, this.#seq - digest.ack) * DIGEST_MS;
      this.#parts.links().prove(member.peerAddress, now - age);
    }
    const validMs = Math.max(COUNTS_VALID_MS, everyMs * COUNTS_VALID_DIGESTS);
    for (const view of board.all()) {
      const key = view.engine.key;
      view.setPeerLoad(from, digest.flight?.[key] ?? 0, now + validMs);
      if (this.#parts.membership.ownerOf(key) === from) {
        view.down = digest.down?.includes(key) === true;
      }
    }
    for (const [name, used] of Object.entries(digest.used ?? {})) {
      const { incarnation } = member;
      rates.get(name)?.recordPeerUse(from, {
        incarnation,
        used,
        digestIntervalMs: everyMs,
        now,
      });
    }
    if (digest.up > now + NEW_PEER_MS && now < NEW_PEER_MS * 2) {
      for (const [name, level] of Object.entries(digest.levels ?? {})) {
        rates.get(name)?.adoptLevel(level, now);
      }
    }
    loader.learnFetches(from, digest.fetches ?? 0);
    for (const [key, use] of Object.entries(digest.use ?? {})) {
      loader.learnUse(from, key, use);
    }
    for (const [key, rows] of Object.entries(digest.held ?? {})) {
      const view = board.get(key);
      if (view === undefined) continue;
      if (this.#parts.membership.ownerOf(key) !== from) continue;
      view.isReportedByOwner = true;
      view.adapters = new Map(
        rows.map(([adapter, version, readyIn]) => [
          adapter,
          { version, readyAt: readyIn === 0 ? 0 : now + readyIn },
        ]),
      );
    }
    this.#compare(member, digest, now);
  }

  /** The follower of a kind. */
  follower(kind: SharedKind): KindFollower {
    const { knowledge, membership } = this.#parts;
    return kind === "assignment"
      ? membership.assignmentFollower
      : knowledge.follower(kind);
  }

  #newest(kind: SharedKind): number {
    return kind === "engines"
      ? this.#parts.knowledge.enginesNews
      : this.follower(kind).newest;
  }

  /** What all peers are told alike. */
  #common() {
    const { membership, knowledge, loader } = this.#parts;
    const { ready, leaving, serves, busy } = this.#parts.state();
    const down = loader.down();
    const fetches = loader.fetches;
    return {
      t: "digest" as const,
      seq: this.#seq,
      ready,
      leaving: leaving ? true as const : undefined,
      serves: serves ? true as const : undefined,
      busy: Math.round(busy * 100) || undefined,
      cut: knowledge.reachesStore ? undefined : true as const,
      tenure: membership.tenure,
      revs: SHARED_KINDS.map((kind) => this.#newest(kind)),
      up: Math.round(performance.now()),
      down: down.length === 0 ? undefined : down,
      fetches: fetches === 0 ? undefined : fetches,
    };
  }

  /** What is known of a peer, from nothing if its process is a new one. */
  #peer(member: Member): KnownPeer {
    const known = this.#peers.get(member.name);
    if (known?.incarnation === member.incarnation) return known;
    const peer = {
      incarnation: member.incarnation,
      ack: 0,
      aliveSince: undefined,
      sent: 0,
      sentAt: -Infinity,
      toldHeld: new Map<string, number>(),
      toldUsed: new Map<string, number>(),
    };
    this.#peers.set(member.name, peer);
    return peer;
  }

  /** Requests at engines that this instance answers for towards a peer. */
  #flightFor(
    peer: string,
    engines: readonly OwnedEngine[],
    sums: boolean,
  ): Readonly<Record<string, number>> | undefined {
    const { self } = this.#parts;
    const now = performance.now();
    const flight: Record<string, number> = {};
    for (const { view, key, owner } of engines) {
      const count = sums && owner === self.name
        ? view.loadExcluding(peer, now)
        : !sums || owner === undefined || owner === peer
        ? view.inFlight
        : 0;
      if (count > 0) flight[key] = count;
    }
    return isEmpty(flight) ? undefined : flight;
  }

  #useFor(
    peer: string,
    engines: readonly OwnedEngine[],
  ): Readonly<Record<string, AdapterUsage>> | undefined {
    const byEngine: Record<string, AdapterUsage> = {};
    for (const { key, owner } of engines) {
      if (owner !== peer) continue;
      const taken = this.#parts.use.collect(key);
      if (taken !== undefined) byEngine[key] = taken;
    }
    return isEmpty(byEngine) ? undefined : byEngine;
  }

  #levelsFor(peer: KnownPeer): Readonly<Record<string, number>> | undefined {
    const now = performance.now();
    if (now - (peer.aliveSince ?? -Infinity) > NEW_PEER_MS) return undefined;
    return Object.fromEntries(
      [...this.#parts.rates].map(([name, rate]) => [
        name,
        Math.round(rate.levelAt(now)),
      ]),
    );
  }

  #noteSilence(): void {
    const now = performance.now();
    for (const [name, peer] of this.#peers) {
      if (peer.aliveSince === undefined) continue;
      if (this.#parts.members.isAlive(name, now)) continue;
      this.#peers.delete(name);
      this.#parts.log.write(events.PEER_UNRESPONSIVE, { peer: name });
    }
  }

  /** A peer that knows a newer change than the store's watch has brought: the
   * watch may be dead, or the store turns this instance away. */
  #compare(member: Member, digest: Digest, now: number): void {
    SHARED_KINDS.forEach((kind, i) => {
      const follower = this.follower(kind);
      const theirs = digest.revs[i] ?? 0;
      const behind = this.#behind[kind].observe({
        ownRevision: follower.revision,
        peerRevision: theirs,
        now,
      });
      // A process that knows nothing yet does not wait.
      if (behind || (!follower.known && theirs > 0)) {
        void this.#pull(member, kind);
      }
    });
  }

  async #pull(
    member: Member,
    kind: SharedKind,
  ): Promise<void> {
    if (this.#pulling.has(kind)) return;
    this.#pulling.add(kind);
    const reply = await this.#parts.links().ask(
      member.peerAddress,
      (n) => ({ t: "pull", n, kind }),
      PULL_TIMEOUT_MS,
    );
    this.#pulling.delete(kind);
    const list = (reply as PullReply | undefined)?.list;
    if (list === undefined) return;
    const { log } = this.#parts;
    if (this.follower(kind).adopt(list)) {
      log.write(events.RECORDS_FETCHED_FROM_PEER, {
        kind,
        peer: member.name,
        revision: list.revision,
      });
    }
  }
}

/** The values that have changed since the peer was told, by name; they count as
 * told from then on. */
function newsFor<T>(
  peer: KnownPeer,
  told: Map<string, number>,
  rows: readonly ToldRow<T>[],
): Readonly<Record<string, T>> | undefined {
  const news: Record<string, T> = {};
  for (const [name, state, value] of rows) {
    if (told.get(name) === state && !isRepeat(peer)) continue;
    told.set(name, state);
    news[name] = value;
  }
  return isEmpty(news) ? undefined : news;
}

function isRepeat(peer: KnownPeer): boolean {
  return peer.sent % REPEAT_AFTER === 0;
}

function isEmpty(fields: Readonly<Record<string, unknown>>): boolean {
  for (const _ in fields) return false;
  return true;
}
