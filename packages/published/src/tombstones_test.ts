import { ManualClock, type Version } from "@banyanlb/core";
import { afterEach, expect, test } from "vitest";
import {
  FakePeers,
  FakeStorage,
  passTime,
  passTimeUntil,
} from "../testing/fakes.ts";
import { makeModels, TestInstance } from "../testing/test_instance.ts";
import type { Edits } from "./edits.ts";
import { fetchSnapshot } from "./peer_fetch.ts";

const REMOVED_VERSION: Version = {
  kind: "version",
  name: "tolls@1",
  adapter: "tolls",
  weights: "old",
};
const CHANGED_VERSION: Version = { ...REMOVED_VERSION, weights: "new" };

const clock = new ManualClock();
const instances: TestInstance[] = [];

afterEach(async () => {
  await passTimeUntil(
    clock,
    Promise.all(instances.splice(0).map((instance) => instance.close())),
  );
});

async function startInstance(storage: FakeStorage): Promise<TestInstance> {
  const instance = new TestInstance(storage, clock);
  instances.push(instance);
  // A part is added to the snapshot over many event-loop turns.
  while (instance.follower.current() === undefined) await passTime(clock, 20);
  return instance;
}

async function publish(
  instance: TestInstance,
  edits: Partial<Edits>,
): Promise<string> {
  const whole = { put: [], remove: [], ...edits };
  const result = await passTimeUntil(clock, instance.publisher.publish(whole));
  return result.isOk() ? "published" : result.error.message;
}

async function removeVersion(storage: FakeStorage): Promise<TestInstance> {
  const instance = await startInstance(storage);
  const put = [
    {
      kind: "workspace",
      name: "acme",
      rate_tokens_per_s: 1,
      burst_tokens: 1,
    },
    { kind: "model", name: "base" },
    { kind: "adapter", name: "tolls", workspace: "acme", model: "base" },
    REMOVED_VERSION,
  ] as const;
  const edits = put.map((object) => ({ object, base: null }));
  expect(await publish(instance, { put: edits })).toBe("published");
  const remove = [{
    kind: "version",
    name: REMOVED_VERSION.name,
    base: 1,
  }] as const;
  expect(await publish(instance, { remove })).toBe("published");
  return instance;
}

test("other weights under the name of a removed version are rejected with a remedy", async () => {
  const instance = await removeVersion(new FakeStorage());
  const put = [{ object: CHANGED_VERSION, base: null }];
  expect(await publish(instance, { put })).toMatch("1 violations");
  const checked = instance.publisher.check({ put, remove: [] });
  expect(JSON.stringify(checked)).toMatch("add a version of another name");
  expect(
    await publish(instance, { put: [{ object: REMOVED_VERSION, base: null }] }),
  )
    .toBe("published");
});

test("tombstones survive compactions, restarts and the removal of the adapter", async () => {
  const storage = new FakeStorage();
  const first = await removeVersion(storage);
  const remove = [{ kind: "adapter", name: "tolls", base: 1 }] as const;
  expect(await publish(first, { remove })).toBe("published");
  // A large change is compacted at once and increases the number of buckets.
  const many = makeModels(40_000).map((object) => ({ object, base: null }));
  expect(await publish(first, { put: many })).toBe("published");
  const again = await startInstance(storage);
  expect(again.follower.current()?.bucketCount).toBeGreaterThan(16);
  const peers = new FakePeers(new Map([["p", again.follower]]));
  const fetched = await fetchSnapshot(peers, "p", undefined);
  for (const set of [again.follower.current(), fetched?.snapshot]) {
    expect(set?.retiredVersion(REMOVED_VERSION.name)?.weights).toBe("old");
  }
  const adapter = {
    kind: "adapter",
    name: "tolls",
    workspace: "acme",
    model: "base",
  } as const;
  const put = [adapter, CHANGED_VERSION].map((object) => ({
    object,
    base: null,
  }));
  expect(await publish(again, { put })).toMatch("1 violations");
});
