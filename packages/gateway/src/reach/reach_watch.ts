/** Watches whether this instance reaches the engines, and tries them while it
 * does not.
 *
 * @module
 */
import { connect } from "node:net";
import type { EventLog } from "@banyanlb/core";
import {
  EngineReach,
  type EngineTable,
  type EngineView,
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

  /** Opens a connection to an engine of the service, whichever. */
  #try(service: string): void {
    const views = this.#options.engineTable.ofService(service)
      .filter(({ engine }) => !engine.leaving);
    const view = views[Math.floor(Math.random() * views.length)];
    if (view !== undefined) this.#connect(view);
  }

  #connect({ engine }: EngineView): void {
    const record = (isMade: boolean) => {
      const now = performance.now();
      this.reach.end(this.reach.expect(engine.key, engine.service, now));
      this.reach.recordConnection(engine.key, isMade, now);
    };
    const socket = connect(engine.port, engine.host);
    const timer = setTimeout(() => {
      socket.destroy();
      record(false);
    }, TRY_TIMEOUT_MS);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.destroy();
      record(true);
    });
    socket.once("error", () => {
      clearTimeout(timer);
      record(false);
    });
  }
}
