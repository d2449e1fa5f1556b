/** Validation rules between objects, beyond the existence of referenced
 * objects.
 *
 * @module
 */
import type {
  Adapter,
  Change,
  ConfigObject,
  Key,
  Route,
  Target,
  Version,
  Violation,
  Workspace,
} from "@banyanlb/core";
import type { Snapshot } from "./snapshot.ts";

/** A change and the snapshots before and after it. */
export interface ChangeContext {
  readonly before: Snapshot;
  readonly after: Snapshot;
  readonly change: Change;
}

function violation(
  object: ConfigObject,
  path: string,
  message: string,
): Violation {
  return { path: `${object.kind}/${object.name}${path}`, message };
}

/** Checks the rules for one object that a change puts. */
export function checkObjectRules(
  object: ConfigObject,
  context: ChangeContext,
): readonly Violation[] {
  switch (object.kind) {
    case "workspace":
      return checkWorkspace(object);
    case "model":
      return [];
    case "key":
      return checkKey(object, context);
    case "adapter":
      return checkAdapter(object, context);
    case "version":
      return checkVersion(object, context);
    case "route":
      return checkRoute(object, context.after);
    case "target":
      return checkTarget(object, context.after);
  }
}

function checkWorkspace(object: Workspace): readonly Violation[] {
  if (object.burst_tokens >= object.rate_tokens_per_s) return [];
  return [violation(
    object,
    "/burst_tokens",
    "is below one second of the rate; " +
      `set it to at least ${object.rate_tokens_per_s}`,
  )];
}

function checkKey(object: Key, context: ChangeContext): readonly Violation[] {
  const holder = context.before.keyBySha256(object.sha256);
  const duplicates = context.change.put.filter((o) =>
    o.kind === "key" && o.name !== object.name && o.sha256 === object.sha256
  );
  const is_still_held = holder !== undefined && holder.name !== object.name &&
    context.after.get("key", holder.name)?.sha256 === object.sha256;
  if (!is_still_held && duplicates.length === 0) return [];
  const other_name = is_still_held ? holder.name : duplicates[0]?.name;
  return [violation(
    object,
    "/sha256",
    `is also the hash of key ${other_name}; issue a new key`,
  )];
}

function checkAdapter(
  object: Adapter,
  context: ChangeContext,
): readonly Violation[] {
  const before = context.before.get("adapter", object.name);
  if (before === undefined) return [];
  const found: Violation[] = [];
  if (before.model !== object.model) {
    found.push(violation(
      object,
      "/model",
      `is ${before.model} and cannot change; add an adapter of another name`,
    ));
  }
  if (before.workspace === object.workspace) return found;
  const versions = context.after.versionsOfAdapter(object.name)
    .filter((v) => context.after.referenceCount("version", v.name) > 0);
  for (const version of versions) {
    for (
      const { object: user } of context.after.referrersOf(
        "version",
        version.name,
      )
    ) {
      if (user.kind === "route") found.push(...checkRoute(user, context.after));
    }
  }
  return found;
}

function checkVersion(
  object: Version,
  context: ChangeContext,
): readonly Violation[] {
  const found: Violation[] = [];
  if (!object.name.startsWith(`${object.adapter}@`)) {
    found.push(violation(
      object,
      "/name",
      `does not start with its adapter; name it ${object.adapter}@VERSION`,
    ));
  }
  const { before } = context;
  const retired = before.retiredVersion(object.name);
  const known = before.get("version", object.name) ?? retired;
  // Engines hold weights under this name, so a name must refer to the same
  // weights forever.
  if (known !== undefined && known.weights !== object.weights) {
    const since = retired === undefined ? "is" : "was before its removal";
    found.push(violation(
      object,
      "/weights",
      `${since} ${known.weights} and cannot change; ` +
        "add a version of another name",
    ));
  }
  return found;
}

function checkRoute(object: Route, after: Snapshot): readonly Violation[] {
  if (object.serves.type !== "version" || object.open === true) return [];
  const version = after.get("version", object.serves.version);
  const adapter = version && after.get("adapter", version.adapter);
  if (adapter === undefined || adapter.workspace === object.workspace) {
    return [];
  }
  return [violation(
    object,
    "/serves/version",
    `belongs to workspace ${adapter.workspace}, the route to ` +
      `${object.workspace}; name a version of the route's workspace or ` +
      "set open to true",
  )];
}

function checkTarget(object: Target, after: Snapshot): readonly Violation[] {
  const found: Violation[] = [];
  if (object.type === "engine" && object.model === undefined) {
    found.push(violation(
      object,
      "/model",
      "is missing; name the base model that the engine runs",
    ));
  }
  if (object.type === "service" && object.model !== undefined) {
    found.push(violation(
      object,
      "/model",
      "is only for engines; remove it or set type to engine",
    ));
  }
  const other_type = after.targetsOfPool(object.pool)
    .find((t) => t.type !== object.type);
  if (other_type !== undefined) {
    found.push(violation(
      object,
      "/pool",
      `${object.pool} has ${other_type.type} ${other_type.name}; ` +
        "use one pool for engines and another for services",
    ));
  }
  return found;
}
