/** Faults of instance processes.
 *
 * @module
 */
import type { World } from "../world.ts";
import {
  type Fault,
  type FaultSite,
  type LiftFault,
  SimpleFault,
} from "./fault.ts";

type Role = "entry" | "owner";

/** Time between a kill and the restart, in milliseconds. */
const RESTART_DELAY_MS = 1_500;

async function kill(world: World, index: number): Promise<LiftFault> {
  await world.instance(index).process?.kill();
  return () => world.restartInstance(index);
}

function stop(world: World, index: number): Promise<LiftFault> {
  const { process } = world.instance(index);
  process?.signal("SIGTERM");
  return Promise.resolve(async () => {
    await process?.exited;
    await world.restartInstance(index);
  });
}

function freeze(world: World, index: number): Promise<LiftFault> {
  world.instance(index).process?.signal("SIGSTOP");
  return Promise.resolve(() => {
    world.instance(index).process?.signal("SIGCONT");
    return Promise.resolve();
  });
}

/** Freezes an instance for longer than its lease term. */
class FreezeFault extends SimpleFault {
  constructor(role: Role) {
    const options = { name: `freeze_${role}`, hold_ms: 0 };
    super(options, async (world, site) => {
      const lift = await freeze(world, site[role]);
      await world.sleep(world.longer_than_lease_ms);
      return lift;
    });
  }
}

function faultsOfRole(role: Role): readonly Fault[] {
  const indexAt = (site: FaultSite) => site[role];
  return [
    new SimpleFault(
      { name: `kill_${role}`, hold_ms: RESTART_DELAY_MS },
      (world, site) => kill(world, indexAt(site)),
    ),
    new SimpleFault(
      { name: `stop_${role}`, hold_ms: 0 },
      (world, site) => stop(world, indexAt(site)),
    ),
    new FreezeFault(role),
  ];
}

/** Kills, graceful stops and freezes of the entry and the owner instance. */
export const process_faults: readonly Fault[] = [
  ...faultsOfRole("entry"),
  ...faultsOfRole("owner"),
];
