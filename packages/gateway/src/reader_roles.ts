/** Which instances read the store on behalf of others.
 *
 * @module
 */
import {
  aggregatesLoads,
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
  /** Called when this instance becomes a store reader. */
  readonly onBecomeReader: () => void;
}

/** The roles of this instance and its leads. */
export class ReaderRoles {
  readonly #options: ReaderRolesOptions;
  #isStoreReader = true;
  #leads: readonly Member[] = [];

  constructor(options: ReaderRolesOptions) {
    this.#options = options;
  }

  /** Whether this instance reads the store on behalf of its region. */
  get isStoreReader(): boolean {
    return this.#isStoreReader;
  }

  /** The instances that confirm the records of this one, the lead first. */
  get leads(): readonly Member[] {
    return this.#leads;
  }

  /** Decides the roles anew. */
  update(now: number): void {
    this.#updateLeads(now);
    this.#updateStoreReader(now);
  }

  /** Decides which instances confirm the records of this one: those that
   * precede it as store readers in its region, or in the whole fleet if that is
   * small. */
  #updateLeads(now: number): void {
    const { self, members, reachesStore } = this.#options;
    const isFleetSmall = !aggregatesLoads(members.list().length);
    this.#leads = members.membersReachingStore(now).filter((m) =>
      (isFleetSmall || m.region === self.region) &&
      (!reachesStore() || precedesAsReader(m, self))
    ).sort((a, b) => precedesAsReader(a, b) ? -1 : 1).slice(0, LEADS_MAX);
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
