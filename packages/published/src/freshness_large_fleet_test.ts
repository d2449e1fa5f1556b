import { afterEach, expect, test } from "vitest";
import { passTime } from "../testing/fakes.ts";
import { Fleet } from "../testing/fleet.ts";
import { FRESH_LIMIT_MS, MAX_SAMPLED_PEERS } from "./constants.ts";

const NEAR_COUNT = 12;
const FAR_COUNT = 36;
const STEP_MS = 20;
const SLACK_MS = 40;

let fleet = new Fleet();
afterEach(() => fleet.close());

async function start(): Promise<void> {
  fleet = new Fleet();
  for (let i = 0; i < NEAR_COUNT; i++) fleet.add(`n${i}`, "near");
  for (let i = 0; i < FAR_COUNT; i++) fleet.add(`f${i}`, "far");
  await fleet.start();
}

function evidenceRequestsFrom(region: string): number {
  return [...fleet.nodes.values()]
    .filter((node) => node.member.region === region)
    .reduce((sum, node) => sum + node.peers.asked, 0);
}

async function refusalsDuring(ms: number): Promise<number> {
  let refusals = 0;
  for (let t = 0; t < ms; t += STEP_MS) {
    await passTime(fleet.clock, STEP_MS);
    for (const { guard } of fleet.nodes.values()) {
      if (!guard.state().serve) refusals++;
    }
  }
  return refusals;
}

test("a full outage causes few evidence requests and no refusal", async () => {
  await start();
  fleet.storage.down = true;
  expect(await refusalsDuring(6_000)).toBe(0);
  const before = {
    near: evidenceRequestsFrom("near"),
    far: evidenceRequestsFrom("far"),
  };
  const seconds = 15;
  const { requested_members: asked_members } = fleet.node("f0").peers;
  asked_members.clear();
  expect(await refusalsDuring(seconds * 1_000)).toBe(0);
  const perSecond = (region: "near" | "far", nodes: number) =>
    (evidenceRequestsFrom(region) - before[region]) / nodes / seconds;
  // A renewal every 1.2 seconds, from 3 peers near the store and 2 elsewhere.
  expect(perSecond("near", NEAR_COUNT)).toBeLessThan(3);
  expect(perSecond("far", FAR_COUNT)).toBeLessThan(1.8);
  // Each renewal samples other peers, so that no two decide alone for long.
  expect(asked_members.size).toBeGreaterThan(MAX_SAMPLED_PEERS);
}, 60_000);

test("the loss of attesters during an outage causes no refusal", async () => {
  await start();
  fleet.storage.down = true;
  await passTime(fleet.clock, 6_000);
  // One attester fewer than a full sample is isolated, so every full sample
  // contains at least one that replies.
  for (let i = 0; i < MAX_SAMPLED_PEERS - 1; i++) fleet.isolated.add(`n${i}`);
  for (const { peers } of fleet.nodes.values()) peers.times_out = true;
  fleet.applyCuts({ far_cut: false });
  const others = [...fleet.nodes].filter(([id]) => !fleet.isolated.has(id));
  for (let t = 0; t < 10_000; t += STEP_MS) {
    await passTime(fleet.clock, STEP_MS);
    for (const [, node] of others) expect(node.guard.state().serve).toBe(true);
  }
}, 60_000);

test("no stale generation is served after a partial recovery", async () => {
  await start();
  fleet.storage.down = true;
  await passTime(fleet.clock, 6_000);
  // From here on only half of the store's region reaches the store.
  for (const id of fleet.nodes.keys()) fleet.without_store.add(id);
  for (let i = 0; i < NEAR_COUNT / 2; i++) fleet.without_store.delete(`n${i}`);
  fleet.applyCuts({ far_cut: false });
  fleet.storage.down = false;
  await passTime(fleet.clock, 400);
  const put = [{ object: { kind: "model", name: "m" }, base: null }] as const;
  const publishing = fleet.publisherAt("n0").publish({ put, remove: [] });
  await passTime(fleet.clock, STEP_MS);
  expect((await publishing).isOk()).toBe(true);
  await passTime(fleet.clock, FRESH_LIMIT_MS + SLACK_MS);
  const reasons = new Set<string>();
  for (let t = 0; t < 10_000; t += STEP_MS) {
    await passTime(fleet.clock, STEP_MS);
    for (const { guard, follower } of fleet.nodes.values()) {
      const { serve, reason } = guard.state();
      if (serve) expect(follower.generation).toBe(1);
      reasons.add(reason);
    }
  }
  expect([...reasons].sort()).toEqual(["contact", "relayed"]);
}, 60_000);
