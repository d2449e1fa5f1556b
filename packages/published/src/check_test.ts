import type { Change, ConfigObject, ObjectRef } from "@banyanlb/core";
import fc from "fast-check";
import { expect, test } from "vitest";
import { checkChange } from "./check.ts";
import { referencesOf } from "./kinds.ts";
import { Snapshot } from "./snapshot.ts";

const HASH = "a".repeat(64);

const objects: readonly ConfigObject[] = [
  workspace("acme", 10, 20),
  workspace("other", 10, 20),
  { kind: "model", name: "base" },
  { kind: "adapter", name: "tolls", workspace: "acme", model: "base" },
  { kind: "version", name: "tolls@1", adapter: "tolls", weights: "w/1" },
  route("tolls", "acme"),
  { kind: "key", name: "k1", workspace: "acme", sha256: HASH },
  target("e1", "engine", "engines"),
  target("s1", "service", "bells"),
  {
    kind: "route",
    name: "strike",
    workspace: "acme",
    serves: { type: "service", pool: "bells", repeatable: false },
  },
];

function workspace(name: string, rate: number, burst: number): ConfigObject {
  return {
    kind: "workspace",
    name,
    rate_tokens_per_s: rate,
    burst_tokens: burst,
  };
}

function route(name: string, owner: string, open = false): ConfigObject {
  const serves = { type: "version", version: "tolls@1" } as const;
  return { kind: "route", name, workspace: owner, serves, open };
}

function target(
  name: string,
  type: "engine" | "service",
  pool: string,
): ConfigObject {
  const where = { region: "r", failure_domain: "r-a", url: "http://127.0.0.1" };
  const model = type === "engine" ? { model: "base" } : {};
  return { kind: "target", name, type, pool, ...where, ...model };
}

function change(
  put: readonly ConfigObject[],
  remove: readonly ObjectRef[] = [],
  generation = 2,
): Change {
  return { generation, put, remove, at_ms: 0 };
}

const published = Snapshot.empty().apply(change(objects, [], 1));

const broken: readonly (readonly [string, Change, string])[] = [
  [
    "a reference to a missing workspace",
    change([{
      kind: "key",
      name: "k",
      workspace: "no",
      sha256: "b".repeat(64),
    }]),
    "workspace no does not exist",
  ],
  [
    "the removal of an adapter in use",
    change([], [{ kind: "adapter", name: "tolls" }]),
    "used by 1",
  ],
  [
    "the removal of a version with a route",
    change([], [
      { kind: "version", name: "tolls@1" },
    ]),
    "such as route/tolls",
  ],
  [
    "the removal of the last target of a pool in use",
    change([], [{ kind: "target", name: "s1" }]),
    "last",
  ],
  ["a burst below the rate", change([workspace("acme", 10, 9)]), "at least 10"],
  [
    "a version whose name does not start with its adapter",
    change([{ kind: "version", name: "x@1", adapter: "tolls", weights: "w" }]),
    "name it tolls@VERSION",
  ],
  [
    "changed weights of a version",
    change([{
      kind: "version",
      name: "tolls@1",
      adapter: "tolls",
      weights: "x",
    }]),
    "cannot change",
  ],
  [
    "a route to a version of another workspace",
    change([route("r", "other")]),
    "belongs to",
  ],
  [
    "an adapter that moves to another workspace without its routes",
    change([
      { kind: "adapter", name: "tolls", workspace: "other", model: "base" },
    ]),
    "belongs to",
  ],
  [
    "two keys with the same hash",
    change([{ kind: "key", name: "k2", workspace: "acme", sha256: HASH }]),
    "issue a new key",
  ],
  [
    "a pool with engines and services",
    change([target("e2", "engine", "bells")]),
    "one pool",
  ],
  [
    "an engine without a base model",
    change([{
      ...target("e1", "service", "engines"),
      type: "engine",
    } as ConfigObject]),
    "name the base model",
  ],
  ["a malformed name", change([workspace("Acme", 1, 1)]), "correct the field"],
  [
    "the same object twice in one change",
    change([workspace("acme", 1, 1), workspace("acme", 2, 2)]),
    "twice",
  ],
];

test.each(broken)("rejects %s", (_, edit, remedy) => {
  const result = checkChange(published, edit);
  const messages = result._unsafeUnwrapErr().map((v) => v.message).join("\n");
  expect(messages).toMatch(remedy);
});

test.each([
  [
    "an open route to a version of another workspace",
    change([route("r", "other", true)]),
  ],
  [
    "a key that takes over the hash of a removed key",
    change(
      [{ kind: "key", name: "k2", workspace: "acme", sha256: HASH }],
      [{ kind: "key", name: "k1" }],
    ),
  ],
  ["the removal of all objects", change([], objects)],
])("accepts %s", (_, edit) => {
  expect(checkChange(published, edit).isOk()).toBe(true);
});

test("accepted changes leave no broken reference and no wrong index", () => {
  const pick = fc.subarray([...objects], { minLength: 1 });
  const edit = fc.record({ put: pick, remove: pick });
  fc.assert(
    fc.property(fc.array(edit, { maxLength: 12 }), (edits) => {
      let set = Snapshot.empty();
      for (const { put, remove } of edits) {
        const kept = remove.filter((r) => !put.includes(r));
        const next = change(put, kept, set.generation + 1);
        if (checkChange(set, next).isOk()) set = set.apply(next);
        const all = [...set.entries()].map((e) => e.object);
        for (const { kind, name } of all.flatMap(referencesOf)) {
          const count = all.flatMap(referencesOf)
            .filter((r) => r.kind === kind && r.name === name).length;
          expect(set.referenceCount(kind, name)).toBe(count);
          if (kind === "pool") {
            expect(set.targetsOfPool(name).length).toBeGreaterThan(0);
          } else expect(set.get(kind, name)?.name).toBe(name);
        }
        const keys = all.filter((o) => o.kind === "key");
        for (const key of keys) {
          expect(set.keyBySha256(key.sha256)?.name).toBe(key.name);
        }
      }
    }),
    { seed: 20_260_703, numRuns: 300 },
  );
});

test("a key that was removed or changed is not found by its old hash", () => {
  const id = { kind: "key", name: "k1" } as const;
  const removed = published.apply(change([], [id]));
  expect(removed.keyBySha256(HASH)).toBeUndefined();
  const other = { ...id, workspace: "acme", sha256: "b".repeat(64) };
  const changed = published.apply(change([other]));
  expect(changed.keyBySha256(HASH)).toBeUndefined();
  expect(changed.keyBySha256(other.sha256)?.name).toBe("k1");
  const taken = change([{ ...other, name: "k2", sha256: HASH }], [id]);
  expect(published.apply(taken).keyBySha256(HASH)?.name).toBe("k2");
});
