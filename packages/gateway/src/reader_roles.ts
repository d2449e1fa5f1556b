/** Which instances read the store on behalf of others.
 *
 * @module
 */
import {
  aggregatesLoads,
  type ConfirmationRole,
  type Member,
  type MemberTable,
} from "@banyanlb/serving";

/** Number of instances per region that read the store on behalf of the region's
 * other instances: one reader may be cut off from the store, which is detected
 * only after seconds. */
const STORE_READERS_PER_REGION = 2;

/** Number of instances that this one asks in turn to confirm its records. */
const LEADS_MAX = 2;

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
  #role: ConfirmationRole = "lead";

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

  /** What this instance does to confirm its records. */
  get role(): ConfirmationRole {
    return this.#role;
  }

  /** Whether records that are newer at a peer should reach this instance by
   * another way first: by its own watch of the store, or from a store reader of
   * its region. */
  expectsRecordsBefore(peer: Member, now: number): boolean {
    const { self, members } = this.#options;
    if (this.#isStoreReader) return true;
    return peer.region !== self.region &&
      members.membersReachingStore(now).some((m) => m.region === self.region);
  }

  /** Decides the roles anew. */
  update(now: number): void {
    this.#updateLeads(now);
    this.#updateStoreReader(now);
  }

  /** Decides which instances confirm the records of this one. The leads of the
   * fleet read lists in the region that is nearest to the store. In a large
   * fleet the leads of every other region ask them and the instances there ask
   * these, so that few of them use the links between regions. */
  #updateLeads(now: number): void {
    const { self, members, reachesStore } = this.#options;
    const candidates = [
      ...members.membersReachingStore(now),
      ...(reachesStore() ? [self] : []),
    ].sort((a, b) => precedesAsReader(a, b) ? -1 : 1);
    const nearest = this.#nearestRegion(candidates);
    const leadsOf = (region: string | undefined) =>
      candidates.filter((m) => m.region === region).slice(0, LEADS_MAX);
    const fleetLeads = leadsOf(nearest);
    const ownRank = fleetLeads.indexOf(self);
    const regionLeads = leadsOf(self.region);
    const isFleetSmall = !aggregatesLoads(members.list().length);
    if (ownRank >= 0) this.#leads = fleetLeads.slice(0, ownRank);
    else if (isFleetSmall || self.region === nearest) this.#leads = fleetLeads;
    else if (regionLeads.includes(self)) this.#leads = fleetLeads;
    else this.#leads = regionLeads.length > 0 ? regionLeads : fleetLeads;
    if (this.#leads.length === 0) {
      this.#role = isFleetSmall ? "lead" : "relayed_lead";
    } else {
      const isRelay = !isFleetSmall && self.region !== nearest &&
        this.#leads === fleetLeads;
      this.#role = isRelay ? "relay" : "member";
    }
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
    const preceding = members.membersReachingStore(now).filter((m) =>
      m.region === self.region && precedesAsReader(m, self)
    );
    const isStoreReader = preceding.length < STORE_READERS_PER_REGION;
    if (isStoreReader && !this.#isStoreReader) onBecomeReader();
    this.#isStoreReader = isStoreReader;
  }
}

/** Whether `a` is chosen as a store reader before `b`. */
function precedesAsReader(a: Member, b: Member): boolean {
  return a.cores === b.cores ? a.name < b.name : a.cores > b.cores;
}
