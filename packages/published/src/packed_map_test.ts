import type { Adapter, ConfigObject, Route, Version } from "@banyanlb/core";
import fc from "fast-check";
import { expect, test } from "vitest";
import { checkChange } from "./check.ts";
import { MAX_SHAPES } from "./constants.ts";
import { CONFIG_KINDS, referencesOf } from "./kinds.ts";
import { hashName } from "./packed_bucket.ts";
import { PackedMap } from "./packed_map.ts";
import { Snapshot } from "./snapshot.ts";
import type { Entry } from "./snapshot_edit.ts";
import { ReferenceCounter } from "./reference_counter.ts";

const SEED = 20_260_705;
const MANY_NAMES = 400_000;

/** Two names whose hashes are equal. */
function findCollision(): readonly [string, string] {
  const seen = new Map<number, string>();
  for (let i = 0; i < MANY_NAMES; i++) {
    const name = `n${i}`;
    const other = seen.get(hashName(name));
    if (other !== undefined) return [other, name];
    seen.set(hashName(name), name);
  }
  throw new Error("no names with equal hashes");
}

const [LEFT, RIGHT] = findCollision();
const stems = ["tolls", "tolls-2", "t", LEFT, RIGHT];
const stem = fc.constantFrom(...stems);
const version = fc.tuple(stem, fc.constantFrom("1", "2")).map((p) =>
  p.join("@")
);
const text = fc.oneof(
  fc.string({ minLength: 1, unit: "binary" }),
  fc.constantFrom("~", "=", "~/1", "tolls/1", "tolls-2/1", 'ü"\n'),
);
const objects: fc.Arbitrary<Adapter | Version | Route> = fc.oneof(
  fc.record({
    kind: fc.constant("adapter" as const),
    name: stem,
    workspace: text,
    model: fc.constantFrom("base", "tolls"),
  }),
  fc.record({
    kind: fc.constant("version" as const),
    name: version,
    adapter: stem,
    weights: text,
  }),
  fc.record({
    name: stem,
    kind: fc.constant("route" as const),
    workspace: stem,
    serves: fc.oneof(
      fc.record({ type: fc.constant("version" as const), version }),
      fc.record({
        type: fc.constant("service" as const),
        pool: stem,
        repeatable: fc.boolean(),
      }),
    ),
  }),
);

test("a packed map returns exactly the entries of a plain map", () => {
  const edit = fc.record({ object: objects, keep: fc.boolean() });
  const history = fc.array(fc.array(edit, { maxLength: 8 }), { maxLength: 8 });
  fc.assert(
    fc.property(history, fc.constantFrom(1, 16), (changes, buckets) => {
      let packed = PackedMap.empty(buckets);
      const plain = new Map<string, Entry>();
      for (const [generation, edits] of changes.entries()) {
        const rows = edits.map(({ object, keep }) => {
          const entry = keep ? { object, generation } : undefined;
          if (entry === undefined) plain.delete(object.name);
          else plain.set(object.name, entry);
          return [object.name, entry] as const;
        });
        packed = packed.with(rows);
        const sort = (list: Iterable<Entry>) =>
          [...list].map((entry) => JSON.stringify(entry)).sort();
        expect(sort(packed.values())).toEqual(sort(plain.values()));
        expect(packed.size).toBe(plain.size);
        for (const name of [...stems, "absent"]) {
          expect(packed.get(name)).toEqual(plain.get(name));
        }
      }
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test("referrers and reference counts agree with a scan of all objects", () => {
  fc.assert(
    fc.property(fc.array(objects, { maxLength: 20 }), (put) => {
      const set = Snapshot.empty()
        .apply({ generation: 1, put, remove: [], at_ms: 0 });
      const all: ConfigObject[] = [...set.entries()].map((e) => e.object);
      for (const kind of [...CONFIG_KINDS, "pool"] as const) {
        for (const name of [...stems, ...stems.map((s) => `${s}@1`)]) {
          const users = all.filter((object) =>
            referencesOf(object).some((r) => r.kind === kind && r.name === name)
          );
          expect(new Set([...set.referrersOf(kind, name)].map((e) => e.object)))
            .toEqual(new Set(users));
          if (name.startsWith("n")) continue;
          expect(set.referenceCount(kind, name)).toBe(users.length);
        }
      }
      for (const own of stems) {
        const adapters = all.filter((o) =>
          o.kind === "adapter" && o.workspace === own
        ).map((o) => o.name);
        // A version is stored in the bucket of its adapter.
        const versions = all.filter((o) =>
          o.kind === "version" && adapters.includes(o.adapter) &&
          o.name.startsWith(`${o.adapter}@`)
        );
        const found = new Set([...set.versionsOfWorkspace(own)]);
        for (const row of versions) expect(found).toContainEqual(row);
        const routes = all.filter((o) =>
          o.kind === "route" && o.workspace === own
        );
        expect(new Set([...set.routesFor(own)])).toEqual(new Set(routes));
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test("reference counts of names with equal hashes are never too low", () => {
  const one = ReferenceCounter.empty(1).add([[LEFT, 1], [RIGHT, 2]]);
  expect(one.get(LEFT)).toBe(3);
  const two = one.add([[LEFT, -1]]).add([["other", 4]]);
  expect(two.get(RIGHT)).toBe(2);
  expect(two.add([[RIGHT, -2]]).get(RIGHT)).toBe(0);
  expect(two.get("other")).toBe(4);
});

test("objects beyond the maximum number of shapes are stored whole", () => {
  const count = MAX_SHAPES + 10;
  const rows = Array.from({ length: count }, (_, i) => {
    const name = `a${i}`;
    const object = {
      kind: "adapter",
      name,
      workspace: `w${i}`,
      model: "base",
    } as const;
    return [name, { object, generation: i }] as const;
  });
  const map = PackedMap.empty(16).with(rows);
  for (const [name, entry] of rows) expect(map.get(name)).toEqual(entry);
  const whole = [...map.candidatesByShape(() => false)];
  expect(whole.length).toBeGreaterThanOrEqual(10);
  expect(whole.length).toBeLessThan(count);
});

test("an unreferenced object is removable while a name with an equal hash is referenced", () => {
  const workspace = (name: string) =>
    ({
      kind: "workspace",
      name,
      rate_tokens_per_s: 1,
      burst_tokens: 1,
    }) as const;
  const sha256 = "a".repeat(64);
  const put = [
    workspace(LEFT),
    workspace(RIGHT),
    { kind: "key", name: "k", workspace: LEFT, sha256 } as const,
  ];
  const set = Snapshot.empty(1)
    .apply({ generation: 1, put, remove: [], at_ms: 0 });
  const removalOf = (name: string) =>
    checkChange(set, {
      generation: 2,
      put: [],
      remove: [{ kind: "workspace", name }],
      at_ms: 0,
    });
  expect(removalOf(RIGHT).isOk()).toBe(true);
  expect(removalOf(LEFT).isOk()).toBe(false);
});
