/** A follower and a publisher of one instance, connected to a fake store.
 *
 * @module
 */
import type { ConfigObject, ManualClock } from "@banyanlb/core";
import { ConfigFollower } from "../src/follower.ts";
import { Publisher } from "../src/publisher.ts";
import type { Snapshot } from "../src/snapshot.ts";
import {
  FakePeers,
  type FakeStorage,
  FakeStore,
  no_metrics,
  silent_log,
} from "./fakes.ts";

/** One instance with a follower and a publisher. */
export class TestInstance {
  readonly store: FakeStore;
  readonly follower: ConfigFollower;
  readonly publisher: Publisher;
  readonly generations: number[] = [];

  constructor(
    storage: FakeStorage,
    clock: ManualClock,
    peers: ReadonlyMap<string, ConfigFollower> = new Map(),
  ) {
    this.store = new FakeStore(storage, clock);
    const shared = { clock, log: silent_log, metrics: no_metrics };
    const deps = { ...shared, store: this.store };
    this.follower = new ConfigFollower({
      ...deps,
      peers: new FakePeers(peers),
    });
    this.publisher = new Publisher({ ...deps, follower: this.follower });
    this.follower.onChange((s) => this.generations.push(s.generation));
    this.follower.start();
  }

  async close(): Promise<void> {
    await this.follower.close();
    await this.publisher.close();
  }
}

/** Objects with their generations, sorted. */
export function contentOf(snapshot: Snapshot | undefined): readonly string[] {
  const rows = [...snapshot?.entries() ?? []]
    .map((e) => `${e.generation} ${JSON.stringify(e.object)}`);
  return rows.sort();
}

/** Models with distinct names. */
export function makeModels(count: number): readonly ConfigObject[] {
  return Array.from({ length: count }, (_, i) => ({
    kind: "model",
    name: `model-${i}-${"x".repeat(20)}`,
  }));
}
