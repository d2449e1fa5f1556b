/** What a run of the simulated fleet takes and returns.
 *
 * @module
 */
import type { RateLimit } from "../token_rate.ts";
import type { Callers } from "./fleet_parts.ts";
import type { InstanceId } from "./simulated_instance.ts";

/** A report on its way. `random` is evenly distributed in [0, 1). */
export interface Link {
  readonly from: InstanceId;
  readonly to: InstanceId;
  readonly now: number;
  readonly random: number;
}

/** End of a process. Another one starts at `startsAt`, and sends its first
 * reports at `reportsAt`. Times are multiples of 10 ms. */
export interface Restart {
  readonly instance: InstanceId;
  readonly endsAt: number;
  readonly startsAt: number;
  readonly reportsAt: number;
}

/** A run of the fleet. Requests begin at 0. */
export interface FleetOptions {
  readonly instances: number;
  readonly limit: RateLimit;
  /** What callers ask for, as a multiple of the limit. */
  readonly demand: number;
  readonly callers: Callers;
  readonly durationMs: number;
  readonly seed: number;
  /** Delay in addition to that of the network, in milliseconds; undefined if
   * the report is lost. */
  readonly delayMs?: (link: Link) => number | undefined;
  readonly restarts?: readonly Restart[];
  /** Two instances that do not know each other until `untilMs`. */
  readonly strangers?: {
    readonly pair: readonly [InstanceId, InstanceId];
    readonly untilMs: number;
  };
  /** Fraction of the admitted requests that do not run, and are refunded
   * `refundAfterMs` later. */
  readonly refundedFraction?: number;
  readonly refundAfterMs?: number;
  /** Since when admitted units and refusals count in the sums. */
  readonly measuredFromMs?: number;
}

/** What the fleet did. Refunded units do not count. */
export interface FleetResult {
  /** The most units that ran of those admitted within any window. */
  readonly maxInWindow: number;
  /** When that window begins. */
  readonly maxWindowAt: number;
  /** Units admitted, and as a fraction of what the limit allows. */
  readonly admitted: number;
  readonly usedFraction: number;
  readonly requests: number;
  /** Requests refused although the whole fleet was within its limit. */
  readonly needlesslyRefused: number;
}
