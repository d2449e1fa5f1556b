import fc from "fast-check";
import { expect, test } from "vitest";
import { passTime } from "../testing/fakes.ts";
import { Fleet, startFleet } from "../testing/fleet.ts";
import { FRESH_LIMIT_MS } from "./constants.ts";

const SEED = 20_260_704;
const SLACK_MS = 40;
const SLOW_STORE_MS = 900;

let fleet = new Fleet();

type Action =
  | { readonly do: "publish" | "isolate" | "cut_store"; readonly at: string }
  | { readonly do: "heal" | "cut_far" | "outage" | "pause" | "slow" };

const actions: fc.Arbitrary<Action> = fc.oneof(
  fc.record({
    do: fc.constant("publish" as const),
    at: fc.constantFrom("n1", "n2", "n3", "f1"),
  }),
  fc.record({
    do: fc.constant("cut_store" as const),
    at: fc.constantFrom("n1", "n2", "f1", "f2"),
  }),
  fc.record({
    do: fc.constant("isolate" as const),
    at: fc.constantFrom("f1", "f2"),
  }),
  fc.record({
    do: fc.constantFrom("heal", "cut_far", "outage", "pause", "slow" as const),
  }),
);

interface ConfirmedGeneration {
  readonly generation: number;
  readonly at: number;
}

function applyAction(action: Action, confirmed: ConfirmedGeneration[]): void {
  const { clock, storage } = fleet;
  switch (action.do) {
    case "publish": {
      const name = `m${storage.manifests.length}-${clock.now()}`;
      const put = [{ object: { kind: "model", name }, base: null }] as const;
      fleet.publisherAt(action.at).publish({ put, remove: [] }).then((r) => {
        if (r.isErr()) return;
        const generation = r.value.generation;
        confirmed.push({ generation, at: clock.now() });
      });
      return;
    }
    case "isolate":
      fleet.isolated.add(action.at);
      return fleet.applyCuts({ far_cut: false });
    case "cut_store":
      fleet.without_store.add(action.at);
      return fleet.applyCuts({ far_cut: false });
    case "cut_far":
      return fleet.applyCuts({ far_cut: true });
    case "outage":
      storage.down = true;
      return;
    case "slow":
      for (const { store } of fleet.nodes.values()) {
        store.latency_ms = SLOW_STORE_MS;
      }
      return;
    case "pause":
      return clock.advance(3_000);
    case "heal":
      storage.down = false;
      fleet.isolated.clear();
      fleet.without_store.clear();
      return fleet.applyCuts({ far_cut: false });
  }
}

test("no instance serves without a generation confirmed earlier than the limit", async () => {
  const reasons = new Map<string, number>();
  const step = fc.record({
    action: actions,
    ms: fc.integer({ min: 20, max: 3_000 }),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
      fleet = await startFleet();
      const confirmed: ConfirmedGeneration[] = [];
      // A reply in transit counts from the time of its request, so the bound
      // includes the latency of both directions.
      const slow = steps.some(({ action }) => action.do === "slow");
      const limit = FRESH_LIMIT_MS + (slow ? 2 * SLOW_STORE_MS : 0);
      for (const { action, ms } of steps) {
        applyAction(action, confirmed);
        for (let t = 0; t < ms; t += 20) {
          const old = fleet.clock.now() - limit - SLACK_MS;
          const due = confirmed.filter((c) => c.at < old)
            .map((c) => c.generation);
          for (const { guard, follower } of fleet.nodes.values()) {
            const { serve, reason } = guard.state();
            reasons.set(reason, (reasons.get(reason) ?? 0) + 1);
            if (serve) {
              expect(follower.generation).toBeGreaterThanOrEqual(
                Math.max(0, ...due),
              );
            }
          }
          await passTime(fleet.clock, 20);
        }
      }
      fleet.storage.down = false;
      await passTime(fleet.clock, 5_000);
      await fleet.close();
    }),
    { seed: SEED, numRuns: 60 },
  );
  console.log(`seed ${SEED}:`, Object.fromEntries(reasons));
});
