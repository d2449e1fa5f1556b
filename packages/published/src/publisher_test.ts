import {
  type ConfigObject,
  type Manifest,
  ManualClock,
  type Part,
} from "@banyanlb/core";
import fc from "fast-check";
import { expect, test } from "vitest";
import {
  type CallBehavior,
  FakeStorage,
  passTime,
  passTimeUntil,
} from "../testing/fakes.ts";
import {
  contentOf,
  makeModels,
  TestInstance,
} from "../testing/test_instance.ts";
import type { Edits } from "./edits.ts";

const SEED = 20_260_702;
const RUNS = 60;

/** Entries in a manifest's parts, with its later inline changes applied. */
function rowsOf(storage: FakeStorage, manifest: Manifest): Map<string, string> {
  const rows = new Map<string, string>();
  const put = (object: ConfigObject, generation: number | undefined) =>
    rows.set(
      `${object.kind}/${object.name}`,
      `${generation} ${JSON.stringify(object)}`,
    );
  for (const name of manifest.parts.filter((part) => part !== "")) {
    const part: Part = JSON.parse(storage.rows.get(`part/${name}`)?.text ?? "");
    part.objects.forEach((object, i) => put(object, part.generations?.[i]));
  }
  const later = manifest.changes
    .filter((c) => c.generation > manifest.snapshot_generation);
  for (const change of later) {
    for (const ref of change.remove) rows.delete(`${ref.kind}/${ref.name}`);
    for (const object of change.put) put(object, change.generation);
  }
  return rows;
}

/** The entries at each generation, from all manifests ever written. */
function readHistory(
  storage: FakeStorage,
): ReadonlyMap<number, ReadonlyMap<string, string>> {
  const sets = new Map<number, ReadonlyMap<string, string>>([[0, new Map()]]);
  let last = 0;
  for (const text of storage.manifests) {
    const manifest: Manifest = JSON.parse(text);
    const set = rowsOf(storage, manifest);
    const is_compaction = manifest.generation === last;
    if (is_compaction) expect(set).toEqual(sets.get(last));
    else expect(manifest.generation).toBe(last + 1);
    last = manifest.generation;
    sets.set(last, set);
  }
  return sets;
}

/** Checks each reported publish against the manifests that the store
 * received. */
function checkReports(
  sets: ReadonlyMap<number, ReadonlyMap<string, string>>,
  reports: readonly PublishReport[],
): void {
  const claimed = new Map<number, Edits>();
  for (const { generation, edits } of reports) {
    if (generation === undefined) continue;
    expect(claimed.has(generation)).toBe(false);
    claimed.set(generation, edits);
  }
  for (const [generation, edits] of claimed) {
    const expected = new Map(sets.get(generation - 1));
    for (const { kind, name, base } of edits.remove) {
      expect(expected.get(`${kind}/${name}`)).toMatch(`${base} `);
      expected.delete(`${kind}/${name}`);
    }
    for (const { object, base } of edits.put) {
      const id = `${object.kind}/${object.name}`;
      const held = expected.get(id)?.split(" ")[0];
      expect(held).toBe(base === null ? undefined : `${base}`);
      expected.set(id, `${generation} ${JSON.stringify(object)}`);
    }
    expect(sets.get(generation)).toEqual(expected);
  }
  const unknown = reports.filter((r) => r.outcome === "outcome_unknown").length;
  // Each generation has one publisher. If no report claims it, the publisher
  // must have reported an unknown outcome.
  const unclaimed = sets.size - 1 - claimed.size;
  expect(unclaimed).toBeLessThanOrEqual(unknown);
}

interface PublishStep {
  readonly name: string;
  readonly remove: boolean;
  readonly large: boolean;
  readonly behaviors: readonly CallBehavior[];
  readonly pause_ms: number;
}

const behavior_arbitrary: fc.Arbitrary<CallBehavior> = fc.record({
  mode: fc.oneof(
    { weight: 6, arbitrary: fc.constant("answered" as const) },
    { weight: 1, arbitrary: fc.constant("lost_before" as const) },
    { weight: 2, arbitrary: fc.constant("lost_after" as const) },
    { weight: 2, arbitrary: fc.constant("late" as const) },
    { weight: 1, arbitrary: fc.constant("throttled" as const) },
  ),
  turns: fc.nat(3),
});

