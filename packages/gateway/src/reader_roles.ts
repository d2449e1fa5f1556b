/** Which instances read the store on behalf of others.
 *
 * @module
 */
import type { SharedKind } from "./peer_messages.ts";
import {
  type ConfirmationRole,
  isLargeFleet,
  type Member,
  type MemberTable,
  precedes,
} from "@banyanlb/serving";

/** Number of instances per region that read the store on behalf of the region's
 * other instances: one reader may be cut off from the store, which is detected
 * only after seconds. */
const STORE_READERS_PER_REGION = 2;

/** Number of leads of the fleet and of each region. */
const LEADS_MAX = 2;

/** Number of instances of a region that may be asked if its leads do not confirm
 * the records. They read lists before the last instances do. */
const BACKUPS_MAX = 2;

/** Fraction of silent members above which the roles are kept for a while, and the
 * longest such time in milliseconds: other collectors take over sooner. */
const SILENT_SHARE_MAX = 0.25;
const BLACKOUT_MAX_MS = 2500;

/** Parts of the gateway that the roles follow from. */
export interface ReaderRolesOptions {
  readonly self: Member;
  readonly members: MemberTable;
  /** Whether the store replies to this instance. */
  readonly reachesStore: () => boolean;
  /** Time of a small call to the store, in milliseconds; undefined before the
   * first. */
  readonly storeRoundTripMs: () => number | undefined;
  /** Called when this instance becomes a store reader. */
  readonly onBecomeReader: () => void;
}

/** The roles of this instance and its leads. */
export class ReaderRoles {
  readonly #options: ReaderRolesOptions;
  #isStoreReader = true;
  #leads: readonly Member[] = [];
  #fallbackLeads: readonly Member[] = [];
  #role: ConfirmationRole = "lead";
  /** When most members were last heard of. */
  #heardAt = -Infinity;

  constructor(options: ReaderRolesOptions) {
    this.#options = options;
  }

  /** Whether this instance reads the store on behalf of its region. */
  get isStoreReader(): boolean {
    return this.#isStoreReader;
  }

  /** The instances that confirm the records of this one, the first to ask
   * first. */
  get leads(): readonly Member[] {
    return this.#leads;
  }

  /** The instances to ask when the leads do not confirm the records: a backup asks
   * those that a relay asks, since a question costs less than a list. */
  get fallbackLeads(): readonly Member[] {
    return this.#fallbackLeads;
  }

  /** What this instance does to confirm its records. */
  get role(): ConfirmationRole {
    return this.#role;
  }

  /** Whether records that are newer at a peer should reach this instance by
   * another way first: by its own watch of the store, or from a store reader of
   * its region. */
  expectsRecordsBefore(
    peer: Member,
    options: { readonly kind: SharedKind; readonly now: number },
  ): boolean {
    const { self, members } = this.#options;
    const { kind, now } = options;
    // Store readers read the other kinds at intervals.
    if (this.#isStoreReader) return kind === "configuration";
    return peer.region !== self.region &&
      members.isStoreReachedFrom(self.region, now);
  }

  /** Decides the roles anew, unless those who pass digests on have just been
   * lost: then nobody is heard of for a moment, and every instance would take
   * itself for the only reader. */
  update(now: number): void {
    const { members } = this.#options;
    const isHeard = !isLargeFleet(members.list().length) ||
      members.silentShare(now) <= SILENT_SHARE_MAX;
    if (isHeard) this.#heardAt = now;
    else if (now - this.#heardAt < BLACKOUT_MAX_MS) return;
    this.#updateLeads(now);
    this.#updateStoreReader(now);
  }

  /** Decides which instances confirm the records of this one. The leads of the
   * fleet read lists in the region that is nearest to the store. In a large
   * fleet the leads of every other region, the relays, ask them and the instances
   * there ask these, so that few of them use the links between regions. If leads
   * are lost, a few others of the region read lists before the rest does. */
  #updateLeads(now: number): void {
    const { self, members, reachesStore } = this.#options;
    const candidates = [
      ...members.membersReachingStore(now),
      ...(reachesStore() ? [self] : []),
    ].sort((a, b) => precedes(a, b) ? -1 : 1);
    const nearest = this.#nearestRegion(candidates);
    const firstOf = (region: string | undefined, count: number) =>
      candidates.filter((m) => m.region === region).slice(0, count);
    const fleetLeads = firstOf(nearest, LEADS_MAX);
    const ownRank = fleetLeads.indexOf(self);
    this.#fallbackLeads = [];
    if (ownRank >= 0) this.#leads = fleetLeads.slice(0, ownRank);
    else this.#leads = fleetLeads;
    if (!isLargeFleet(members.list().length)) {
      this.#role = this.#leads.length === 0 ? "lead" : "member";
      return;
    }
    if (ownRank >= 0) {
      this.#role = ownRank === 0 ? "relayed_lead" : "member";
      return;
    }
    const near = firstOf(self.region, LEADS_MAX + BACKUPS_MAX);
    const rank = near.indexOf(self);
    if (rank >= 0 && rank < LEADS_MAX && self.region !== nearest) {
      this.#role = rank === 0 ? "relay" : "second_relay";
      this.#leads = [...fleetLeads, ...near.slice(0, rank)];
      return;
    }
    this.#role = rank >= 0 ? "backup" : "last";
    if (rank >= 0) this.#fallbackLeads = fleetLeads;
    const others = near.slice(0, rank >= 0 ? rank : near.length);
    if (others.length > 0) this.#leads = others;
    else if (fleetLeads.length === 0) this.#role = "lead";
  }

  /** The region whose instances reach the store fastest. */
  #nearestRegion(candidates: readonly Member[]): string | undefined {
    const { self, members, storeRoundTripMs } = this.#options;
    let nearest: string | undefined = candidates[0]?.region;
    let shortestMs = Infinity;
    for (const member of candidates) {
      const roundTripMs = member === self
        ? storeRoundTripMs()
        : members.storeRoundTripOf(member.name);
      if (roundTripMs === undefined || roundTripMs >= shortestMs) continue;
      shortestMs = roundTripMs;
      nearest = member.region;
    }
    return nearest;
  }

  /** Decides whether this instance is one of its region's store readers. The
   * instances with the most cores are preferred, since many peers pull records
   * from them. */
  #updateStoreReader(now: number): void {
    const { self, members, onBecomeReader } = this.#options;
    // While no digests have arrived, the listed members are assumed to read.
    const candidates = members.isStarting(now) &&
        isLargeFleet(members.list().length)
      ? members.list().filter(({ name }) => !members.isReportedLost(name))
      : members.membersReachingStore(now);
    const preceding = candidates.filter((m) =>
      m.region === self.region && precedes(m, self)
    );
    const isStoreReader = preceding.length < STORE_READERS_PER_REGION;
    if (isStoreReader && !this.#isStoreReader) onBecomeReader();
    this.#isStoreReader = isStoreReader;
  }
}
