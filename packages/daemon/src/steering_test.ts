import type { Member, Workspace } from "@banyanlb/core";
import { FleetView } from "@banyanlb/fleet";
import { expect, test } from "vitest";
import { steer } from "./steering.ts";

const MEMBERS = 350;
const REGIONS = ["a", "b", "c", "d", "e"];

function createView(count: number): FleetView {
  const members = Array.from({ length: count }, (_, i): Member => ({
    id: `m${i}`,
    instance: `entry-${i}`,
    peer_url: `ws://m${i}`,
    caller_url: `http://m${i}`,
    region: REGIONS[i % REGIONS.length] ?? "",
    failure_domain: `d${i % 11}`,
    state: i === 5 ? "leaving" : "live",
  }));
  const slots = Array.from({ length: 5 * count }, (_, i) => ({
    region: REGIONS[i % REGIONS.length] ?? "",
    holder: `m${i % count}`,
    epoch: 1,
  }));
  return new FleetView({ generation: 1, write_id: "w", members, slots });
}

function createWorkspace(rate_tokens_per_s: number): Workspace {
  const name = "acme";
  const burst_tokens = rate_tokens_per_s;
  return { kind: "workspace", name, rate_tokens_per_s, burst_tokens };
}

const isLeaving = () => false;

test("a small workspace gets few addresses, with most weight on its holders", () => {
  const view = createView(MEMBERS);
  const workspace = createWorkspace(500);
  const list = steer(view, { workspace, region: undefined, isLeaving });
  expect(list.length).toBeLessThanOrEqual(12);
  const holders = new Set(
    view.shareSlots("acme").map((slot) => view.holder(slot)?.caller_url),
  );
  const sum = (rows: typeof list) =>
    rows.reduce((total, row) => total + row.weight, 0);
  const held = sum(list.filter((row) => holders.has(row.url)));
  expect(held / sum(list)).toBeGreaterThan(0.7);
  expect(new Set(list.map((row) => row.failure_domain)).size)
    .toBeGreaterThanOrEqual(3);
});

test("a large workspace is spread over enough instances for its rate", () => {
  const workspace = createWorkspace(250_000);
  const query = { workspace, region: undefined, isLeaving };
  const list = steer(createView(MEMBERS), query);
  expect(list.length).toBeGreaterThan(170);
  const total = list.reduce((sum, row) => sum + row.weight, 0);
  const most = Math.max(...list.map((row) => row.weight)) / total;
  expect(most * workspace.rate_tokens_per_s).toBeLessThan(2_000);
});

test("callers are steered to their own region if it has instances", () => {
  const workspace = createWorkspace(500);
  const list = steer(createView(9), { workspace, region: "b", isLeaving });
  const far = list.filter((row) => row.region !== "b");
  const weight = far.reduce((sum, row) => sum + row.weight, 0);
  expect(weight).toBeLessThanOrEqual(20);
  const lost = steer(createView(9), { workspace, region: "x", isLeaving });
  expect(lost.length).toBeGreaterThan(2);
});

test("leaving instances are excluded", () => {
  const query = { workspace: undefined, region: undefined };
  const urls = (isLeaving: (name: string) => boolean) =>
    steer(createView(8), { ...query, isLeaving }).map((row) => row.url);
  expect(urls(() => false)).not.toContain("http://m5");
  expect(urls((name) => name === "entry-2")).not.toContain("http://m2");
});

test("the owner of the named model's target gets the largest weight", () => {
  const workspace = createWorkspace(500);
  const query = { workspace, region: "b", isLeaving };
  const list = steer(createView(9), { ...query, owner: "m6" });
  const total = list.reduce((sum, row) => sum + row.weight, 0);
  expect(list[0]?.url).toBe("http://m6");
  expect((list[0]?.weight ?? 0) / total).toBeGreaterThan(0.7);
  // An owner in another region is not preferred: the response would be relayed
  // over the link between regions.
  const far = steer(createView(9), { ...query, owner: "m7" });
  expect(far).toEqual(steer(createView(9), query));
});
