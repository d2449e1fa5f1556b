/** Notices that engines crash, and collects what they were running.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import type {
  EngineControl,
  EngineView,
  PartQuarantine,
  SharedParts,
} from "@banyanlb/serving";
import * as events from "./events.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** How long requests that break off are counted as those of one crash, in
 * milliseconds. */
const CRASH_MS = 1000;

/** Time from the first broken request to the log line, in milliseconds. */
const LOG_DELAY_MS = 150;

/** Maximum number of requests in the log line of a crash. */
const LOGGED_REQUESTS_MAX = 40;

/** A request that an engine broke off. */
export interface CutRequest {
  readonly id: string | undefined;
  readonly parts: SharedParts;
  /** Whether its answer had not got past its beginning. */
  readonly isSuspect: boolean;
}

/** Parts of the gateway that the watch uses. */
export interface CrashWatchOptions {
  readonly quarantine: PartQuarantine;
  readonly control: Pick<EngineControl, "probe">;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

interface PossibleCrash {
  readonly startedAt: number;
  readonly requests: CutRequest[];
  isConfirmed: boolean;
}

/** Tells crashes of engines from single connections that break off, and records
 * the suspects of each crash. */
export class CrashWatch {
  readonly #options: CrashWatchOptions;
  readonly #crashes = new Map<string, PossibleCrash>();

  constructor(options: CrashWatchOptions) {
    this.#options = options;
  }

  /** Records that an engine broke off a request that it may have begun. The
   * first one starts a probe of the engine. */
  recordCut(view: EngineView, request: CutRequest): void {
    // A leaving engine ends with what it still runs.
    if (view.engine.leaving) return;
    const now = performance.now();
    const { key } = view.engine;
    let crash = this.#crashes.get(key);
    if (crash === undefined || now - crash.startedAt > CRASH_MS) {
      crash = { startedAt: now, requests: [], isConfirmed: false };
      this.#crashes.set(key, crash);
      void this.#confirm(view, crash);
    }
    crash.requests.push(request);
    if (crash.isConfirmed && request.isSuspect) this.#recordCrash(key, crash);
  }

  async #confirm(view: EngineView, crash: PossibleCrash): Promise<void> {
    const { control, log, metrics } = this.#options;
    const { key } = view.engine;
    const probe = await control.probe(view.engine);
    metrics.add("engine_crashes_total", `probe="${probe}"`);
    if (probe === "ended") {
      crash.isConfirmed = true;
      this.#recordCrash(key, crash);
    }
    await new Promise((resolve) => setTimeout(resolve, LOG_DELAY_MS).unref());
    if (crash.isConfirmed) log.write(events.ENGINE_CRASHED, this.#fields(key));
    await new Promise((resolve) => setTimeout(resolve, CRASH_MS).unref());
    if (this.#crashes.get(key) === crash) this.#crashes.delete(key);
  }

  #recordCrash(key: string, crash: PossibleCrash): void {
    const suspects = crash.requests.filter(({ isSuspect }) => isSuspect);
    this.#options.quarantine.recordCrash(
      key,
      suspects.map(({ parts }) => parts),
      crash.startedAt,
    );
  }

  /** The requests that ran on the engine, and what was believed of the parts of
   * the suspects: crashes, answers, and whether the part was held. */
  #fields(key: string): Readonly<Record<string, unknown>> {
    const requests = this.#crashes.get(key)?.requests ?? [];
    const suspects = requests.filter(({ isSuspect }) => isSuspect);
    const beliefs = new Map(
      suspects.flatMap(({ parts }) => parts).map((part) => {
        const { crashes, answers, isHeld } = this.#options.quarantine.beliefOn(
          part,
        );
        return [part, `${crashes}/${answers}${isHeld ? " held" : ""}`];
      }),
    );
    return {
      engine: key,
      cut: requests.length,
      suspects: suspects.slice(0, LOGGED_REQUESTS_MAX).map((request) => ({
        id: request.id,
        parts: request.parts.map((part) => `${part} ${beliefs.get(part)}`),
      })),
      others: requests.filter(({ isSuspect }) => !isSuspect)
        .slice(0, LOGGED_REQUESTS_MAX).map(({ id }) => id),
    };
  }
}
