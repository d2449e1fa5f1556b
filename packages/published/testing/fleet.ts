/** A fleet of instances that share one store, with simulated partitions.
 *
 * @module
 */
import { ManualClock, type Member } from "@banyanlb/core";
import { ConfigFollower } from "../src/follower.ts";
import { FreshnessGuard } from "../src/freshness_guard.ts";
import { Publisher } from "../src/publisher.ts";
import {
  FakePeers,
  FakeStorage,
  FakeStore,
  member,
  no_metrics,
  passTime,
  passTimeUntil,
  silent_log,
} from "./fakes.ts";

const STORE_REGION = "near";

/** One instance of a fleet, with its fakes. */
export interface FleetNode {
  readonly member: Member;
  readonly store: FakeStore;
  readonly peers: FakePeers;
  readonly follower: ConfigFollower;
  readonly guard: FreshnessGuard;
}

/** Instances in the store's region and in a far region. */
export class Fleet {
  readonly clock = new ManualClock();
  readonly storage = new FakeStorage();
  readonly nodes = new Map<string, FleetNode>();
  readonly #followers = new Map<string, ConfigFollower>();

  add(id: string, region: string): FleetNode {
    const { clock } = this;
    const store = new FakeStore(this.storage, clock);
    const peers = new FakePeers(this.#followers, clock);
    const deps = { clock, peers, log: silent_log, metrics: no_metrics };
    const follower = new ConfigFollower({ ...deps, store });
    const guard = new FreshnessGuard({ ...deps, follower }, {
      self: id,
      region,
      store_region: STORE_REGION,
      members: () => [...this.nodes.values()].map((n) => n.member),
    });
    const node = { member: member(id, region), store, peers, follower, guard };
    this.nodes.set(id, node);
    this.#followers.set(id, follower);
    return node;
  }

  async start(): Promise<void> {
    for (const node of this.nodes.values()) {
      node.follower.start();
      node.guard.start();
    }
    await passTime(this.clock, 2_000);
  }

  node(id: string): FleetNode {
    return this.nodes.get(id) as FleetNode;
  }

  /** Instances cut off individually: from the store, or from the store and all
   * peers. */
  readonly without_store = new Set<string>();
  readonly isolated = new Set<string>();

  /** Applies all partitions to the fakes of all instances. `far_cut`: the far
   * region is cut off from the store and from the store's region. */
  applyCuts(options: { readonly far_cut: boolean }): void {
    const { far_cut } = options;
    for (const [id, { member, peers, store }] of this.nodes) {
      const is_far = member.region !== STORE_REGION;
      store.reachable = !(far_cut && is_far) &&
        !this.without_store.has(id) && !this.isolated.has(id);
      peers.reaches = (to) =>
        !this.isolated.has(id) && !this.isolated.has(to) &&
        !(far_cut && is_far !== (this.node(to).member.region === "far"));
    }
  }

  publisherAt(id: string): Publisher {
    const { store, follower } = this.node(id);
    const { clock } = this;
    const deps = {
      store,
      follower,
      clock,
      log: silent_log,
      metrics: no_metrics,
    };
    return new Publisher(deps);
  }

  async close(): Promise<void> {
    const closing = [...this.nodes.values()]
      .flatMap(({ guard, follower }) => [guard.close(), follower.close()]);
    await passTimeUntil(this.clock, Promise.all(closing));
  }
}

/** Starts three instances in the store's region and three in the far region. */
export async function startFleet(): Promise<Fleet> {
  const fleet = new Fleet();
  for (const id of ["n1", "n2", "n3"]) fleet.add(id, STORE_REGION);
  for (const id of ["f1", "f2", "f3"]) fleet.add(id, "far");
  await fleet.start();
  return fleet;
}
