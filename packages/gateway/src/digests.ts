/** What instances tell each other a few times a second.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  BehindWatch,
  type EngineBoard,
  type Member,
  type MemberTable,
  type TokenRate,
} from "@banyanlb/serving";
import type { AdapterLoader } from "./adapter_loader.ts";
import * as events from "./events.ts";
import type { Knowledge } from "./knowledge.ts";
import type { Membership } from "./membership.ts";
import {
  type Digest,
  type HeldRow,
  type PullReply,
  SHARED_KINDS,
} from "./peer_messages.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { AdapterUse, UseCounts } from "./use_counts.ts";

/** Held adapters are told again after this many digests, also if unchanged: a
 * digest may have been lost with its connection. */
const REPEAT_HELD = 10;

/** A peer that was found just now gets the levels of the rates for this long,
 * and takes them from one that has run longer by as much, in milliseconds. */
const NEW_PEER_MS = 1500;

/** Time allowed for a peer's full list, in milliseconds. */
const PULL_TIMEOUT_MS = 800;

/** What this module needs. */
export interface DigestParts {
  readonly self: Member;
  readonly members: MemberTable;
  readonly membership: Membership;
  readonly board: EngineBoard;
  readonly loader: AdapterLoader;
  readonly knowledge: Knowledge;
  readonly rates: ReadonlyMap<string, TokenRate>;
  readonly use: UseCounts;
  readonly links: () => PeerLinks;
  readonly state: () => { readonly ready: boolean; readonly leaving: boolean };
  readonly log: EventLog;
}

/** Sends and takes in digests. */
export class Digests {
  readonly #parts: DigestParts;
  #seq = 0;
  readonly #acks = new Map<string, number>();
  readonly #told = new Map<string, number>();
  readonly #behind = {
    configuration: new BehindWatch(),
    engines: new BehindWatch(),
    versions: new BehindWatch(),
  };
  /** Peers that are alive, with the time at which they were found. */
  readonly #alive = new Map<string, number>();
  readonly #pulling = new Set<string>();

  constructor(parts: DigestParts) {
    this.#parts = parts;
  }

  /** Sends one digest to each peer. */
  send(): void {
    const { members, membership, board, loader, self, use } = this.#parts;
    const { knowledge, rates } = this.#parts;
    this.#seq += 1;
    const flight: Record<string, number> = {};
    const useByOwner = new Map<string, Record<string, AdapterUse>>();
    for (const view of board.all()) {
      const key = view.engine.key;
      if (view.inFlight > 0) flight[key] = view.inFlight;
      const taken = use.take(key);
      const owner = membership.ownerOf(key);
      if (owner === self.name) loader.learnUse(owner, key, taken ?? {});
      else if (owner !== undefined && taken !== undefined) {
        const engines = useByOwner.get(owner) ?? {};
        engines[key] = taken;
        useByOwner.set(owner, engines);
      }
    }
    const { ready, leaving } = this.#parts.state();
    const common = {
      t: "digest" as const,
      seq: this.#seq,
      ready,
      leaving,
      tenure: membership.tenure,
      revs: SHARED_KINDS.map((kind) => knowledge.follower(kind).newest),
      flight,
      used: Object.fromEntries(
        [...rates].map(([name, rate]) => [name, Math.round(rate.used)]),
      ),
      up: Math.round(performance.now()),
      down: loader.down(),
      fetches: loader.fetches,
    };
    const held = loader.held();
    for (const member of members.list()) {
      const digest: Digest = {
        ...common,
        ack: this.#acks.get(member.name) ?? 0,
        levels: this.#levelsFor(member.name),
        held: this.#heldFor(member.name, held),
        use: useByOwner.get(member.name),
      };
      this.#parts.links().send(member.peerAddress, digest);
    }
    this.#noteSilence();
  }

  /** Takes in a peer's digest. */
  take(from: string, digest: Digest): void {
    const { members, board, loader, rates, log } = this.#parts;
    const now = performance.now();
    const member = members.get(from);
    if (member === undefined) return;
    if (!this.#alive.has(from)) {
      this.#alive.set(from, now);
      log.write(events.PEER_FOUND, { peer: from });
    }
    members.hear(from, now, {
      ready: digest.ready,
      leaving: digest.leaving,
      tenure: digest.tenure,
    });
    this.#acks.set(from, digest.seq);
    if (digest.ack >= this.#seq - 3) {
      this.#parts.links().prove(member.peerAddress);
    }
    for (const view of board.all()) {
      const key = view.engine.key;
      view.learnCount(from, digest.flight[key] ?? 0, now);
      if (this.#parts.membership.ownerOf(key) === from) {
        view.down = digest.down.includes(key);
      }
    }
    for (const [name, used] of Object.entries(digest.used)) {
      rates.get(name)?.learn(from, member.incarnation, used);
    }
    if (digest.up > now + NEW_PEER_MS && now < NEW_PEER_MS * 2) {
      for (const [name, level] of Object.entries(digest.levels ?? {})) {
        rates.get(name)?.adopt(level);
      }
    }
    loader.learnFetches(from, digest.fetches);
    for (const [key, use] of Object.entries(digest.use ?? {})) {
      loader.learnUse(from, key, use);
    }
    for (const [key, rows] of Object.entries(digest.held ?? {})) {
      const view = board.get(key);
      if (view === undefined) continue;
      if (this.#parts.membership.ownerOf(key) !== from) continue;
      view.told = true;
      view.adapters = new Map(
        rows.map(([adapter, version, readyIn]) => [
          adapter,
          { version, readyAt: readyIn === 0 ? 0 : now + readyIn },
        ]),
      );
    }
    this.#compare(member, digest, now);
  }

  #levelsFor(peer: string): Readonly<Record<string, number>> | undefined {
    const foundAt = this.#alive.get(peer) ?? -Infinity;
    if (performance.now() - foundAt > NEW_PEER_MS) return undefined;
    return Object.fromEntries(
      [...this.#parts.rates].map(([name, r]) => [name, Math.round(r.level)]),
    );
  }

  #heldFor(
    peer: string,
    held: readonly (readonly [string, number, readonly HeldRow[]])[],
  ): Readonly<Record<string, readonly HeldRow[]>> | undefined {
    const rows: Record<string, readonly HeldRow[]> = {};
    let any = false;
    for (const [key, changes, list] of held) {
      const told = `${peer} ${key}`;
      const repeat = this.#seq % REPEAT_HELD === 0;
      if (this.#told.get(told) === changes && !repeat) continue;
      this.#told.set(told, changes);
      rows[key] = list;
      any = true;
    }
    return any ? rows : undefined;
  }

  #noteSilence(): void {
    const now = performance.now();
    for (const name of this.#alive.keys()) {
      if (this.#parts.members.isAlive(name, now)) continue;
      this.#alive.delete(name);
      this.#parts.log.write(events.PEER_LOST, { peer: name });
    }
  }

  /** A peer that knows a newer change than the store's watch has brought: the
   * watch may be dead, or the store turns this instance away. */
  #compare(member: Member, digest: Digest, now: number): void {
    SHARED_KINDS.forEach((kind, i) => {
      const follower = this.#parts.knowledge.follower(kind);
      const theirs = digest.revs[i] ?? 0;
      const behind = this.#behind[kind].note({
        mine: follower.revision,
        theirs,
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
    kind: typeof SHARED_KINDS[number],
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
    const { knowledge, log } = this.#parts;
    if (knowledge.follower(kind).adopt(list)) {
      log.write(events.TAKEN_FROM_PEER, {
        kind,
        peer: member.name,
        revision: list.revision,
      });
    }
  }
}
