/** Heeds the limits of engines on behalf of requests, and logs them.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import type { EngineLimits } from "@banyanlb/serving";
import type { EngineWarmUp } from "./engine_warm_up.ts";
import { retryAfterSeconds } from "./error_response.ts";
import * as events from "./events.ts";

/** Longest time after which a caller retries that was refused because of the
 * limits of engines, in seconds. */
const WAIT_MAX_SECONDS = 5;

/** Maximum number of engines in the log line of such a refusal. */
const LOGGED_ENGINES_MAX = 16;

/** Parts of the gateway that the keeper uses. */
export interface LimitKeeperOptions {
  readonly limits: EngineLimits;
  readonly warmUp?: EngineWarmUp;
  readonly log: EventLog;
}

/** Records the limits in responses, and counts requests against them. */
export class LimitKeeper {
  readonly #options: LimitKeeperOptions;

  constructor(options: LimitKeeperOptions) {
    this.#options = options;
  }

  /** Counts a request that is about to be sent to an engine. Returns false if it
   * must not be sent. */
  tryTake(engineKey: string): boolean {
    return this.#options.limits.tryTake(engineKey, performance.now());
  }

  /** Records the limit in an engine's response to a request, or that it names
   * none. */
  record(
    engineKey: string,
    limit: number | undefined,
    requestId: string | undefined,
  ): void {
    const { limits, log } = this.#options;
    const now = performance.now();
    const before = limits.stateOf(engineKey, now)?.limit;
    if (!limits.record(engineKey, limit, now)) return;
    log.write(events.ENGINE_LIMIT_CHANGED, {
      id: requestId,
      engine: engineKey,
      limit,
      before,
      share: limits.stateOf(engineKey, now)?.share,
    });
  }

  /** Records that an engine asked for a pause in its response to a request. */
  recordPause(
    engineKey: string,
    pauseMs: number,
    requestId: string | undefined,
  ): void {
    const { limits, log } = this.#options;
    if (!limits.recordPause(engineKey, pauseMs, performance.now())) return;
    log.write(events.ENGINE_PAUSED, {
      id: requestId,
      engine: engineKey,
      pauseMs: Math.round(pauseMs),
    });
  }

  /** Records how many requests an engine may turn away in a second, as its response
   * to a request says, or that it is not brittle. */
  recordBrittle(
    engineKey: string,
    refusalsMax: number | undefined,
    { wasTurnedAway, requestId }: {
      readonly wasTurnedAway: boolean;
      readonly requestId: string | undefined;
    },
  ): void {
    const { limits, log } = this.#options;
    const now = performance.now();
    const options = { wasTurnedAway, now };
    if (!limits.recordBrittle(engineKey, refusalsMax, options)) return;
    log.write(events.ENGINE_BRITTLE_CHANGED, {
      id: requestId,
      engine: engineKey,
      refusalsMax,
    });
  }

  /** Records that an engine said in a response for how long it stays cold. */
  recordColdTime(engineKey: string, leftMs: number): void {
    this.#options.warmUp?.recordTold(engineKey, leftMs);
  }

  /** When a caller should retry that was refused because the limits of these
   * engines are reached, in seconds; logs the limits. */
  waitSeconds(
    engineKeys: readonly string[],
    requestId: string | undefined,
  ): number {
    const { limits, warmUp, log } = this.#options;
    const now = performance.now();
    log.write(events.ENGINE_LIMITS_REACHED, {
      id: requestId,
      engines: engineKeys.slice(0, LOGGED_ENGINES_MAX).map((engine) => ({
        engine,
        pauseMs: Math.round(limits.pauseLeftMs(engine, now)) || undefined,
        coldMs: Math.round(warmUp?.warmUps.leftMs(engine, now) ?? 0) ||
          undefined,
        ...limits.stateOf(engine, now),
      })),
    });
    // Another instance may have a share where this one has none.
    const waitMs = limits.waitMs(engineKeys, now) ?? 0;
    return Math.min(
      WAIT_MAX_SECONDS,
      Math.max(retryAfterSeconds(), waitMs / 1000),
    );
  }
}
