/** Finds the route and the workspace of a request.
 *
 * @module
 */
import {
  type HomeRegions,
  homeRegionsOf,
  steeringRegionsOf,
} from "./residency/residency.ts";
import type { Configuration, Route, Service, Workspace } from "./types.ts";

/** An immutable index of one configuration. */
export class RouteTable {
  readonly configuration: Configuration;
  readonly #routes: ReadonlyMap<string, readonly Route[]>;
  readonly #workspaces: ReadonlyMap<string, Workspace>;
  readonly #services: ReadonlyMap<string, Service>;
  readonly #routesByName: ReadonlyMap<string, Route>;
  readonly #workspacesByName: ReadonlyMap<string, Workspace>;
  readonly #steeringRegions = new Map<string, HomeRegions>();

  constructor(configuration: Configuration) {
    this.configuration = configuration;
    const routes = new Map<string, Route[]>();
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routesOfHost = routes.get(host);
      if (routesOfHost === undefined) routes.set(host, [route]);
      else routesOfHost.push(route);
    }
    for (const routesOfHost of routes.values()) {
      routesOfHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    this.#routes = routes;
    this.#workspaces = new Map(
      configuration.workspaces.flatMap((w) => w.keys.map((key) => [key, w])),
    );
    this.#services = new Map(configuration.services.map((s) => [s.name, s]));
    this.#routesByName = new Map(configuration.routes.map((r) => [r.name, r]));
    this.#workspacesByName = new Map(
      configuration.workspaces.map((w) => [w.name, w]),
    );
    for (const [host, routesOfHost] of routes) {
      this.#steeringRegions.set(host, steeringRegionsOf(routesOfHost));
    }
  }

  /** The route with the longest prefix of `target`'s path.
   *
   * @example
   * ```ts
   * table.findRoute("shop.example:80", "/orders/7?x=1")?.name;
   * ```
   */
  findRoute(host: string, target: string): Route | undefined {
    const routesOfHost = this.#routes.get(stripPort(host).toLowerCase());
    if (routesOfHost === undefined) return undefined;
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    return routesOfHost.find((route) => path.startsWith(route.pathPrefix));
  }

  /** The workspace that has the API key. */
  findWorkspace(key: string): Workspace | undefined {
    return this.#workspaces.get(key);
  }

  /** The regions in which a request may be served that arrived on this route and
   * for this workspace, by their newest homes: these may have changed since. */
  homeRegionsOf(route: Route, workspace: Workspace | undefined): HomeRegions {
    return homeRegionsOf([
      this.#routesByName.get(route.name) ?? route,
      workspace && (this.#workspacesByName.get(workspace.name) ?? workspace),
    ]);
  }

  /** The regions whose instances may receive requests of callers of a host, see
   * `steeringRegionsOf`. */
  steeringRegionsOf(host: string): HomeRegions {
    return this.#steeringRegions.get(stripPort(host).toLowerCase());
  }

  /** The service of this name. */
  findService(name: string): Service | undefined {
    return this.#services.get(name);
  }
}

/** Picks a service by weight; `sample` is a random number in [0, 1). */
export function pickService(route: Route, sample: number): string | undefined {
  const totalWeight = route.services.reduce((sum, s) => sum + s.weight, 0);
  let remaining = sample * totalWeight;
  for (const { service, weight } of route.services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.services.at(-1)?.service;
}

function stripPort(host: string): string {
  const colon = host.lastIndexOf(":");
  return colon < 0 ? host : host.slice(0, colon);
}
