/** Addresses of callers in every region, so that a cut between regions does not
 * separate a caller from the instance that it uses.
 *
 * @module
 */
import type { World } from "./world.ts";

/** Base of the last octet of caller addresses; the index of the region is
 * added. The first region uses the cluster's own caller address. */
const FIRST_REGIONAL_HOST = 81;

function callerAddressIn(world: World, region: string): string {
  const { caller_address } = world.cluster;
  const region_index = world.regions.indexOf(region);
  if (region_index <= 0) return caller_address;
  const prefix = caller_address.slice(0, caller_address.lastIndexOf("."));
  return `${prefix}.${FIRST_REGIONAL_HOST + region_index}`;
}

/** Registers the callers of all regions with the network stand-in. */
export async function addRegionalCallers(world: World): Promise<void> {
  const { deployment, network } = world.cluster;
  const sources = deployment.domains
    .filter((domain) => domain.clients === true)
    .map(({ name, region }) => ({
      name: `callers-of-${region}`,
      domain: name,
      address: callerAddressIn(world, region),
    }));
  await network.post("links", { sources });
}

/** Returns the address of a caller in the region of an instance. */
export function callerAddressOf(world: World, index: number): string {
  return callerAddressIn(world, world.instance(index).placed.region);
}