const step_arbitrary: fc.Arbitrary<PublishStep> = fc.record({
  name: fc.constantFrom("w1", "w2", "w3"),
  remove: fc.boolean(),
  large: fc.boolean(),
  behaviors: fc.array(behavior_arbitrary, { minLength: 1, maxLength: 8 }),
  pause_ms: fc.constantFrom(0, 20, 200),
});

let last_rate = 0;

/** Edits of one workspace, based on the instance's snapshot in force. Padding
 * makes the inline changes exceed their limit soon. */
function toEdits(instance: TestInstance, step: PublishStep): Edits {
  const base = instance.follower.current()?.versionOf("workspace", step.name);
  if (step.remove && base !== undefined) {
    const removal = { kind: "workspace", name: step.name, base } as const;
    return { put: [], remove: [removal] };
  }
  const rate = ++last_rate;
  const object: ConfigObject = {
    kind: "workspace",
    name: step.name,
    rate_tokens_per_s: rate,
    burst_tokens: rate,
  };
  const padding = step.large ? makeModels(250) : [];
  const put = [
    { object, base: base ?? null },
    ...padding.map((model) => ({
      object: model,
      base: instance.follower.current()?.versionOf("model", model.name) ?? null,
    })),
  ];
  return { put, remove: [] };
}

interface PublishReport {
  readonly edits: Edits;
  readonly outcome: string;
  readonly generation: number | undefined;
}

async function runSteps(
  instance: TestInstance,
  steps: readonly PublishStep[],
  clock: ManualClock,
): Promise<readonly PublishReport[]> {
  const reports: PublishReport[] = [];
  for (const step of steps) {
    const edits = toEdits(instance, step);
    let call = 0;
    instance.store.nextBehavior = () =>
      step.behaviors[call++ % step.behaviors.length] as CallBehavior;
    const result = await instance.publisher.publish(edits);
    reports.push({
      edits,
      outcome: result.isOk() ? "published" : result.error.kind,
      generation: result.isOk() ? result.value.generation : undefined,
    });
    if (step.pause_ms > 0) await clock.sleep(step.pause_ms);
  }
  return reports;
}

test("concurrent publishers with lost replies agree with a model", async () => {
  const histories = fc.array(
    fc.array(step_arbitrary, { minLength: 1, maxLength: 6 }),
    { minLength: 3, maxLength: 3 },
  );
  const outcomes = new Map<string, number>();
  await fc.assert(
    fc.asyncProperty(histories, async (history) => {
      const clock = new ManualClock();
      const storage = new FakeStorage();
      const instances = history.map(() => new TestInstance(storage, clock));
      await passTime(clock, 40);
      const reports = (await passTimeUntil(
        clock,
        Promise.all(
          history.map((steps, i) =>
            runSteps(instances[i] as TestInstance, steps, clock)
          ),
        ),
      )).flat();
      for (const instance of instances) {
        instance.store.nextBehavior = () => ({ mode: "answered", turns: 0 });
        await passTimeUntil(clock, instance.publisher.waitForCompaction());
      }
      await passTime(clock, 3_000);
      const sets = readHistory(storage);
      checkReports(sets, reports);
      const last = sets.size - 1;
      const expected = [...sets.get(last)?.values() ?? []].sort();
      const late = new TestInstance(storage, clock);
      await passTime(clock, 200);
      for (const instance of [...instances, late]) {
        expect(instance.follower.generation).toBe(last);
        expect(contentOf(instance.follower.current())).toEqual(expected);
        const ascending = [...new Set(instance.generations)].sort((a, b) =>
          a - b
        );
        expect(instance.generations).toEqual(ascending);
        await instance.close();
      }
      for (const { outcome } of reports) {
        outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
  console.log(`seed ${SEED}:`, Object.fromEntries(outcomes));
});
