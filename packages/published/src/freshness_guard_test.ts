import { afterEach, expect, test } from "vitest";
import { passTime } from "../testing/fakes.ts";
import { Fleet, startFleet } from "../testing/fleet.ts";
import { FRESH_LIMIT_MS } from "./constants.ts";

let fleet = new Fleet();
afterEach(() => fleet.close());

async function start(): Promise<void> {
  fleet = await startFleet();
}

/** Reasons reported by an instance's guard during `ms`, one sample per 20 ms. */
async function reasonsOf(id: string, ms: number): Promise<readonly string[]> {
  const reasons = new Set<string>();
  for (let t = 0; t < ms; t += 20) {
    await passTime(fleet.clock, 20);
    reasons.add(fleet.node(id).guard.state().reason);
  }
  return [...reasons];
}

test("no evidence is requested while the store answers", async () => {
  await start();
  const before = fleet.node("f1").peers.asked;
  expect(await reasonsOf("f1", 5_000)).toEqual(["contact"]);
  expect(fleet.node("f1").peers.asked).toBe(before);
});

test("a region cut off from the store refuses within the limit, the other serves", async () => {
  await start();
  fleet.applyCuts({ far_cut: true });
  await passTime(fleet.clock, FRESH_LIMIT_MS + 20);
  for (const id of ["f1", "f2", "f3"]) {
    expect(fleet.node(id).guard.state()).toEqual({
      serve: false,
      reason: "stale_configuration",
    });
  }
  expect(await reasonsOf("n1", 10_000)).toEqual(["contact"]);
  expect(await reasonsOf("f1", 10_000)).toEqual(["stale_configuration"]);
  fleet.applyCuts({ far_cut: false });
  await passTime(fleet.clock, 1_500);
  expect(fleet.node("f1").guard.state().reason).toBe("contact");
});

test("during a full outage of the store every instance serves at all times", async () => {
  await start();
  fleet.storage.down = true;
  for (const id of ["f1", "n1"]) {
    const reasons = await reasonsOf(id, 10_000);
    expect(reasons).not.toContain("stale_configuration");
    expect(reasons).toContain("outage");
  }
  fleet.storage.down = false;
  await passTime(fleet.clock, 1_500);
  expect(fleet.node("f1").guard.state().reason).toBe("contact");
});

test("an outage causes no refusal at any phase of the polls", async () => {
  for (let latency_ms = 20; latency_ms <= 200; latency_ms += 20) {
    await start();
    const others = ["f2", "n1", "n2"].map((id) => fleet.node(id).store);
    for (const store of others) store.latency_ms = latency_ms;
    await passTime(fleet.clock, 2_000);
    fleet.storage.down = true;
    const reasons = await reasonsOf("f1", 8_000);
    expect([latency_ms, ...reasons]).not.toContain("stale_configuration");
    await fleet.close();
  }
});

test("an outage combined with a partition makes the far region refuse", async () => {
  await start();
  fleet.storage.down = true;
  fleet.applyCuts({ far_cut: true });
  await passTime(fleet.clock, FRESH_LIMIT_MS + 20);
  expect(await reasonsOf("f1", 5_000)).toEqual(["stale_configuration"]);
  expect(await reasonsOf("n1", 5_000)).toEqual(["outage"]);
});

test("an instance that cannot reach the store serves on relays and receives changes", async () => {
  await start();
  fleet.node("f1").store.reachable = false;
  expect(await reasonsOf("f1", 10_000)).toEqual(["contact", "relayed"]);
  const published = await fleet.publisherAt("n2").publish({
    put: [{ object: { kind: "model", name: "base" }, base: null }],
    remove: [],
  });
  expect(published.isOk()).toBe(true);
  await passTime(fleet.clock, 2_000);
  expect(fleet.node("f1").follower.generation).toBe(1);
});

test("an instance that reaches neither store nor peers refuses, though its peers reach it", async () => {
  await start();
  const cut = fleet.node("f1");
  cut.store.reachable = false;
  cut.peers.reaches = () => false;
  await passTime(fleet.clock, FRESH_LIMIT_MS + 20);
  expect(await reasonsOf("f1", 5_000)).toEqual(["stale_configuration"]);
});

test("a peer that is itself cut off from the store provides no evidence", async () => {
  await start();
  for (const id of ["f1", "f2"]) {
    fleet.node(id).store.reachable = false;
    fleet.node(id).peers.reaches = (to) => to.startsWith("f") && to !== "f3";
  }
  await passTime(fleet.clock, FRESH_LIMIT_MS + 20);
  expect(await reasonsOf("f1", 5_000)).toEqual(["stale_configuration"]);
});

