/** Expects how busy engines are at present, from reports that are a little old.
 *
 * What an instance knows exactly are its own requests. The others' were counted
 * some time ago: since then some have ended, and the other instances have sent
 * new ones. The part that has been replaced is not known to be where it was, but
 * will have been distributed over the same engines.
 *
 * @module
 */
import type { EngineView } from "../engine_table.ts";
import { RecentSends } from "./recent_sends.ts";

/** How long a request stays at an engine before the first has ended, in
 * milliseconds. */
const USUAL_STAY_MS = 500;

/** Weight of one request in the mean stay. */
const STAY_WEIGHT = 0.05;

/** Which requests compete for the same engines. */
export interface RequestKind {
  readonly service: string;
  readonly adapter: string | undefined;
}

/** The load of some engines. */
export interface Forecast {
  /** Requests that have stayed, by engine. */
  readonly kept: ReadonlyMap<EngineView, number>;
  /** Requests of other instances that have come since the reports and are at one
   * of the engines. */
  readonly arrivals: number;
}

/** Forecasts the load of engines. */
export class LoadForecast {
  readonly #sample: () => number;
  readonly #sends = new RecentSends();
  /** Mean time for which a request stays, by service. */
  readonly #stays = new Map<string, number>();

  /** `sample` gives random numbers in [0, 1). */
  constructor(sample: () => number = Math.random) {
    this.#sample = sample;
  }

  /** A random number in [0, 1). */
  sample(): number {
    return this.#sample();
  }

  /** Records that a request is sent. */
  recordSend(kind: RequestKind, now: number): void {
    this.#sends.record(kind.service, now);
    this.#sends.record(nameOf(kind), now);
  }

  /** Records that a request has ended that was at an engine for `ms`. */
  recordEnd(service: string, ms: number): void {
    const before = this.#stays.get(service);
    this.#stays.set(
      service,
      before === undefined ? ms : before + (ms - before) * STAY_WEIGHT,
    );
  }

  /** The load of the engines among which a request of this kind is to be
   * distributed. `serviceViews` are all engines of the service.
   *
   * @example
   * ```ts
   * forecast.of(holders, { service, adapter, serviceViews }, now).arrivals;
   * ```
   */
  of(
    views: readonly EngineView[],
    kind: RequestKind & { readonly serviceViews: readonly EngineView[] },
    now: number,
  ): Forecast {
    const stayMs = this.#stays.get(kind.service) ?? USUAL_STAY_MS;
    // As many arrive as end, since the loads change slowly.
    let othersOfService = 0;
    for (const view of kind.serviceViews) {
      othersOfService += view.othersLoad(now);
    }
    const others = othersOfService * this.#partOf(kind, now);
    const kept = new Map<EngineView, number>();
    let ended = 0;
    for (const view of views) {
      ended += view.othersLoad(now) *
        endedPart(view.othersAgeMs(now), stayMs);
    }
    const ageMs = views[0]?.othersAgeMs(now) ?? Infinity;
    const arrivals = others * endedPart(ageMs, stayMs);
    // Requests that others send for other reasons come back to where they were.
    const movable = ended > arrivals ? arrivals / ended : 1;
    for (const view of views) {
      const load = view.othersLoad(now);
      const part = endedPart(view.othersAgeMs(now), stayMs) * movable;
      kept.set(view, view.inFlight + load * (1 - part));
    }
    return { kept, arrivals };
  }

  /** Part of the service's requests that are of this kind, by those that were sent
   * here and the one that is to be sent. */
  #partOf(kind: RequestKind, now: number): number {
    return (1 + this.#sends.countOf(nameOf(kind), now)) /
      (1 + this.#sends.countOf(kind.service, now));
  }
}

function nameOf({ service, adapter }: RequestKind): string {
  return `${service} ${adapter ?? ""}`;
}

/** Part of the requests that have ended after some time. */
function endedPart(ageMs: number, stayMs: number): number {
  return 1 - Math.exp(-Math.max(0, ageMs) / Math.max(1, stayMs));
}
