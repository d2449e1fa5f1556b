/** Periodic removal of intent records whose retention has expired. One instance
 * of the fleet at a time performs it.
 *
 * @module
 */
import type { Clock } from "@banyanlb/core";
import type { IntentLog } from "@banyanlb/intent";
import { INTENT_SWEEP_INTERVAL_MS } from "./constants.ts";
import { PeriodicTask } from "./periodic_task.ts";

/** Dependencies of the intent sweep. */
export interface IntentSweepDeps {
  readonly clock: Clock;
  readonly intent_log: IntentLog;
  /** True on the instance that is responsible for the sweep. It is harmless if
   * two instances sweep concurrently. */
  readonly isResponsible: () => boolean;
}

/** Creates the periodic task that sweeps the intent log. */
export function createIntentSweep(deps: IntentSweepDeps): PeriodicTask {
  const { clock, intent_log, isResponsible } = deps;
  return new PeriodicTask({
    clock,
    pause: () => INTENT_SWEEP_INTERVAL_MS,
    run: async () => {
      if (isResponsible()) await intent_log.sweep();
    },
  });
}
