/** Ranks targets by loaded adapter versions, request rates and target load.
 *
 * @module
 */
import {
  type Clock,
  rankByRendezvous,
  type Target,
  type TargetFeedback,
  TargetPolicy,
  type TargetRequest,
} from "@banyanlb/core";
import { BoundedMap } from "./bounded_map.ts";
import {
  EVICTION_COST_MS,
  LOAD_AMORTIZATION_S,
  LOAD_COST_MS,
  LOADED_TTL_MS,
  MAX_TRACKED_PREFIXES,
  MAX_TRACKED_VERSIONS,
  NON_HOME_COST_MS,
  PREFIX_GAIN_MS,
  RATE_HALF_LIFE_MS,
  RATE_PER_HOME,
  REGION_COST_MS,
} from "./constants.ts";
import { RequestRates } from "./request_rates.ts";
import { TargetLoads } from "./target_loads.ts";

/** Options of {@linkcode AffinityPolicy}. */
export interface AffinityOptions {
  readonly clock: Clock;
  /** Region of this entry instance. */
  readonly region: string;
  /** Returns the number of entry instances over which callers spread their
   * requests. */
  readonly entryCount: () => number;
}

/** Home targets of a version, on which it is loaded if it is cold. */
interface Homes {
  readonly names: readonly string[];
  /** Cost of a load on a home, divided among the requests expected after it. */
  readonly load_cost_ms: number;
}

/** Targets in the order in which they become homes of a version. */
interface RankedHomes {
  /** The highest-ranked target of all regions. */
  readonly primary: string;
  /** Targets of this region, highest rank first. */
  readonly local: readonly string[];
}

interface Candidate {
  readonly target: Target;
  readonly cost_ms: number;
  readonly utilization: number;
}

/** Ranks targets by estimated cost in milliseconds. Targets on which the
 * version is loaded are preferred, those of this region first. A cold version,
 * which is loaded nowhere, goes to one of its homes, which rendezvous hashing
 * selects. The primary home is the same for the entry instances of all regions,
 * because a load uses more bandwidth of the weight store than a response uses
 * of the link between regions. A version with a high request rate gets further
 * homes in each region. The estimated wait at a target adds to its cost, so
 * that requests spill over to other targets.
 *
 * @example
 * ```ts
 * const policy = new AffinityPolicy({ clock, region, entryCount: () => 9 });
 * const [best] = policy.rank(request, targets);
 * policy.recordFeedback({ kind: "sent", target: best.name });
 * ```
 */
