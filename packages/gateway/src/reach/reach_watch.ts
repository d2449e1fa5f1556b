/** Watches whether this instance reaches the engines, and tries them while it
 * does not.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  type EngineControl,
  EngineReach,
  type EngineTable,
  type ReachChange,
} from "@banyanlb/serving";
import * as events from "../events.ts";

/** Longest time between two checks for which engines that were not heard of count
 * as silent, in milliseconds: after a longer one the process stood still. */
const CHECK_GAP_MAX_MS = 450;

/** Time between two tries while there is no path, and how long one may take, in
 * milliseconds: new connections are expensive. */
const TRY_INTERVAL_MS = 400;
const TRY_TIMEOUT_MS = 700;

/** Parts of the gateway that the watch uses. */
export interface ReachWatchOptions {
  readonly engineTable: EngineTable;
  readonly control: Pick<EngineControl, "answersAnew">;
  /** Called when engines of a service are reached again, or no longer. */
  readonly onChange: (change: ReachChange) => void;
  readonly log: EventLog;
}

/** Which engines this instance reaches. */
export class ReachWatch {
  readonly reach = new EngineReach();
  readonly #options: ReachWatchOptions;
  #checkedAt = -Infinity;
  #triedAt = -Infinity;
  #tries = 0;

  constructor(options: ReachWatchOptions) {
    this.#options = options;
  }

  /** Decides again which services' engines are reached. Called a few times a
   * second. */
  check(now: number): void {
    const gapMs = now - this.#checkedAt;
    this.#checkedAt = now;
    // After timers, what has arrived is read first.
    if (gapMs < CHECK_GAP_MAX_MS) setImmediate(() => this.#update());
    if (!this.reach.isCutOff || now - this.#triedAt < TRY_INTERVAL_MS) return;
    this.#triedAt = now;
    for (const service of this.reach.cutServices) this.#try(service);
  }

  #update(): void {
    for (const change of this.reach.update(performance.now())) {
      this.#options.log.write(
        change.isCut ? events.ENGINES_OUT_OF_REACH : events.ENGINES_IN_REACH,
        {
          service: change.service,
          blocked: change.blocked,
          open: change.openCount,
        },
      );
      this.#options.onChange(change);
    }
  }

  /** Asks the next engine of the service that has not answered lately on a new
   * connection. */
  #try(service: string): void {
    const { engineTable, control } = this.#options;
    const now = performance.now();
    const views = engineTable.ofService(service).filter(({ engine }) =>
      !engine.leaving && !this.reach.hasAnswered(engine.key, service, now)
    );
    this.#tries += 1;
    const view = views[this.#tries % Math.max(1, views.length)];
    if (view === undefined) return;
    const { engine } = view;
    void control.answersAnew(engine, TRY_TIMEOUT_MS).then((isAnswered) => {
      if (!isAnswered) return;
      this.reach.recordTry(engine.key, service, performance.now());
    });
  }
}
