import { ManualClock, type Target } from "@banyanlb/core";
import { expect, test } from "vitest";
import { AffinityPolicy } from "./affinity_policy.ts";

const targets: readonly Target[] = [..."abcdefgh"].map((letter, index) => ({
  kind: "target",
  name: letter,
  type: "engine",
  url: "http://127.0.0.1:1",
  pool: "pool",
  region: index < 6 ? "here" : "there",
  failure_domain: "x",
}));

const request = {
  version: "v@1",
  workspace: "w",
  class: "interactive",
  tokens: 100,
} as const;

const idle_hint = {
  running: 1,
  max_running: 4,
  waiting: 0,
  loaded: true,
  has_available_slot: true,
};
const full_hint = { ...idle_hint, running: 4, waiting: 8 };

function createPolicy() {
  const clock = new ManualClock();
  const policy = new AffinityPolicy({
    clock,
    region: "here",
    entryCount: () => 1,
  });
  const best = () => policy.rank(request, targets)[0]!.name;
  return { clock, policy, best };
}

test("a cold version goes to one home, a loaded one where it is loaded", () => {
  const { policy, best } = createPolicy();
  const home = best();
  expect([...Array(20)].map(best)).toEqual(Array(20).fill(home));
  const other = targets.find((t) => t.name !== home && t.region === "here")!;
  const { version } = request;
  policy.recordFeedback({
    kind: "granted",
    target: other.name,
    version,
    hint: idle_hint,
  });
  expect(best()).toBe(other.name);
});

test("requests spill from a full home, first within its region", () => {
  const { policy, best } = createPolicy();
  const { version } = request;
  const reportBusy = (target: string) => {
    policy.recordFeedback({ kind: "sent", target, version });
    policy.recordFeedback({ kind: "busy", target, version, hint: full_hint });
  };
  const home = best();
  reportBusy(home);
  const others = targets.filter((target) => target.name !== home);
  const local = others.filter((target) => target.region === "here");
  for (const _ of local) {
    const target = best();
    expect(local.map((row) => row.name)).toContain(target);
    reportBusy(target);
  }
  const distant = others.filter((target) => target.region === "there");
  expect(distant.map((row) => row.name)).toContain(best());
});

test("entry instances of two regions share the home of a cold version", () => {
  const clock = new ManualClock();
  const homeFrom = (region: string, version: string) => {
    const policy = new AffinityPolicy({ clock, region, entryCount: () => 8 });
    return policy.rank({ ...request, version }, targets)[0]!.name;
  };
  for (let i = 0; i < 50; i++) {
    const version = `v-${i}@1`;
    expect(homeFrom("here", version)).toBe(homeFrom("there", version));
  }
});

test("permit requests without a reply count as load", () => {
  const { policy, best } = createPolicy();
  const { version } = request;
  const home = best();
  policy.recordFeedback({
    kind: "granted",
    target: home,
    version,
    hint: idle_hint,
  });
  const chosen = new Set<string>();
  for (let i = 0; i < 12; i++) {
    const target = best();
    chosen.add(target);
    policy.recordFeedback({ kind: "sent", target, version });
  }
  expect(chosen.size).toBeGreaterThan(1);
});

test("a failed target and a leaving target are not ranked", () => {
  const { clock, policy, best } = createPolicy();
  const home = best();
  policy.recordFeedback({ kind: "failed", target: home });
  expect(best()).not.toBe(home);
  clock.advance(10_000);
  expect(best()).toBe(home);
  const leaving = targets.map((t) => ({ ...t, leaving: t.name === home }));
  expect(policy.rank(request, leaving).map((t) => t.name)).not.toContain(home);
});

test("among equal targets, a prefix goes to the target that served it", () => {
  const { policy } = createPolicy();
  const { version } = request;
  const prefix_hash = "p";
  for (const target of ["a", "b", "c"]) {
    policy.recordFeedback({
      kind: "granted",
      target,
      version,
      hint: idle_hint,
    });
  }
  const feedback = { kind: "granted", target: "c", version } as const;
  policy.recordFeedback({
    ...feedback,
    prefix_hash,
    hint: { ...idle_hint, running: 2 },
  });
  const rank = policy.rank({ ...request, prefix_hash }, targets);
  expect(rank[0]!.name).toBe("c");
});