export class AffinityPolicy extends TargetPolicy {
  readonly #options: AffinityOptions;
  readonly #loads = new TargetLoads();
  readonly #rates = new RequestRates(RATE_HALF_LIFE_MS, MAX_TRACKED_VERSIONS);
  readonly #loaded_until = new BoundedMap<string, Map<string, number>>(
    MAX_TRACKED_VERSIONS,
  );
  readonly #prefix_targets = new BoundedMap<string, string>(
    MAX_TRACKED_PREFIXES,
  );
  readonly #ranked_homes = new BoundedMap<string, RankedHomes>(
    MAX_TRACKED_VERSIONS,
  );
  #ranked_targets: readonly Target[] = [];

  constructor(options: AffinityOptions) {
    super();
    this.#options = options;
  }

  override rank(
    request: TargetRequest,
    targets: readonly Target[],
  ): readonly Target[] {
    const now = this.#options.clock.now();
    const homes = this.#homesOf(request.version, targets, now);
    const active = targets.filter((target) => target.leaving !== true);
    const healthy = active.filter((target) =>
      !this.#loads.hasFailed(target.name, now)
    );
    // If all targets have failed, none is excluded: the owners, which probe
    // their targets, decide.
    return (healthy.length > 0 ? healthy : active)
      .map((target) => this.#evaluateTarget(target, { request, homes, now }))
      .sort((a, b) => a.cost_ms - b.cost_ms || a.utilization - b.utilization)
      .map((candidate) => candidate.target);
  }

  override recordFeedback(feedback: TargetFeedback): void {
    const now = this.#options.clock.now();
    this.#loads.record(feedback, now);
    const { kind, target, version, prefix_hash } = feedback;
    if (version !== undefined) this.#recordVersion(version, feedback, now);
    if (kind !== "granted" || prefix_hash === undefined) return;
    this.#prefix_targets.set(prefix_hash, target);
  }

  #recordVersion(version: string, feedback: TargetFeedback, now: number): void {
    const { kind, target, hint } = feedback;
    if (kind === "sent") this.#rates.count(version, now);
    if (kind === "granted") this.#recordLoaded(version, target, now);
    if (kind === "busy" && hint?.loaded === false) {
      this.#loaded_until.get(version)?.delete(target);
    }
  }

  #recordLoaded(version: string, target: string, now: number): void {
    const targets = this.#loaded_until.get(version) ?? new Map();
    targets.set(target, now + LOADED_TTL_MS);
    this.#loaded_until.set(version, targets);
  }

  #evaluateTarget(
    target: Target,
    context: {
      readonly request: TargetRequest;
      readonly homes: Homes;
      readonly now: number;
    },
  ): Candidate {
    const { request, homes, now } = context;
    const name = target.name;
    let cost_ms = this.#loads.estimateWaitMs(name, now);
    if (target.region !== this.#options.region) cost_ms += REGION_COST_MS;
    if (!this.#isLoaded(request.version, name, now)) {
      const is_home = homes.names.includes(name);
      cost_ms += is_home ? homes.load_cost_ms : LOAD_COST_MS + NON_HOME_COST_MS;
      if (!this.#loads.hasAvailableSlot(name, now)) cost_ms += EVICTION_COST_MS;
    }
    if (this.#hasPrefix(request, name)) cost_ms -= PREFIX_GAIN_MS;
    return {
      target,
      cost_ms,
      utilization: this.#loads.utilizationOf(name, now),
    };
  }

  #hasPrefix(request: TargetRequest, target: string): boolean {
    const prefix_hash = request.prefix_hash;
    return prefix_hash !== undefined &&
      this.#prefix_targets.get(prefix_hash) === target;
  }

  #isLoaded(
    version: string | undefined,
    target: string,
    now: number,
  ): boolean {
    if (version === undefined) return true;
    const loaded_until = this.#loaded_until.get(version)?.get(target);
    return loaded_until !== undefined && loaded_until > now;
  }

  /** Returns the version's primary home and the homes in this region, whose
   * number is proportional to the version's request rate. */
  #homesOf(
    version: string | undefined,
    targets: readonly Target[],
    now: number,
  ): Homes {
    if (version === undefined) return { names: [], load_cost_ms: 0 };
    const ranked = this.#rankHomes(version, targets);
    const rate = this.#rates.perSecond(version, now) *
      this.#options.entryCount();
    const local = ranked.local.slice(0, Math.floor(rate / RATE_PER_HOME));
    const names = [...new Set([ranked.primary, ...local])];
    const expected_requests = rate * LOAD_AMORTIZATION_S / names.length;
    return { names, load_cost_ms: LOAD_COST_MS / (1 + expected_requests) };
  }

  /** Ranks targets by rendezvous hashing. Results are cached until the list of
   * targets changes. */
  #rankHomes(version: string, targets: readonly Target[]): RankedHomes {
    if (!isSameList(targets, this.#ranked_targets)) {
      this.#ranked_homes.clear();
      this.#ranked_targets = targets;
    }
    const cached = this.#ranked_homes.get(version);
    if (cached !== undefined) return cached;
    const usable = targets.filter((target) => target.leaving !== true);
    const ranked = rankByRendezvous(usable, {
      key: version,
      name: (target) => target.name,
    });
    const homes: RankedHomes = {
      primary: ranked[0]?.name ?? "",
      local: ranked
        .filter((target) => target.region === this.#options.region)
        .map((target) => target.name),
    };
    this.#ranked_homes.set(version, homes);
    return homes;
  }
}

/** True if two lists have the same elements. Lists cannot be compared by
 * identity, because callers filter the targets for each request. */
function isSameList<T>(a: readonly T[], b: readonly T[]): boolean {
  return a.length === b.length && a.every((row, i) => row === b[i]);
}
