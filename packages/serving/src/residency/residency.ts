/** Regions in which requests may be served and instances may receive them.
 *
 * @module
 */
import type { Route, Workspace } from "../types.ts";

/** The regions in which a request may be served; undefined if it may be served
 * in any. An empty set means nowhere. */
export type HomeRegions = ReadonlySet<string> | undefined;

/** What binds a request to regions: a route, or a workspace. */
export type Bound = Pick<Route | Workspace, "homeRegions">;

/** The regions in which a request may be served. If several bind it, all of them
 * do.
 *
 * @example
 * ```ts
 * const homes = homeRegionsOf([route, workspace]);
 * if (!allowsRegion(homes, "north")) refuse();
 * ```
 */
export function homeRegionsOf(
  bounds: readonly (Bound | undefined)[],
): HomeRegions {
  let homes: HomeRegions;
  for (const bound of bounds) {
    const regions = bound?.homeRegions;
    if (regions === undefined) continue;
    const allowed = homes;
    homes = new Set(regions.filter((region) => allowsRegion(allowed, region)));
  }
  return homes;
}

/** Whether a request with these homes may be served in a region. A region that is
 * not known may be anywhere. */
export function allowsRegion(
  homes: HomeRegions,
  region: string | undefined,
): boolean {
  if (homes === undefined) return true;
  return region !== undefined && homes.has(region);
}

/** The regions whose instances may receive requests of callers of a host, beside
 * those of the caller's own region: the homes that all bound routes share, or if
 * they share none, those of any. Undefined if no route is bound.
 *
 * @example
 * ```ts
 * steeringRegionsOf(routesOfHost)?.has(member.region);
 * ```
 */
export function steeringRegionsOf(routes: readonly Bound[]): HomeRegions {
  const bound = routes.filter(({ homeRegions }) => homeRegions !== undefined);
  const shared = homeRegionsOf(bound);
  if (shared === undefined || shared.size > 0) return shared;
  return new Set(bound.flatMap(({ homeRegions }) => homeRegions ?? []));
}
