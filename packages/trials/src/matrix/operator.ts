/** Single changes that an operator publishes during a trial.
 *
 * @module
 */
import type { ConfigObject, Route, Version } from "@banyanlb/core";
import type { World } from "./world.ts";

/** An object in force and the generation that last changed it. */
export interface FoundObject {
  readonly base: number;
  readonly object: ConfigObject;
}

/** Looks up an object in force. Throws if there is none. */
export async function lookUp(
  world: World,
  kind: ConfigObject["kind"],
  name: string,
): Promise<FoundObject> {
  const { client } = world.cluster.operator();
  const reply = await client.operator.lookup.query({ refs: [{ kind, name }] });
  const row = reply.rows[0];
  if (row === undefined) throw new Error(`no ${kind} ${name}`);
  return { base: row.base, object: row.object as ConfigObject };
}

/** Publishes a changed object, based on its current generation. Returns true if
 * the change was accepted. */
export async function publishChange(
  world: World,
  object: ConfigObject,
): Promise<boolean> {
  const { base } = await lookUp(world, object.kind, object.name);
  const { client } = world.cluster.operator();
  const reply = await client.operator.publish.mutate({
    put: [{ object, base }],
    remove: [],
  });
  return reply.error === undefined;
}

/** Publishes a new version of a route's adapter and points the route to it.
 * Throws if the change is not accepted. */
export async function publishVersion(
  world: World,
  name: string,
): Promise<void> {
  const found = await lookUp(world, "route", name);
  const route = found.object as Route;
  const number = world.versionsOf(name).length + 1;
  const version: Version = {
    kind: "version",
    name: `${name}@${number}`,
    adapter: name,
    weights: `${name}/${number}`,
  };
  const object: Route = {
    ...route,
    serves: { type: "version", version: version.name },
  };
  world.addVersion(name, version.name);
  const { client } = world.cluster.operator();
  const reply = await client.operator.publish.mutate({
    put: [{ object: version, base: null }, { object, base: found.base }],
    remove: [],
  });
  if (reply.error !== undefined) throw new Error(JSON.stringify(reply.error));
}
