/** Random faults at random times, which may overlap.
 *
 * @module
 */
import { createRandom } from "../../harness/random.ts";
import type { World } from "../world.ts";
import { Fault, type FaultSite, type LiftFault } from "./fault.ts";

const FAULT_COUNT = 5;
const PAUSE_MAX_MS = 1_500;
const HOLD_MAX_MS = 4_000;

/** One fault of a random history. */
interface ScheduledFault {
  readonly fault: Fault;
  readonly pause_ms: number;
  readonly hold_ms: number;
  readonly entry: number;
  readonly owner: number;
  readonly target: number;
}

/** A random history of faults. Its number is the seed, so the same number
 * always gives the same history. */
export class RandomFault extends Fault {
  readonly name: string;
  readonly hold_ms = 0;
  readonly #number: number;
  readonly #faults: readonly Fault[];

  constructor(number: number, faults: readonly Fault[]) {
    super();
    this.name = `random-${number}`;
    this.#number = number;
    this.#faults = faults;
  }

  override async inject(world: World, _site: FaultSite): Promise<LiftFault> {
    const runs: Promise<void>[] = [];
    for (const scheduled of this.#schedule(world)) {
      await world.sleep(scheduled.pause_ms);
      runs.push(this.#run(world, scheduled));
    }
    return async () => {
      await Promise.all(runs);
    };
  }

  #schedule(world: World): readonly ScheduledFault[] {
    const random = createRandom(this.#number);
    const randomBelow = (count: number) => Math.floor(random() * count);
    const instances = world.cluster.instances.length;
    return Array.from({ length: FAULT_COUNT }, () => ({
      fault: this.#faults[randomBelow(this.#faults.length)] as Fault,
      pause_ms: random() * PAUSE_MAX_MS,
      hold_ms: random() * HOLD_MAX_MS,
      entry: randomBelow(instances),
      owner: randomBelow(instances),
      target: randomBelow(world.engines.length),
    }));
  }

  async #run(world: World, scheduled: ScheduledFault): Promise<void> {
    const { entry, owner } = scheduled;
    const target = world.engines[scheduled.target]?.name ?? "";
    const lift = await scheduled.fault.inject(world, { entry, owner, target });
    await world.sleep(scheduled.hold_ms);
    await lift();
  }
}
