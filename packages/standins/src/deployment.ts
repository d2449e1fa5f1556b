/** The parameters of a deployment, and the configuration objects built from
 * them.
 *
 * @module
 */
import {
  type ConfigObject,
  createValidator,
  hashKey,
  type Target,
} from "@banyanlb/core";
import { parse } from "jsonc-parser";
import { readFileSync } from "node:fs";
import {
  control_schema,
  type Deployment,
  type DeploymentPool,
  type DeploymentWorkspace,
  type Domain,
  type Link,
  type NetworkConfig,
  type Source,
} from "./generated/control.ts";

const validateDeployment = createValidator<Deployment>(
  control_schema,
  "deployment",
);
const FIRST_VERSION = "1";

/** Deployments whose parameters are part of this package. */
export type DeploymentName = "jongsori" | "kim_quy";

/** An instance and its location. */
export interface PlacedInstance {
  readonly name: string;
  readonly domain: string;
  readonly region: string;
}

/** A target that has no address yet. */
export interface PlannedTarget extends PlacedInstance {
  readonly pool: DeploymentPool;
}

/** A caller's key in plain text, for the callers in tests. */
export interface PlaintextKey {
  readonly workspace: string;
  readonly key: string;
}

/** The configuration objects of a deployment. */
export interface DeploymentObjects {
  readonly objects: readonly ConfigObject[];
  readonly keys: readonly PlaintextKey[];
  /** Routes to adapters. */
  readonly routes: readonly PlannedRoute[];
}

/** A route to an adapter, with the properties that callers and checks in tests
 * need. */
export interface PlannedRoute {
  readonly route: string;
  readonly version: string;
  readonly workspace: string;
  readonly class: "interactive" | "batch";
}

/** Options that a test sets. */
export interface ObjectOptions {
  /** `http://` URL of each target by name. */
  readonly urls: ReadonlyMap<string, string>;
  /** Number of adapters; replaces the deployment's own number. */
  readonly adapters?: number;
}

/** Reads the parameters of a deployment.
 *
 * @example
 * ```ts
 * loadDeployment("kim_quy").weights.loads_per_s; // 4
 * ```
 */
export function loadDeployment(name: DeploymentName): Deployment {
  const file = new URL(`../deployments/${name}.jsonc`, import.meta.url);
  const result = validateDeployment(parse(readFileSync(file, "utf8")));
  if (result.isOk()) return result.value;
  const first_violation = result.error[0];
  throw new Error(
    `invalid ${name}.jsonc at ${first_violation?.path}: ${first_violation?.message}`,
  );
}

function hostingDomains(deployment: Deployment): readonly Domain[] {
  return deployment.domains.filter((domain) => domain.clients !== true);
}

/** Assigns `count` instances to the failure domains, round-robin. */
function spreadOverDomains(
  deployment: Deployment,
  options: { readonly prefix: string; readonly count: number },
): readonly PlacedInstance[] {
  const domains = hostingDomains(deployment);
  return Array.from({ length: options.count }, (_, i) => {
    const domain = domains[i % domains.length];
    return {
      name: `${options.prefix}-${i + 1}`,
      domain: domain?.name ?? "",
      region: domain?.region ?? "",
    };
  });
}

/** Returns the names and locations of the entry instances.
 *
 * @example
 * ```ts
 * planEntryInstances(loadDeployment("kim_quy")).length; // 8
 * ```
 */
export function planEntryInstances(
  deployment: Deployment,
): readonly PlacedInstance[] {
  const count = deployment.entry_instances;
  return spreadOverDomains(deployment, { prefix: "entry", count });
}

/** Returns the names and locations of the targets.
 *
 * @example
 * ```ts
 * planTargets(loadDeployment("kim_quy"))[0]?.name; // "assistant-1"
 * ```
 */
export function planTargets(deployment: Deployment): readonly PlannedTarget[] {
  return deployment.pools.flatMap((pool) =>
    spreadOverDomains(deployment, { prefix: pool.name, count: pool.count })
      .map((placed) => ({ ...placed, pool }))
  );
}

/** Builds all configuration objects of a deployment, ready to publish.
 *
 * @example
 * ```ts
 * const deployment = loadDeployment("jongsori");
 * const urls = new Map([["pattern-1", "http://127.0.0.1:9000"]]);
 * const { objects, keys } = buildObjects(deployment, { urls, adapters: 50 });
 * ```
 */
