/** Watches how the requests in evacuated zones end.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import type { EngineTable, Evacuations } from "@banyanlb/serving";
import * as events from "./events.ts";

/** What is watched. */
export interface EvacuationProgressOptions {
  readonly engineTable: EngineTable;
  readonly evacuations: Evacuations;
  readonly log: EventLog;
}

/** The requests of this instance in evacuated zones. */
export class EvacuationProgress {
  readonly #options: EvacuationProgressOptions;
  /** Evacuated zones in which the last request has ended. */
  readonly #complete = new Set<string>();
  #runningCount = 0;

  constructor(options: EvacuationProgressOptions) {
    this.#options = options;
  }

  /** Number of requests in evacuated zones, as of the last check. */
  get runningCount(): number {
    return this.#runningCount;
  }

  /** Counts the requests, and logs zones whose last one has ended. Called a few
   * times a second. */
  check(now: number): void {
    const { engineTable, evacuations, log } = this.#options;
    this.#runningCount = 0;
    for (const zone of this.#complete) {
      if (!evacuations.isEvacuated(zone)) this.#complete.delete(zone);
    }
    if (evacuations.size === 0) return;
    const busy = new Set<string>();
    for (const { engine, inFlight } of engineTable.all()) {
      if (inFlight === 0 || !evacuations.isEvacuated(engine.zone)) continue;
      busy.add(engine.zone);
      this.#runningCount += inFlight;
    }
    for (const zone of evacuations.zones) {
      if (busy.has(zone) || this.#complete.has(zone)) continue;
      this.#complete.add(zone);
      const ms = Math.round(now - (evacuations.sinceOf(zone) ?? now));
      log.write(events.EVACUATION_COMPLETE, { zone, ms });
    }
  }
}