test("a relayed contact is no more recent than the peer's own contact", async () => {
  for (let phase_ms = 0; phase_ms < 1_000; phase_ms += 200) {
    await start();
    const { store, peers } = fleet.node("f1");
    store.reachable = false;
    peers.reaches = (to) => to === "f2";
    await passTime(fleet.clock, 3_000 + phase_ms);
    expect(fleet.node("f1").guard.state().reason).toBe("relayed");
    fleet.node("f2").store.reachable = false;
    fleet.node("f2").peers.reaches = () => false;
    await passTime(fleet.clock, FRESH_LIMIT_MS + 20);
    expect(fleet.node("f1").guard.state().serve).toBe(false);
    await fleet.close();
  }
});

test("evidence for a higher generation that cannot be fetched does not count", async () => {
  await start();
  const { store, peers, guard } = fleet.node("f1");
  store.reachable = false;
  peers.fetches = false;
  await passTime(fleet.clock, 5_000);
  expect(guard.state()).toEqual({ serve: true, reason: "relayed" });
  const put = [{
    object: { kind: "model", name: "base" },
    base: null,
  }] as const;
  await fleet.publisherAt("n1").publish({ put, remove: [] });
  await passTime(fleet.clock, FRESH_LIMIT_MS + 20);
  expect(guard.state().serve).toBe(false);
});

test("one attester with contact to the store overrides two without", async () => {
  await start();
  for (const id of ["f1", "n1", "n2"]) {
    fleet.node(id).store.reachable = false;
  }
  const reasons = await reasonsOf("f1", 10_000);
  expect(reasons).not.toContain("outage");
  expect(reasons).not.toContain("stale_configuration");
});

test("a process that was paused refuses in the turn in which it resumes", async () => {
  await start();
  fleet.clock.advance(60_000);
  expect(fleet.node("f1").guard.state().serve).toBe(false);
});

test("the age of a reply read after a pause counts from its request", async () => {
  await start();
  fleet.storage.down = true;
  const { guard, peers } = fleet.node("f1");
  peers.latency_ms = 200;
  await passTime(fleet.clock, 10_000);
  const requests = peers.asked;
  while (peers.asked === requests) await passTime(fleet.clock, 20);
  fleet.clock.advance(60_000);
  await passTime(fleet.clock, 100);
  expect(guard.state().serve).toBe(false);
  await passTime(fleet.clock, 400);
  expect(guard.state()).toEqual({ serve: true, reason: "outage" });
});

test("a poll that took longer than the limit is no evidence", async () => {
  await start();
  const { peers, store } = fleet.node("f1");
  peers.reaches = () => false;
  store.latency_ms = 1_000;
  await passTime(fleet.clock, 5_000);
  expect(await reasonsOf("f1", 6_000)).toEqual(["stale_configuration"]);
});

test("a restarted instance compares its generation with peers before it serves", async () => {
  await start();
  for (const name of ["m1", "m2"]) {
    const put = [{ object: { kind: "model", name }, base: null }] as const;
    await fleet.publisherAt("n1").publish({ put, remove: [] });
  }
  await passTime(fleet.clock, 1_000);
  const [first] = fleet.storage.manifests;
  fleet.storage.write("manifest/manifest", JSON.parse(first ?? ""));
  const restarted = fleet.add("f9", "far");
  restarted.peers.latency_ms = 100;
  restarted.follower.start();
  restarted.guard.start();
  for (let t = 0; t < 4_000; t += 20) {
    await passTime(fleet.clock, 20);
    const { serve } = restarted.guard.state();
    if (serve) expect(restarted.follower.generation).toBe(2);
  }
  expect(restarted.follower.generation).toBe(2);
});

test("an instance restarted during an outage fetches the highest generation from a peer", async () => {
  await start();
  const edits = {
    put: [{ object: { kind: "model", name: "base" }, base: null }],
    remove: [],
  } as const;
  await fleet.publisherAt("n1").publish(edits);
  await passTime(fleet.clock, 1_000);
  fleet.storage.down = true;
  const restarted = fleet.add("f9", "far");
  restarted.follower.start();
  restarted.guard.start();
  expect(restarted.guard.state().reason).toBe("not_ready");
  await passTime(fleet.clock, 5_000);
  expect(restarted.follower.generation).toBe(1);
  expect(restarted.guard.state()).toEqual({ serve: true, reason: "outage" });
});

test("a contact relayed twice keeps its original age", async () => {
  await start();
  for (const id of ["f1", "f2"]) fleet.node(id).store.reachable = false;
  const [requester, relay] = [fleet.node("f1"), fleet.node("f2")];
  requester.peers.reaches = (to) => to === "f2";
  relay.peers.reaches = (to) => to === "f1" || to === "f3";
  const reasons = await reasonsOf("f1", 10_000);
  expect(reasons).toContain("relayed");
  // From here on the two instances reach only each other.
  relay.peers.reaches = (to) => to === "f1";
  await passTime(fleet.clock, FRESH_LIMIT_MS + 20);
  expect(await reasonsOf("f1", 5_000)).toEqual(["stale_configuration"]);
  expect(await reasonsOf("f2", 5_000)).toEqual(["stale_configuration"]);
});