export function buildObjects(
  deployment: Deployment,
  options: ObjectOptions,
): DeploymentObjects {
  const routes = planRoutes(deployment, options.adapters);
  const keys = deployment.workspaces.map((workspace) => ({
    workspace: workspace.name,
    key: `plain-key-of-${workspace.name}`,
  }));
  const objects: readonly ConfigObject[] = [
    { kind: "model", name: deployment.model },
    ...deployment.workspaces.map(toWorkspace),
    ...keys.map(toKey),
    ...routes.flatMap((route) => toAdapterObjects(deployment, route)),
    ...toServiceRoutes(deployment),
    ...planTargets(deployment)
      .filter((planned) => options.urls.has(planned.name))
      .map((planned) => toTarget(deployment, planned, options.urls)),
  ];
  return { objects, keys, routes };
}

/** Builds the configuration of the network stand-in for a deployment.
 *
 * @example
 * ```ts
 * buildNetworkConfig(deployment, { links: [], sources: [] }).bits_per_s;
 * ```
 */
export function buildNetworkConfig(
  deployment: Deployment,
  topology: {
    readonly links: readonly Link[];
    readonly sources: readonly Source[];
  },
): NetworkConfig {
  const { domains, delays_ms, bits_per_s } = deployment;
  return { domains, delays_ms, bits_per_s, ...topology };
}

/** Returns one route per adapter. Each workspace gets its share of the adapters;
 * the last ones of each share are of class batch. */
function planRoutes(
  deployment: Deployment,
  adapters = deployment.adapters,
): readonly PlannedRoute[] {
  return deployment.workspaces.flatMap((workspace) => {
    const count = Math.max(1, Math.round(adapters * workspace.adapter_share));
    const interactive_count = count - Math.floor(
      count * deployment.batch_adapter_share,
    );
    return Array.from({ length: count }, (_, i): PlannedRoute => {
      const route = `${deployment.adapter_prefix}-${workspace.name}-${i + 1}`;
      return {
        route,
        version: `${route}@${FIRST_VERSION}`,
        workspace: workspace.name,
        class: i < interactive_count ? "interactive" : "batch",
      };
    });
  });
}

function toWorkspace(workspace: DeploymentWorkspace): ConfigObject {
  const { name, rate_tokens_per_s, burst_tokens } = workspace;
  return { kind: "workspace", name, rate_tokens_per_s, burst_tokens };
}

function toKey({ workspace, key }: PlaintextKey): ConfigObject {
  const name = `${workspace}-key`;
  return { kind: "key", name, workspace, sha256: hashKey(key) };
}

function toAdapterObjects(
  deployment: Deployment,
  planned: PlannedRoute,
): readonly ConfigObject[] {
  const { route: name, version, workspace } = planned;
  return [
    { kind: "adapter", name, workspace, model: deployment.model },
    {
      kind: "version",
      name: version,
      adapter: name,
      weights: `${name}/${FIRST_VERSION}`,
    },
    {
      kind: "route",
      name,
      workspace,
      serves: { type: "version", version },
      class: planned.class,
    },
  ];
}

function toServiceRoutes(deployment: Deployment): readonly ConfigObject[] {
  return deployment.service_routes.map((service_route) => ({
    kind: "route",
    name: service_route.name,
    workspace: service_route.workspace,
    serves: {
      type: "service",
      pool: service_route.pool,
      repeatable: service_route.repeatable,
    },
    open: service_route.open ?? false,
  }));
}

function toTarget(
  deployment: Deployment,
  planned: PlannedTarget,
  urls: ReadonlyMap<string, string>,
): Target {
  const { name, domain, region, pool } = planned;
  const target: Target = {
    kind: "target",
    name,
    type: pool.type,
    url: urls.get(name) ?? "",
    pool: pool.name,
    region,
    failure_domain: domain,
    ...(pool.max_running === undefined
      ? {}
      : { max_running: pool.max_running }),
  };
  if (pool.type === "service") return target;
  return {
    ...target,
    model: deployment.model,
    fencing: pool.fencing ?? false,
    ...(pool.adapter_slots === undefined
      ? {}
      : { adapter_slots: pool.adapter_slots }),
  };
}
