import { type ConfigObject, type Manifest, ManualClock } from "@banyanlb/core";
import { okAsync } from "neverthrow";
import { expect, test } from "vitest";
import {
  type CallBehavior,
  FakePeers,
  FakeStorage,
  FakeStore,
  no_metrics,
  passTime,
  passTimeUntil,
  silent_log,
} from "../testing/fakes.ts";
import {
  contentOf,
  makeModels,
  TestInstance,
} from "../testing/test_instance.ts";
import { MAX_INLINE_BYTES, PART_RETENTION_MS } from "./constants.ts";
import { ConfigFollower } from "./follower.ts";
import type { FetchRequest } from "./generated/config_messages.ts";
import { answerFetch, fetchSnapshot } from "./peer_fetch.ts";
import { ConfigPeers } from "./peers.ts";
import { Snapshot } from "./snapshot.ts";

test("compaction keeps the manifest small and followers read only changed parts", async () => {
  const clock = new ManualClock();
  const storage = new FakeStorage();
  const instance = new TestInstance(storage, clock);
  const lagging = new TestInstance(storage, clock);
  await passTime(clock, 40);
  const publish = async (objects: readonly ConfigObject[]) => {
    const put = objects.map((object) => ({ object, base: null }));
    const publishing = instance.publisher.publish({ put, remove: [] });
    expect((await passTimeUntil(clock, publishing)).isOk()).toBe(true);
    await passTimeUntil(clock, instance.publisher.waitForCompaction());
  };
  await publish([
    ...makeModels(40_000),
    { kind: "workspace", name: "w", rate_tokens_per_s: 1, burst_tokens: 1 },
    { kind: "model", name: "base" },
    { kind: "adapter", name: "tolls", workspace: "w", model: "base" },
  ]);
  await passTime(clock, 1_000);
  lagging.store.reachable = false;
  await passTime(clock, 1_000);
  for (let i = 0; i < 8; i++) {
    // Versions of one adapter share a bucket.
    await publish(Array.from({ length: 60 }, (_, n) => ({
      kind: "version",
      name: `tolls@${i}-${n}`,
      adapter: "tolls",
      weights: "w".repeat(200),
    })));
  }
  const sizes = storage.manifests.map((text) => text.length);
  expect(Math.max(...sizes)).toBeLessThan(2 * MAX_INLINE_BYTES);
  const parts = [...storage.rows].filter(([id]) => id.startsWith("part/"));
  for (const [, row] of parts) expect(row.text.length).toBeLessThan(2 ** 20);
  storage.reads.length = 0;
  lagging.store.reachable = true;
  await passTime(clock, 2_000);
  expect(contentOf(lagging.follower.current()))
    .toEqual(contentOf(instance.follower.current()));
  const manifest: Manifest = JSON.parse(storage.manifests.at(-1) ?? "");
  expect(manifest.parts.length).toBe(32);
  const read = new Set(storage.reads.filter((id) => id.startsWith("part/")));
  expect(read.size).toBe(1);
  await instance.close();
  await lagging.close();
});

test("a reverted store lowers no generation, not even after a restart", async () => {
  const clock = new ManualClock();
  const storage = new FakeStorage();
  const followers = new Map<string, ConfigFollower>();
  const instance = new TestInstance(storage, clock);
  followers.set("old", instance.follower);
  await passTime(clock, 40);
  for (const name of ["m1", "m2"]) {
    const put = [{ object: { kind: "model", name }, base: null }] as const;
    await passTimeUntil(clock, instance.publisher.publish({ put, remove: [] }));
  }
  const [first] = storage.manifests;
  await passTime(clock, 1_000);
  storage.write("manifest/manifest", JSON.parse(first ?? ""));
  const contact = instance.follower.lastContact();
  await passTime(clock, 5_000);
  expect(instance.follower.generation).toBe(2);
  expect(instance.follower.lastContact()).toBe(contact);
  const restarted = new TestInstance(storage, clock, followers);
  await passTime(clock, 1_000);
  expect(await restarted.follower.fetchFrom("old")).toBe(true);
  await passTime(clock, 5_000);
  expect(restarted.follower.generation).toBe(2);
  const put = [{ object: makeModels(1)[0] as ConfigObject, base: null }];
  const late = await passTimeUntil(
    clock,
    instance.publisher.publish({ put, remove: [] }),
  );
  expect(late._unsafeUnwrapErr().kind).toBe("not_published");
  await instance.close();
  await restarted.close();
});

test("of two conflicting publishes one succeeds and the other receives a remedy", async () => {
  const clock = new ManualClock();
  const storage = new FakeStorage();
  const instances = [
    new TestInstance(storage, clock),
    new TestInstance(storage, clock),
  ];
  await passTime(clock, 40);
  const put = [{
    object: { kind: "model", name: "base" },
    base: null,
  }] as const;
  const results = await passTimeUntil(
    clock,
    Promise.all(instances.map((s) => s.publisher.publish({ put, remove: [] }))),
  );
  const lost = results.filter((r) => r.isErr());
  expect(lost.length).toBe(1);
  const error = lost[0]?._unsafeUnwrapErr();
  expect(error?.kind).toBe("conflict");
  expect(error?.message).toMatch("model/base exists since generation 1");
  expect(error?.message).toMatch("merge your edit and apply again");
  for (const instance of instances) await instance.close();
});

