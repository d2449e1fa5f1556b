import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { Batch } from "./batch.ts";
import { ENGINE_DEFAULTS } from "./engine_options.ts";
import { ListStandIn } from "./list_stand_in.ts";
import { type Endpoint, NetworkPolicy } from "./network_policy.ts";
import { PrefixCache } from "./prefix_cache.ts";

test("a step of a full batch with eight adapters takes less than 30 ms", async () => {
  const batch = new Batch(ENGINE_DEFAULTS.batch);
  for (let i = 0; i < 40; i++) {
    batch.add({
      version: `a${i % 8}@1`,
      priority: "interactive",
      admit: () => 0,
      step: () => true,
    });
  }
  await expect.poll(() => batch.running).toHaveLength(32);
  expect(batch.waiting).toBe(8);
  expect(batch.stepMs).toBe(24);
  batch.clear();
});

test("interactive requests are admitted before batch requests", async () => {
  const options = { ...ENGINE_DEFAULTS.batch, max_running: 1, step_ms: 0 };
  const batch = new Batch(options);
  const order: string[] = [];
  const add = (version: string, priority: "interactive" | "batch") => {
    const admit = () => order.push(version) * 0;
    batch.add({ version, priority, admit, step: () => false });
  };
  add("first", "batch");
  add("second", "batch");
  add("third", "interactive");
  await expect.poll(() => order).toEqual(["first", "third", "second"]);
});

test("the prefix cache is bounded; its events are late and have gaps", async () => {
  const options = { blocks: 2, event_delay_ms: 20, event_gap: 2 };
  const cache = new PrefixCache(options);
  const prompt = "p".repeat(256);
  expect(cache.use("a@1", prompt)).toBe(0);
  expect(cache.use("a@1", prompt)).toBe(64);
  expect(cache.use("b@1", prompt)).toBe(0);
  expect(cache.use("a@1", prompt)).toBe(0);
  expect(cache.eventsAfter(0)).toEqual([]);
  await sleep(30);
  expect(cache.eventsAfter(0).map((event) => event.seq)).toContain(3);
  expect(cache.eventsAfter(0).map((event) => event.seq)).not.toContain(2);
});

test("the list returns changed rows only after its lag", async () => {
  const list = new ListStandIn({ lag_ms: 50 });
  await list.start();
  const read = async () => (await fetch(`${list.url}/v1/instances`)).json();
  list.setRows([{ name: "e1", state: "live" }]);
  const before = await read();
  list.setRows([{ name: "e1", state: "leaving" }]);
  expect(await read()).toEqual(before);
  await expect.poll(read).toEqual({
    instances: [{ name: "e1", state: "leaving" }],
  });
  await list.close();
});

test("a pair of regions shares bandwidth; distance determines the delay", () => {
  const policy = new NetworkPolicy({
    domains: [
      { name: "n-a", region: "n" },
      { name: "n-b", region: "n" },
      { name: "s-a", region: "s" },
      { name: "callers", region: "n", clients: true },
    ],
    delays_ms: {
      same_domain: 0,
      between_domains: 1,
      between_regions: 8,
      clients: 3,
    },
    bits_per_s: 8_000,
    links: [],
    sources: [],
  });
  const at = (domain: string): Endpoint =>
    policy.toEndpoint({ name: domain, domain });
  expect(policy.delayMs(at("n-a"), at("n-b"))).toBe(1);
  expect(policy.delayMs(at("n-a"), at("s-a"))).toBe(8);
  expect(policy.delayMs(at("callers"), at("n-a"))).toBe(3);
  expect(policy.delayMs(at("s-a"), at("callers"))).toBe(11);
  const south = (from: string) => ({ from: at(from), to: at("s-a") });
  const first_ms = policy.reserveSendEndMs(south("n-a"), 1_000);
  // 1,000 bytes take one second at 8,000 bit/s.
  expect(policy.reserveSendEndMs(south("n-b"), 1_000) - first_ms).toBeCloseTo(
    1_000,
    0,
  );
  const north = { from: at("s-a"), to: at("n-a") };
  expect(policy.reserveSendEndMs(north, 1_000)).toBeLessThan(first_ms + 500);
});
