/** Detects that the event loop of this process stands still: timers run late
 * meanwhile, and what has arrived is read late.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import * as events from "./events.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** Time between checks, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Delay of a check from which it is logged, in milliseconds. */
const LOGGED_DELAY_MS = 200;

/** Measures how late a periodic timer runs. */
export class EventLoopWatch {
  readonly #log: EventLog;
  readonly #metrics: GatewayMetrics;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    { log, metrics }: {
      readonly log: EventLog;
      readonly metrics: GatewayMetrics;
    },
  ) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Starts the checks. */
  start(): void {
    let checkedAt = performance.now();
    this.#timer = setInterval(() => {
      const now = performance.now();
      const delayMs = Math.max(0, now - checkedAt - CHECK_INTERVAL_MS);
      checkedAt = now;
      this.#metrics.time("event_loop_delay_ms", "", delayMs);
      if (delayMs < LOGGED_DELAY_MS) return;
      this.#log.write(events.EVENT_LOOP_DELAYED, {
        delayMs: Math.round(delayMs),
      });
    }, CHECK_INTERVAL_MS);
  }

  /** Stops the checks. */
  close(): void {
    clearInterval(this.#timer);
  }
}
