/** Changes by operators and by the platform's target list while requests are in
 * flight.
 *
 * @module
 */
import type { Target, Workspace } from "@banyanlb/core";
import { lookUp, publishChange } from "../operator.ts";
import type { World } from "../world.ts";
import { type Fault, SimpleFault } from "./fault.ts";

const LIST_LAG_MS = 10_000;
const DEFAULT_LAG_MS = 1_000;
const LEAVING_MS = 3_500;
const RACE_MS = 500;

async function setLeaving(
  world: World,
  name: string,
  leaving: boolean,
): Promise<void> {
  const found = await lookUp(world, "target", name);
  const target = found.object as Target;
  await publishChange(world, { ...target, leaving });
}

/** Lets two operators change the weight of the same workspace at the same time,
 * based on the same generation. */
async function raceEdits(world: World): Promise<void> {
  const names = world.cluster.deployment.workspaces.map((w) => w.name);
  const name = names[0] ?? "";
  const found = await lookUp(world, "workspace", name);
  const workspace = found.object as Workspace;
  const publish = (index: number, weight: number) => {
    const object: Workspace = { ...workspace, weight };
    return world.cluster.operator(index).client.operator.publish.mutate({
      put: [{ object, base: found.base }],
      remove: [],
    });
  };
  const indexes = world.runningIndexes();
  const [first = 0, second = first] = indexes;
  await Promise.allSettled([publish(first, 1), publish(second, 2)]);
}

/** Competing edits, leaving targets and a stale target list. */
export const operator_faults: readonly Fault[] = [
  new SimpleFault(
    { name: "two_operators", hold_ms: RACE_MS },
    async (world) => {
      await raceEdits(world);
      return () => Promise.resolve();
    },
  ),
  new SimpleFault(
    { name: "target_leaving_change", hold_ms: LEAVING_MS },
    async (world, site) => {
      await setLeaving(world, site.target, true);
      return () => setLeaving(world, site.target, false);
    },
  ),
  new SimpleFault(
    { name: "target_leaving_list", hold_ms: LEAVING_MS },
    async (world, site) => {
      await world.cluster.setListedState(site.target, "leaving");
      return () => world.cluster.setListedState(site.target, "live");
    },
  ),
  new SimpleFault(
    { name: "list_lags", hold_ms: RACE_MS },
    async (world, site) => {
      const { list } = world.cluster;
      await list.setFaults({ lag_ms: LIST_LAG_MS });
      await world.cluster.setListedState(site.target, "leaving");
      return async () => {
        await world.cluster.setListedState(site.target, "live");
        await list.setFaults({ lag_ms: DEFAULT_LAG_MS });
      };
    },
  ),
];
