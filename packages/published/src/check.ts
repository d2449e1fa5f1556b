/** Validates a change against the whole configuration that would result from
 * it.
 *
 * @module
 */
import {
  type Change,
  type ConfigObject,
  createValidator,
  stored_schema,
  type Validator,
  type Violation,
} from "@banyanlb/core";
import { err, ok, type Result } from "neverthrow";
import {
  CONFIG_KINDS,
  type ConfigKind,
  isConfigKind,
  referencesOf,
} from "./kinds.ts";
import { checkObjectRules } from "./rules.ts";
import type { Snapshot } from "./snapshot.ts";

const validators: ReadonlyMap<ConfigKind, Validator<ConfigObject>> = new Map(
  CONFIG_KINDS.map((kind) => [kind, createValidator(stored_schema, kind)]),
);

/** Validates the fields of one object, without its references.
 *
 * @example
 * ```ts
 * checkObject({ kind: "model" }).isErr(); // true: the name is missing
 * ```
 */
export function checkObject(
  value: unknown,
): Result<ConfigObject, readonly Violation[]> {
  const kind = (value as { kind?: unknown } | null)?.kind;
  const validator = validators.get(kind as ConfigKind);
  if (validator !== undefined) return validator(value);
  const known = CONFIG_KINDS.join(", ");
  return err([{ path: "/kind", message: `set kind to one of ${known}` }]);
}

/** Validates the configuration after `change`. The cost grows with the size of
 * the change. Other objects are read only if a removed object is still
 * referenced, an adapter moves to another workspace, or a pool loses a target.
 * Paths of violations start with `KIND/NAME`. */
export function checkChange(
  snapshot: Snapshot,
  change: Change,
): Result<void, readonly Violation[]> {
  const malformed = [
    ...change.put.flatMap(checkFields),
    ...checkDuplicates(change),
  ];
  if (malformed.length > 0) return err(malformed);
  const next = snapshot.apply(change);
  const violations = [
    ...change.remove.flatMap((ref) => checkRemoval(next, ref)),
    ...change.put.flatMap((object) => checkReferences(next, object)),
    ...checkPools(snapshot, next, change),
    ...change.put.flatMap((object) =>
      checkObjectRules(object, { before: snapshot, after: next, change })
    ),
  ];
  return violations.length === 0 ? ok(undefined) : err(violations);
}

function checkFields(object: ConfigObject): readonly Violation[] {
  const checked = checkObject(object);
  if (checked.isOk()) return [];
  return checked.error.map((violation) => ({
    path: `${object.kind}/${object.name}${violation.path}`,
    message: `${violation.message}; correct the field`,
  }));
}

function checkDuplicates(change: Change): readonly Violation[] {
  const ids = [...change.put, ...change.remove]
    .map((row) => `${row.kind}/${row.name}`);
  const seen = new Set<string>();
  const twice = ids.filter((id) => seen.has(id) || !seen.add(id));
  return twice.map((id) => ({
    path: id,
    message: "stands twice in the change; keep one of the two",
  }));
}

function checkRemoval(
  next: Snapshot,
  ref: { readonly kind: string; readonly name: string },
): readonly Violation[] {
  if (!isConfigKind(ref.kind)) {
    return [{ path: `${ref.kind}/${ref.name}`, message: "unknown kind" }];
  }
  const count = next.referenceCount(ref.kind, ref.name);
  if (count === 0) return [];
  const referrer = findReferrer(next, ref.kind, ref.name);
  // Names with equal hashes share a count, so no object may refer to this name.
  if (referrer === undefined) return [];
  return [{
    path: `${ref.kind}/${ref.name}`,
    message: `still used by ${count} objects such as ${referrer}; ` +
      "remove or change them in the same change",
  }];
}

function findReferrer(
  set: Snapshot,
  kind: ConfigKind | "pool",
  name: string,
): string | undefined {
  for (const { object } of set.referrersOf(kind, name)) {
    return `${object.kind}/${object.name}`;
  }
  return undefined;
}

function checkReferences(
  next: Snapshot,
  object: ConfigObject,
): readonly Violation[] {
  return referencesOf(object)
    .filter((ref) => !resolves(next, ref.kind, ref.name))
    .map((ref) => ({
      path: `${object.kind}/${object.name}${ref.path}`,
      message: `${ref.kind} ${ref.name} does not exist; ` +
        (ref.kind === "pool"
          ? "add a target of type service with this pool"
          : "add it to the change or correct the name"),
    }));
}

function resolves(
  set: Snapshot,
  kind: ConfigKind | "pool",
  name: string,
): boolean {
  if (kind !== "pool") return set.get(kind, name) !== undefined;
  return set.targetsOfPool(name).some((t) => t.type === "service");
}

function checkPools(
  before: Snapshot,
  next: Snapshot,
  change: Change,
): readonly Violation[] {
  const touched = [...change.put, ...change.remove]
    .filter((row) => row.kind === "target")
    .map((row) => before.get("target", row.name)?.pool)
    .filter((pool) => pool !== undefined);
  return [...new Set(touched)]
    .filter((pool) => next.referenceCount("pool", pool) > 0)
    .filter((pool) => !resolves(next, "pool", pool))
    .map((pool) => ({ pool, user: findReferrer(next, "pool", pool) }))
    .filter(({ user }) => user !== undefined)
    .map(({ pool, user }) => ({
      path: `pool/${pool}`,
      message: `its last target leaves while ${user} ` +
        "uses it; keep a target or remove the route in the same change",
    }));
}
