/** Lists the routes and versions of one workspace without unpacking all
 * objects.
 *
 * @module
 */
import type { ConfigObject, Route, Version } from "@banyanlb/core";
import type { ObjectMaps } from "./snapshot_edit.ts";

/** Routes of a workspace and routes that are open to all workspaces. */
export function* routesFor(
  objects: ObjectMaps,
  workspace: string | undefined,
): IterableIterator<Route> {
  const isVisibleRoute = (object: ConfigObject): object is Route =>
    object.kind === "route" &&
    (object.open === true || object.workspace === workspace);
  for (const { object } of objects.route.candidatesByShape(isVisibleRoute)) {
    if (isVisibleRoute(object)) yield object;
  }
}

/** Versions of the adapters of a workspace. */
export function* versionsOfWorkspace(
  objects: ObjectMaps,
  workspace: string,
): IterableIterator<Version> {
  const isOwnAdapter = (object: ConfigObject) =>
    object.kind === "adapter" && object.workspace === workspace;
  for (
    const { object: adapter } of objects.adapter.candidatesByShape(isOwnAdapter)
  ) {
    if (!isOwnAdapter(adapter)) continue;
    for (const { object } of objects.version.candidatesByStem(adapter.name)) {
      const version = object as Version;
      if (version.adapter === adapter.name) yield version;
    }
  }
}
