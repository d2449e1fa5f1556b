/** What a request asks of engines, with the versions that are in force.
 *
 * @module
 */
import type { EngineRequirements } from "@banyanlb/serving";
import type { RelayDependencies } from "./relay_dependencies.ts";

/** Looks up the versions of adapters. */
export type VersionLookUps = Pick<
  RelayDependencies,
  "versionOf" | "oldestVersionOf"
>;

/** Adds the versions of the adapter to what a request asks; 0 without an adapter.
 *
 * @example
 * ```ts
 * chooser.choose(requirementsOf(deps, request), context);
 * ```
 */
export function requirementsOf(
  { versionOf, oldestVersionOf }: VersionLookUps,
  request: Omit<EngineRequirements, "version" | "oldestVersion">,
): EngineRequirements {
  const { model, adapter } = request;
  if (model === undefined || adapter === undefined) {
    return { ...request, version: 0, oldestVersion: 0 };
  }
  return {
    ...request,
    version: versionOf(model, adapter),
    oldestVersion: oldestVersionOf(model, adapter),
  };
}
