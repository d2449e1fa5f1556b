/** Plans the links of a cluster for the network's stand-in.
 *
 * @module
 */
import {
  buildNetworkConfig,
  type Deployment,
  type LaunchedProcess,
  type Link,
  type NetworkConfig,
  type PlacedInstance,
} from "@banyanlb/standins";
import { type Addresses, CALLER_PORT, PEER_PORT } from "./addresses.ts";

/** Address on which every stand-in listens. */
export const LOOPBACK = "127.0.0.1";

/** Number of the link to the store. */
export const STORE_LINK = 90;

/** Number of the link to the instance list. */
export const LIST_LINK = 91;

/** Number of the link to the weight store. */
export const WEIGHTS_LINK = 92;

/** Number of the link to the first target; all others follow in order. */
export const FIRST_TARGET_LINK = 30;

/** Processes of the platform's stand-ins. */
export interface PlatformPorts {
  readonly store: LaunchedProcess;
  readonly list: LaunchedProcess;
  readonly weights: LaunchedProcess;
}

/** The processes and addresses that the network connects. */
export interface NetworkEndpoints {
  readonly addresses: Addresses;
  readonly platform: PlatformPorts;
  readonly targets: readonly {
    readonly name: string;
    readonly planned: PlacedInstance;
    readonly process: LaunchedProcess;
  }[];
  readonly instances: readonly {
    readonly name: string;
    readonly placed: PlacedInstance;
  }[];
  /** Address that callers of a region connect from. */
  readonly callerAddressOf: (region: string) => string;
}

interface LinkPlan {
  readonly name: string;
  readonly domain: string;
  readonly number: number;
  readonly port: number;
  readonly forward: string;
}

function planPlatformLinks(
  deployment: Deployment,
  { platform }: NetworkEndpoints,
): readonly LinkPlan[] {
  const { store, list, weights } = platform;
  return [
    { name: "store", number: STORE_LINK, to: store.port },
    { name: "list", number: LIST_LINK, to: list.port },
    { name: "weights", number: WEIGHTS_LINK, to: weights.port },
  ].map(({ name, number, to }) => ({
    name,
    number,
    domain: deployment.store_domain,
    port: CALLER_PORT,
    forward: `${LOOPBACK}:${to}`,
  }));
}

function planTargetLinks({ targets }: NetworkEndpoints): readonly LinkPlan[] {
  return targets.map(({ name, planned, process }, i) => ({
    name,
    domain: planned.domain,
    number: FIRST_TARGET_LINK + i,
    port: CALLER_PORT,
    forward: `${LOOPBACK}:${process.port}`,
  }));
}

function planInstanceLinks(endpoints: NetworkEndpoints): readonly LinkPlan[] {
  return endpoints.instances.flatMap(({ name, placed }, i) =>
    [CALLER_PORT, PEER_PORT].map((port) => ({
      name,
      domain: placed.domain,
      number: i + 1,
      port,
      forward: `${endpoints.addresses.instance(i + 1)}:${port}`,
    }))
  );
}

/** Plans the links to all processes, and the source addresses by which the
 * network identifies the sender of a connection. */
export function planNetwork(
  deployment: Deployment,
  endpoints: NetworkEndpoints,
): NetworkConfig {
  const { addresses, callerAddressOf, instances } = endpoints;
  const links = [
    ...planPlatformLinks(deployment, endpoints),
    ...planTargetLinks(endpoints),
    ...planInstanceLinks(endpoints),
  ].map(({ name, domain, number, port, forward }): Link => {
    const listen = `${addresses.link(number)}:${port}`;
    return { name, domain, listen, forward };
  });
  const sources = instances.map(({ name, placed }, i) => ({
    name,
    domain: placed.domain,
    address: addresses.instance(i + 1),
  }));
  const callers = deployment.domains
    .filter((domain) => domain.clients === true)
    .map(({ name, region }) => ({
      name,
      domain: name,
      address: callerAddressOf(region),
    }));
  return buildNetworkConfig(deployment, {
    links,
    sources: [...sources, ...callers],
  });
}
