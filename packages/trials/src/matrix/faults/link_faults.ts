/** Cuts of network links, made by the network stand-in.
 *
 * @module
 */
import type { Path } from "@banyanlb/standins";
import type { World } from "../world.ts";
import { type Fault, type FaultSite, SimpleFault } from "./fault.ts";

type PathsToCut = (world: World, site: FaultSite) => readonly Path[];

function cutFault(name: string, paths: PathsToCut): Fault {
  return new SimpleFault({ name, hold_ms: 0 }, async (world, site) => {
    await world.cluster.network.setFaults({ cuts: paths(world, site) });
    await world.sleep(world.longer_than_lease_ms);
    return () => world.cluster.network.setFaults({ cuts: [] });
  });
}

function entryName(world: World, site: FaultSite): string {
  return world.instance(site.entry).name;
}

function toPeers(both: boolean): PathsToCut {
  return (world, site) => {
    const from = { name: entryName(world, site) };
    return world.cluster.instances
      .filter(({ name }) => name !== from.name)
      .map(({ name }) => ({ from, to: { name }, both }));
  };
}

/** Cuts between an instance and the store, its peers or a target, and between
 * regions, in both directions or in one direction. */
export const link_faults: readonly Fault[] = [
  cutFault("cut_store", (world, site) => [
    {
      from: { name: entryName(world, site) },
      to: { name: "store" },
      both: true,
    },
  ]),
  cutFault("cut_store_answers", (world, site) => [
    { from: { name: "store" }, to: { name: entryName(world, site) } },
  ]),
  cutFault("cut_peers", toPeers(true)),
  cutFault("cut_peers_one_way", toPeers(false)),
  cutFault("cut_target", (world, site) => [
    {
      from: { name: entryName(world, site) },
      to: { name: site.target },
      both: true,
    },
  ]),
  cutFault("cut_target_answers", (world, site) => [
    { from: { name: site.target }, to: { name: entryName(world, site) } },
  ]),
  cutFault("cut_regions", (world) => {
    const [first = "", second = ""] = world.regions;
    return [{ from: { region: first }, to: { region: second }, both: true }];
  }),
  cutFault("cut_regions_one_way", (world) => {
    const [first = "", second = ""] = world.regions;
    return [{ from: { region: first }, to: { region: second } }];
  }),
];
