/** Ends running requests while the configuration may be stale.
 *
 * @module
 */
import type { Clock, EventLog, Metrics } from "@banyanlb/core";
import type { FreshnessGuard } from "@banyanlb/published";
import { FRESHNESS_CHECK_INTERVAL_MS } from "./constants.ts";
import { STALE_REQUESTS_ENDED } from "./events.ts";
import type { InFlightRegistry } from "./in_flight_registry.ts";
import { PeriodicTask } from "./periodic_task.ts";

/** Dependencies of the freshness watch. */
export interface FreshnessWatchDeps {
  readonly clock: Clock;
  readonly guard: FreshnessGuard;
  readonly in_flight: InFlightRegistry;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

function endStaleRequests(deps: FreshnessWatchDeps): void {
  const { guard, in_flight, log, metrics } = deps;
  if (guard.state().serve) return;
  const count = in_flight.endWithKey();
  if (count === 0) return;
  metrics.count("stale_running", {}, count);
  log.write(STALE_REQUESTS_ENDED, { count });
}

/** Creates a task that checks the freshness of the configuration periodically.
 * While the guard forbids serving, it ends the running requests that carry an
 * API key: an instance that is cut off from configuration updates cannot detect
 * that a key was withdrawn, so its running streams must end too. */
export function createFreshnessWatch(deps: FreshnessWatchDeps): PeriodicTask {
  return new PeriodicTask({
    clock: deps.clock,
    pause: () => FRESHNESS_CHECK_INTERVAL_MS,
    run: () => endStaleRequests(deps),
  });
}
