/** Base classes of the faults that a cell injects.
 *
 * @module
 */
import type { World } from "../world.ts";

/** The instances and the target that a fault affects. */
export interface FaultSite {
  /** Index of the instance that callers send requests to. */
  readonly entry: number;
  /** Index of an instance that owns the target or another resource that the
   * callers' requests need. */
  readonly owner: number;
  /** Name of a target that serves the callers' requests. */
  readonly target: string;
}

/** Lifts an injected fault. */
export type LiftFault = () => Promise<void>;

/** One kind of failure, injected from outside the daemons. */
export abstract class Fault {
  /** Name of the fault, as given to `--fault`. */
  abstract readonly name: string;
  /** Time in milliseconds between the end of `inject` and the lifting of the
   * fault. */
  abstract readonly hold_ms: number;

  /** Injects the fault. Returns the function that lifts it. */
  abstract inject(world: World, site: FaultSite): Promise<LiftFault>;
}

/** A fault defined by one function. */
export class SimpleFault extends Fault {
  readonly name: string;
  readonly hold_ms: number;
  readonly #inject: (world: World, site: FaultSite) => Promise<LiftFault>;

  constructor(
    options: { readonly name: string; readonly hold_ms: number },
    inject: (world: World, site: FaultSite) => Promise<LiftFault>,
  ) {
    super();
    this.name = options.name;
    this.hold_ms = options.hold_ms;
    this.#inject = inject;
  }

  override inject(world: World, site: FaultSite): Promise<LiftFault> {
    return this.#inject(world, site);
  }
}

/** Injects a fault, lifts it after its hold time, and injects it again. */
export class RepeatedFault extends Fault {
  readonly name: string;
  readonly hold_ms: number;
  readonly #fault: Fault;

  constructor(fault: Fault) {
    super();
    this.name = `${fault.name}*2`;
    this.hold_ms = fault.hold_ms;
    this.#fault = fault;
  }

  override async inject(world: World, site: FaultSite): Promise<LiftFault> {
    const lift = await this.#fault.inject(world, site);
    await world.sleep(this.#fault.hold_ms);
    await lift();
    return await this.#fault.inject(world, site);
  }
}

/** Two faults that are in effect at the same time. */
export class PairedFault extends Fault {
  readonly name: string;
  readonly hold_ms: number;
  readonly #faults: readonly [Fault, Fault];

  constructor(first: Fault, second: Fault) {
    super();
    this.name = `${first.name}+${second.name}`;
    this.hold_ms = Math.max(first.hold_ms, second.hold_ms);
    this.#faults = [first, second];
  }

  override async inject(world: World, site: FaultSite): Promise<LiftFault> {
    const [first, second] = this.#faults;
    const liftFirst = await first.inject(world, site);
    const liftSecond = await second.inject(world, site);
    return async () => {
      await liftSecond();
      await liftFirst();
    };
  }
}
