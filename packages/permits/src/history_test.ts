import * as fc from "fast-check";
import { expect, test } from "vitest";
import { SafetyRules } from "./safety_rules.ts";
import type { OrderOutcome } from "./testing/fake_engine.ts";
import { target, World } from "./testing/world.ts";

const SEED = 20_260_704;
const RUNS = 120;
const ENTRIES = ["e1", "e2", "e3"] as const;

type Step =
  | {
    readonly kind: "request";
    readonly entry: number;
    readonly version: string;
    readonly run_ms: number;
    readonly unused_ms: number;
    readonly uses_former_owner: boolean;
  }
  | { readonly kind: "pass"; readonly ms: number }
  | { readonly kind: "take_over" | "hand_off" | "restart" }
  | { readonly kind: "cut" | "join"; readonly entry: number }
  | { readonly kind: "order"; readonly order_outcome: OrderOutcome };

const entry = fc.nat({ max: ENTRIES.length - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant("request" as const),
      entry,
      version: fc.constantFrom("a@1", "b@1", "c@1", "d@1"),
      run_ms: fc.constantFrom(10, 500, 4_000, 9_000, 18_000),
      unused_ms: fc.constantFrom(0, 0, 0, 1_900, 6_000),
      uses_former_owner: fc.constantFrom(false, false, false, false, true),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("pass" as const),
      ms: fc.constantFrom(10, 100, 700, 2_000, 2_000),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "take_over" as const,
        "take_over" as const,
        "take_over" as const,
        "hand_off" as const,
        "restart" as const,
      ),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom("cut" as const, "join" as const),
      entry,
    }),
  },
  fc.record({
    kind: fc.constant("order" as const),
    order_outcome: fc.constantFrom<OrderOutcome>("lost", "late", "failed"),
  }),
);

async function request(
  world: World,
  step: Step & { readonly kind: "request" },
): Promise<void> {
  const from = world.entries.get(ENTRIES[step.entry]!)!;
  const owners = step.uses_former_owner
    ? world.former_owners ?? world.owners
    : world.owners;
  const { version } = step;
  const reply = await world.ask(from, version, 19_000, owners);
  if (reply?.kind !== "granted") return;
  if (step.unused_ms > 0) await world.holdUnused(version, step.unused_ms);
  const { permit_id } = reply;
  await world.run(from, { permit_id, version }, step.run_ms);
}

async function runStep(world: World, step: Step): Promise<void> {
  switch (step.kind) {
    case "request":
      void request(world, step);
      return;
    case "pass":
      return world.advance(step.ms);
    case "take_over":
      void world.replaceOwner(3_000);
      return;
    case "hand_off":
      world.takeOver(await quiesce(world));
      return;
    case "restart":
      world.engine.restart();
      return;
    case "cut":
    case "join":
      world.entries.get(ENTRIES[step.entry]!)!.is_reachable =
        step.kind === "join";
      return;
    case "order":
      world.engine.next_outcomes.push(step.order_outcome);
  }
}

async function quiesce(world: World) {
  const handoff = world.owners!.quiesce(target.name);
  const result = await world.resultWithin(7_000, handoff);
  return result === "pending" ? undefined : result;
}

async function runSteps(
  steps: readonly Step[],
  options: {
    readonly fencing: boolean;
    readonly age_ms: number;
    readonly rules?: SafetyRules;
  },
): Promise<readonly string[]> {
  const world = new World(options.rules);
  world.target = { ...target, fencing: options.fencing };
  world.engine.age_ms = options.age_ms;
  for (const session of ENTRIES) world.addEntry(session);
  world.takeOver();
  for (const step of steps) await runStep(world, step);
  await world.advance(25_000);
  // A weakened rule must be exposed by an unsafe action, not by a version that
  // is no longer served.
  const unserved = options.rules === undefined ? await findUnserved(world) : [];
  return [...world.engine.violations, ...world.late_grants, ...unserved];
}

/** Versions for which no permit is granted although no more faults occur. */
async function findUnserved(world: World): Promise<readonly string[]> {
  const entries = [...world.entries.values()];
  for (const each of entries) each.is_reachable = true;
  world.engine.next_outcomes = [];
  await world.advance(25_000);
  const failed: string[] = [];
  for (const version of ["a@1", "b@1", "c@1", "d@1"]) {
    const reply = await world.resultWithin(
      9_000,
      world.ask(entries[0]!, version),
    );
    if (reply === "pending" || reply?.kind !== "granted") failed.push(version);
    else entries[0]!.ledger.release(reply.permit_id, "done");
  }
  return failed;
}

function check(rules?: SafetyRules) {
  const options = fc.record({
    fencing: fc.boolean(),
    age_ms: fc.constantFrom(0, 300, 1_000),
  });
  const property = fc.asyncProperty(
    fc.array(step, { minLength: 40, maxLength: 80 }),
    options,
    async (steps, chosen) => {
      const rest = rules === undefined ? {} : { rules };
      expect(await runSteps(steps, { ...chosen, ...rest })).toEqual([]);
    },
  );
  return fc.check(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
}

test(`no history evicts an adapter in use, seed ${SEED}`, async () => {
  const result = await check();
  expect(result.counterexample).toBeNull();
});

class EvictInUse extends SafetyRules {
  override mayEvict(facts: Parameters<SafetyRules["mayEvict"]>[0]) {
    return super.mayEvict({ ...facts, outstanding: 0 });
  }
}

class EvictBeforeReports extends SafetyRules {
  override mayEvict(facts: Parameters<SafetyRules["mayEvict"]>[0]) {
    return super.mayEvict({ ...facts, unreported_count: 0, in_doubt: false });
  }
}

class GrantAfterExpiry extends SafetyRules {
  override mayGrant() {
    return true;
  }
}

for (const rules of [EvictInUse, EvictBeforeReports, GrantAfterExpiry]) {
  test(`some history exposes ${rules.name}, seed ${SEED}`, async () => {
    const result = await check(new rules());
    expect(result.failed).toBe(true);
  });
}
