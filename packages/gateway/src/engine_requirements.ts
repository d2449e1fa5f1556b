/** What a request asks of engines, with the versions that are in force.
 *
 * @module
 */
import { adapterNameIn, type EngineRequirements } from "@banyanlb/serving";
import type { RelayDependencies } from "./relay_dependencies.ts";

/** Looks up the versions of adapters, and the models of services. */
export type RequirementLookUps = Pick<
  RelayDependencies,
  "routeTable" | "versionOf" | "oldestVersionOf"
>;

/** The name of a request's adapter among all adapters of an engine of the service;
 * undefined without an adapter.
 *
 * @example
 * ```ts
 * const held = view.adapters.get(adapterNameOf(deps, service, caller) ?? "");
 * ```
 */
export function adapterNameOf(
  { routeTable }: Pick<RelayDependencies, "routeTable">,
  service: string,
  { model, adapter }: Pick<EngineRequirements, "model" | "adapter">,
): string | undefined {
  if (model === undefined || adapter === undefined) return adapter;
  const engineClass = routeTable()?.findService(service)?.engineClass;
  return adapterNameIn(engineClass, model, adapter);
}

/** Adds the versions of the adapter to what a request asks, 0 without an adapter,
 * and names it as engines' tables do.
 *
 * @example
 * ```ts
 * chooser.choose(requirementsOf(deps, request), context);
 * ```
 */
export function requirementsOf(
  lookUps: RequirementLookUps,
  request: Omit<EngineRequirements, "version" | "oldestVersion">,
): EngineRequirements {
  const { service, model, adapter } = request;
  if (model === undefined || adapter === undefined) {
    return { ...request, version: 0, oldestVersion: 0 };
  }
  return {
    ...request,
    adapter: adapterNameOf(lookUps, service, request),
    version: lookUps.versionOf(model, adapter),
    oldestVersion: lookUps.oldestVersionOf(model, adapter),
  };
}
