/** Notices that engines crash, and collects what they were running.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  type EngineControl,
  type EngineView,
  isRequestKey,
  type Quarantine,
  selectSuspects,
  type Suspects,
} from "@banyanlb/serving";
import * as events from "../events.ts";
import type { GatewayMetrics } from "../metrics.ts";

/** How long requests that break off are counted as those of one crash, in
 * milliseconds. */
const CRASH_MS = 1000;

/** How long an engine that did not answer the probe may stay in the engine list
 * until its crash is no longer confirmed, in milliseconds: engines that have
 * ended are removed within a few heartbeats. */
const LIST_CONFIRMS_MS = 10_000;

/** Time from the first broken request to the log line, in milliseconds. */
const LOG_DELAY_MS = 150;

/** Maximum number of requests in the log line of a crash. */
const LOGGED_REQUESTS_MAX = 40;

/** A request that an engine broke off. */
export interface CutRequest {
  readonly id: string | undefined;
  readonly suspects: Suspects;
  /** Whether its answer had not got past its beginning. */
  readonly isSuspect: boolean;
}

/** Parts of the gateway that the watch uses. */
export interface CrashWatchOptions {
  readonly quarantine: Quarantine;
  readonly control: Pick<EngineControl, "probe">;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

interface PossibleCrash {
  readonly startedAt: number;
  readonly requests: CutRequest[];
  isConfirmed: boolean;
  /** Whether the probe showed that the engine still runs. */
  isRuledOut: boolean;
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
    if (crash === undefined || this.#isOver(crash, now)) {
      crash = {
        startedAt: now,
        requests: [],
        isConfirmed: false,
        isRuledOut: false,
      };
      this.#crashes.set(key, crash);
      void this.#probe(view, crash);
    }
    crash.requests.push(request);
    if (crash.isConfirmed && request.isSuspect) this.#recordCrash(key, crash);
  }

  /** Whether a request that breaks off now belongs to another crash. As long as it
   * is open whether the engine has ended, the first requests must not be lost. */
  #isOver({ startedAt, isConfirmed, isRuledOut }: PossibleCrash, now: number) {
    const isOpen = !isConfirmed && !isRuledOut;
    return now - startedAt > (isOpen ? LIST_CONFIRMS_MS : CRASH_MS);
  }

  /** Confirms the crashes of engines that have left the list since. A proxy
   * before an engine may accept connections although the engine has ended. */
  recordEngineList(isListed: (engineKey: string) => boolean): void {
    const now = performance.now();
    for (const [key, crash] of this.#crashes) {
      if (now - crash.startedAt > LIST_CONFIRMS_MS) this.#crashes.delete(key);
      else if (!crash.isConfirmed && !crash.isRuledOut && !isListed(key)) {
        this.#confirm(key, crash);
      }
    }
  }

  /** Confirms the crash of an engine of which a peer has shown it: the peer waits
   * for the suspects of all. */
  recordPeerCrash(engineKey: string): void {
    const crash = this.#crashes.get(engineKey);
    if (crash !== undefined && !crash.isRuledOut) {
      this.#confirm(engineKey, crash);
    }
  }

  /** Whether an engine broke requests off without a crash. */
  isRuledOut(engineKey: string): boolean {
    return this.#crashes.get(engineKey)?.isRuledOut === true;
  }

  async #probe(view: EngineView, crash: PossibleCrash): Promise<void> {
    const { control, metrics } = this.#options;
    const probe = await control.probe(view.engine);
    metrics.add("engine_crashes_total", `probe="${probe}"`);
    crash.isRuledOut = probe === "running";
    if (probe === "ended") this.#confirm(view.engine.key, crash);
  }

  #confirm(key: string, crash: PossibleCrash): void {
    if (crash.isConfirmed) return;
    crash.isConfirmed = true;
    this.#recordCrash(key, crash);
    setTimeout(() => {
      this.#options.log.write(events.ENGINE_CRASHED, this.#fields(key, crash));
    }, LOG_DELAY_MS).unref();
  }

  #recordCrash(key: string, crash: PossibleCrash): void {
    const suspects = crash.requests.filter(({ isSuspect }) => isSuspect);
    this.#options.quarantine.recordCrash(
      key,
      suspects.map((request) => request.suspects),
      { at: crash.startedAt, now: performance.now() },
    );
  }

  /** The requests that ran on the engine, and what was believed of the
   * suspects: crashes, answers, and whether they were held. */
  #fields(
    key: string,
    { requests }: PossibleCrash,
  ): Readonly<Record<string, unknown>> {
    const { quarantine } = this.#options;
    const believe = (suspect: string) =>
      `${suspect} ${describeBelief(quarantine.beliefOn(suspect))}`;
    return {
      engine: key,
      cut: requests.length,
      suspects: requests.filter(({ isSuspect }) => isSuspect)
        .slice(0, LOGGED_REQUESTS_MAX).map(({ id, suspects }) => {
          const parts = suspects.filter((suspect) => !isRequestKey(suspect));
          return {
            id,
            partCount: parts.length,
            parts: selectSuspects(parts, {
              count: events.LOGGED_PARTS_MAX,
              rank: (part) => -quarantine.beliefOn(part).crashes,
            }).map(believe),
            request: suspects.filter(isRequestKey).map(believe).at(0),
          };
        }),
      others: requests.filter(({ isSuspect }) => !isSuspect)
        .slice(0, LOGGED_REQUESTS_MAX).map(({ id }) => id),
    };
  }
}

function describeBelief(
  { crashes, answers, isHeld }: ReturnType<Quarantine["beliefOn"]>,
): string {
  return `${crashes}/${answers}${isHeld ? " held" : ""}`;
}
