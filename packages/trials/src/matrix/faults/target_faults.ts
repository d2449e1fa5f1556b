/** Faults of engines and plain services.
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

const AFFECTED_COUNT = 2;

/** Number of responses that are cut off. Large enough that streamed ones are
 * among them, whichever requests arrive first. */
const CUT_COUNT = 8;
const AFTER_TOKENS = 3;
const HOLD_MS = 1_500;
const DELAY_MS = 1_200;

/** Sets faults of a target unless another fault has stopped its process. */
async function setFaults(
  world: World,
  site: FaultSite,
  faults: object,
): Promise<void> {
  const { control, process } = world.target(site.target);
  if (process.running) await control.setFaults(faults);
}

function targetFault(
  name: string,
  options: { readonly set: object; readonly lift: object },
): Fault {
  return new SimpleFault({ name, hold_ms: HOLD_MS }, async (world, site) => {
    await setFaults(world, site, options.set);
    return () => setFaults(world, site, options.lift);
  });
}

async function crash(world: World, site: FaultSite): Promise<LiftFault> {
  const isRunning = () => world.target(site.target).process.running;
  if (isRunning()) await world.crashTarget(site.target);
  return async () => {
    if (!isRunning()) await world.cluster.restartTarget(site.target);
  };
}

/** Faults of engines. */
export const engine_faults: readonly Fault[] = [
  new SimpleFault({ name: "target_crash", hold_ms: HOLD_MS }, crash),
  new SimpleFault(
    { name: "target_restart_empty", hold_ms: 0 },
    async (world, site) => {
      const action = "restart_empty";
      const { control, process } = world.target(site.target);
      if (process.running) await control.post("action", { action });
      return () => Promise.resolve();
    },
  ),
  targetFault("target_load_fails", {
    set: { fail_loads_next: AFFECTED_COUNT },
    lift: { fail_loads_next: 0 },
  }),
  targetFault("target_freeze", {
    set: { freeze: true },
    lift: { freeze: false },
  }),
  targetFault("target_reset", {
    set: {
      reset_mid_stream: { after_tokens: AFTER_TOKENS, count: AFFECTED_COUNT },
    },
    lift: { reset_mid_stream: { after_tokens: 0, count: 0 } },
  }),
  targetFault("target_cut", {
    set: { cut_without_end: { after_tokens: AFTER_TOKENS, count: CUT_COUNT } },
    lift: { cut_without_end: { after_tokens: 0, count: 0 } },
  }),
  targetFault("target_late", {
    set: { late: { ms: DELAY_MS, count: AFFECTED_COUNT } },
    lift: { late: { ms: 0, count: 0 } },
  }),
  targetFault("target_crossed", {
    set: { crossed_next: AFFECTED_COUNT },
    lift: { crossed_next: 0 },
  }),
  targetFault("target_refuses", {
    set: { refuse_next: AFFECTED_COUNT },
    lift: { refuse_next: 0 },
  }),
];

/** Faults of plain services. */
export const service_faults: readonly Fault[] = [
  new SimpleFault({ name: "service_crash", hold_ms: HOLD_MS }, crash),
  targetFault("service_reset_before", {
    set: { reset_before_next: AFFECTED_COUNT },
    lift: { reset_before_next: 0 },
  }),
  targetFault("service_reset_after", {
    set: { reset_after_next: AFFECTED_COUNT },
    lift: { reset_after_next: 0 },
  }),
  targetFault("service_hangs", {
    set: { outage: "hang" },
    lift: { outage: "none" },
  }),
  targetFault("service_error", {
    set: { error_next: AFFECTED_COUNT },
    lift: { error_next: 0 },
  }),
];
