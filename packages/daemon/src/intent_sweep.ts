/** Removes intent records whose retention is over, from one instance at a
 * time.
 *
 * @module
 */
import type { Clock } from "@banyanlb/core";
import type { IntentLog } from "@banyanlb/intent";
import { INTENT_SWEEP_INTERVAL_MS } from "./constants.ts";
import { PeriodicTask } from "./periodic_task.ts";

/** What the sweep works with. */
export interface IntentSweepDeps {
  readonly clock: Clock;
  readonly intents: IntentLog;
  /** True on the one instance whose turn it is. Two at once do no harm. */
  readonly isResponsible: () => boolean;
}

/** Sweeps at an interval. */
export function createIntentSweep(deps: IntentSweepDeps): PeriodicTask {
  const { clock, intents, isResponsible } = deps;
  return new PeriodicTask({
    clock,
    pause: () => INTENT_SWEEP_INTERVAL_MS,
    run: async () => {
      if (isResponsible()) await intents.sweep();
    },
  });
}
