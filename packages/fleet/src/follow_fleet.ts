/** Long-poll loop for the fleet object.
 *
 * @module
 */
import type { Clock, EventLog, Fleet, Metrics } from "@banyanlb/core";
import {
  COALESCE_MS_PER_MEMBER_SQUARED,
  MIN_COALESCE_MS,
  SLOTS_PER_MEMBER_SIZE,
  WATCH_RETRY_MS,
  WATCH_WAIT_MS,
} from "./constants.ts";
import { FLEET_MISSING, FLEET_WATCH_FAILED } from "./events.ts";
import type { FleetObject, StoredFleet } from "./fleet_object.ts";

/** Dependencies of the loop. */
export interface FollowOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
  /** Returns a signal whose abortion replaces the current long poll by a new
   * one. */
  readonly recheckSignal: () => AbortSignal;
  /** Returns the version that was adopted last. */
  readonly version: () => string | undefined;
  /** Called with each fleet that was read. */
  readonly adopt: (object: StoredFleet) => void;
}

/** Follows the fleet until the signal is aborted. */
export async function followFleet(
  object: FleetObject,
  options: FollowOptions,
): Promise<void> {
  const { signal } = options;
  while (!signal.aborted) {
    const recheck = options.recheckSignal();
    const result = await object.watch(options.version(), {
      wait_ms: WATCH_WAIT_MS,
      signal: AbortSignal.any([signal, recheck]),
    });
    if (signal.aborted) return;
    if (result.isErr() && recheck.aborted) continue;
    if (result.isErr()) {
      recordFailure(options, result.error.kind);
      await sleepUnlessAborted(options, WATCH_RETRY_MS);
    } else if (result.value !== undefined) {
      options.adopt(result.value);
      // Changes within this delay need one transfer of the object only.
      await sleepUnlessAborted(options, coalesceDelayMs(result.value.value));
    }
  }
}

/** Returns the delay before the next transfer. Every member reads the object,
 * whose size grows with the number of members, and some links have little
 * bandwidth. */
function coalesceDelayMs(fleet: Fleet): number {
  const members = fleet.members.length;
  const size = members + fleet.slots.length / SLOTS_PER_MEMBER_SIZE;
  const scaled_ms = members * size * COALESCE_MS_PER_MEMBER_SQUARED;
  return Math.max(MIN_COALESCE_MS, scaled_ms);
}

function recordFailure(options: FollowOptions, reason: string): void {
  const event = reason === "not_found" ? FLEET_MISSING : FLEET_WATCH_FAILED;
  options.log.write(event, { reason });
  options.metrics.count("fleet.watch_failed", { reason });
}

async function sleepUnlessAborted(
  options: FollowOptions,
  ms: number,
): Promise<void> {
  try {
    await options.clock.sleep(ms, options.signal);
  } catch {
    // Aborted: the caller checks the signal.
  }
}
