/** Edits that operators publish through a chosen instance.
 *
 * @module
 */
import type { ConfigObject } from "@banyanlb/core";
import type { World } from "./world.ts";

/** The kind and name of an object. */
export interface ObjectName {
  readonly kind: ConfigObject["kind"];
  readonly name: string;
}

/** One change: objects to create or replace, and objects to remove. */
export interface Edit {
  readonly put?: readonly ConfigObject[];
  readonly remove?: readonly ObjectName[];
  /** Index of the instance that the edit is sent to. */
  readonly via: number;
}

/** The outcome that the operator received. `unknown`: no reply, or a reply that
 * the outcome is unknown. */
export type EditOutcome =
  | "accepted"
  | "conflict"
  | "rejected"
  | "not_published"
  | "unknown";

type Base = number | null;

const EDIT_TIMEOUT_MS = 12_000;
const LOOKUP_TIMEOUT_MS = 3_000;
const RETRY_MS = 200;

function idOf({ kind, name }: ObjectName): string {
  return `${kind}/${name}`;
}

/** Looks up the generations that edits of these objects must be based on.
 * Objects that do not exist are absent from the result. Throws if the instance
 * does not reply. */
export async function lookUpBases(
  world: World,
  via: number,
  names: readonly ObjectName[],
): Promise<ReadonlyMap<string, Base>> {
  const { client } = world.cluster.operator(via);
  const signal = AbortSignal.timeout(LOOKUP_TIMEOUT_MS);
  const refs = names.map(({ kind, name }) => ({ kind, name }));
  const reply = await client.operator.lookup.query({ refs }, { signal });
  return new Map(
    reply.rows.map(({ object, base }) => [idOf(object as ObjectName), base]),
  );
}

/** Publishes an edit based on the given generations. Never throws. */
export async function publishWithBases(
  world: World,
  edit: Edit,
  bases: ReadonlyMap<string, Base>,
): Promise<EditOutcome> {
  const { client } = world.cluster.operator(edit.via);
  const baseOf = (name: ObjectName) => bases.get(idOf(name)) ?? null;
  const put = (edit.put ?? []).map((object) => ({
    object,
    base: baseOf(object),
  }));
  const remove = (edit.remove ?? []).map(({ kind, name }) => ({
    kind,
    name,
    base: baseOf({ kind, name }) ?? 0,
  }));
  try {
    const reply = await client.operator.publish.mutate({ put, remove }, {
      signal: AbortSignal.timeout(EDIT_TIMEOUT_MS),
    });
    const kind = reply.error?.kind;
    if (kind === undefined) return "accepted";
    if (kind === "outcome_unknown") return "unknown";
    return kind === "not_found" ? "conflict" : kind;
  } catch {
    return "unknown";
  }
}

/** Looks up the current generations and publishes the edit based on them. Never
 * throws. */
export async function publishEdit(
  world: World,
  edit: Edit,
): Promise<EditOutcome> {
  const names = [...edit.put ?? [], ...edit.remove ?? []];
  try {
    const bases = await lookUpBases(world, edit.via, names);
    return await publishWithBases(world, edit, bases);
  } catch {
    return "unknown";
  }
}

/** Retries an edit until it is accepted. Throws after `limit_ms`. */
export async function publishUntilAccepted(
  world: World,
  edit: Edit,
  limit_ms: number,
): Promise<void> {
  const deadline_ms = performance.now() + limit_ms;
  let outcome: EditOutcome = "unknown";
  while (performance.now() < deadline_ms) {
    outcome = await publishEdit(world, edit);
    if (outcome === "accepted") return;
    await world.sleep(RETRY_MS);
  }
  throw new Error(`an edit was not accepted in ${limit_ms} ms: ${outcome}`);
}

/** Retries the removal of an object until it no longer exists; an attempt
 * without a reply may have removed it. Throws after `limit_ms`. */
export async function removeUntilGone(
  world: World,
  removal: { readonly name: ObjectName; readonly via: number },
  limit_ms: number,
): Promise<void> {
  const { name, via } = removal;
  const until = performance.now() + limit_ms;
  let outcome: EditOutcome = "unknown";
  while (performance.now() < until) {
    outcome = await publishEdit(world, { remove: [name], via });
    if (outcome === "accepted") return;
    const bases = await lookUpBases(world, via, [name]).catch(() => undefined);
    if (bases !== undefined && !bases.has(idOf(name))) return;
    await world.sleep(RETRY_MS);
  }
  throw new Error(
    `${idOf(name)} was not removed in ${limit_ms} ms: ${outcome}`,
  );
}

/** Returns the index of a running instance in the store's region that is not in
 * `others`. Throws if there is none. */
export function pickOperatorIndex(
  world: World,
  others: readonly number[],
): number {
  const { domains, store_domain } = world.cluster.deployment;
  const region = domains.find((d) => d.name === store_domain)?.region;
  const found = world.runningIndexes().find((i) =>
    !others.includes(i) && world.instance(i).placed.region === region
  );
  if (found !== undefined) return found;
  throw new Error("no instance is left for the operator");
}