test("a compaction removes only parts unreferenced for the retention time", async () => {
  const clock = new ManualClock();
  const storage = new FakeStorage();
  const instance = new TestInstance(storage, clock);
  await passTime(clock, 40);
  let old: readonly string[] = [];
  for (let i = 0; i < 6; i++) {
    const put = makeModels(400).map((model) => ({
      object: { ...model, name: `m${i}-${model.name}` },
      base: null,
    }));
    for (const half of [put.slice(0, 200), put.slice(200)]) {
      const publishing = instance.publisher.publish({ put: half, remove: [] });
      expect((await passTimeUntil(clock, publishing)).isOk()).toBe(true);
      await passTimeUntil(clock, instance.publisher.waitForCompaction());
    }
    const parts = [...storage.rows.keys()].filter((id) => /^part/.test(id));
    const manifest: Manifest = JSON.parse(storage.manifests.at(-1) ?? "");
    const used = manifest.parts.filter((part) => part !== "");
    for (const part of used) expect(parts).toContain(`part/${part}`);
    if (i === 3) old = parts.filter((id) => !used.includes(id.slice(5)));
    if (i === 4) { for (const id of old) expect(parts).toContain(id); }
    if (i === 4) clock.advance(PART_RETENTION_MS);
  }
  expect(old.length).toBeGreaterThan(0);
  for (const id of old) expect(storage.rows.has(id)).toBe(false);
  await instance.close();
});

test("a starting instance fetches the snapshot from a peer, not from the store", async () => {
  const clock = new ManualClock();
  const storage = new FakeStorage();
  const instance = new TestInstance(storage, clock);
  await passTime(clock, 40);
  const put = makeModels(2_000).map((object) => ({ object, base: null }));
  await passTimeUntil(clock, instance.publisher.publish({ put, remove: [] }));
  storage.reads.length = 0;
  const started = new ConfigFollower({
    store: new FakeStore(storage, clock),
    peers: new FakePeers(new Map([["near", instance.follower]])),
    clock,
    log: silent_log,
    metrics: no_metrics,
  }, { nearby_members: () => ["absent", "near"] });
  started.start();
  await passTime(clock, 200);
  expect(contentOf(started.current())).toEqual(
    contentOf(instance.follower.current()),
  );
  expect(started.lastContact()).toBeDefined();
  expect(storage.reads).toEqual([]);
  await started.close();
  await instance.close();
});

test("a write that may still take effect is never reported as not published", async () => {
  const clock = new ManualClock();
  const storage = new FakeStorage();
  const instance = new TestInstance(storage, clock);
  await passTime(clock, 40);
  const first_modes: CallBehavior["mode"][] = ["answered", "late"];
  let call = 0;
  instance.store.nextBehavior = () => {
    const index = call++;
    // From the second attempt on, reads succeed and writes are throttled.
    const later = index % 2 === 0 ? "answered" : "throttled";
    return { mode: first_modes[index] ?? later, turns: 0 };
  };
  await instance.follower.close();
  const put = [{
    object: { kind: "model", name: "base" },
    base: null,
  }] as const;
  const publishing = instance.publisher.publish({ put, remove: [] });
  const result = await passTimeUntil(clock, publishing);
  expect(storage.manifests.length).toBeLessThanOrEqual(1);
  if (result.isErr()) expect(result.error.kind).toBe("outcome_unknown");
  else expect(result.value.generation).toBe(1);
});

class ChangingPeers extends ConfigPeers {
  readonly #sets: readonly Snapshot[];
  #calls = 0;

  constructor(sets: readonly Snapshot[]) {
    super();
    this.#sets = sets;
  }

  override evidence() {
    return okAsync({ g: 0 });
  }

  /** Replies from the next snapshot after every 5 calls. */
  override fetch(_: string, request: FetchRequest) {
    const index = Math.min(this.#sets.length - 1, Math.floor(this.#calls / 5));
    this.#calls++;
    const snapshot = this.#sets[index] as Snapshot;
    return okAsync(answerFetch({ snapshot, recent: [] }, request));
  }
}

test("a fetch from a peer whose generation changes mixes no generations", async () => {
  const sets = [1, 2].map((generation) =>
    Snapshot.empty().apply({
      generation,
      put: makeModels(200 * generation),
      remove: [],
      at_ms: 0,
    })
  );
  const fetched = await fetchSnapshot(new ChangingPeers(sets), "p", undefined);
  expect(contentOf(fetched?.snapshot)).toEqual(contentOf(sets[1]));
});
