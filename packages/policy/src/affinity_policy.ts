/** Chooses targets by where a version is loaded, its popularity and load.
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
  PREFIX_GAIN_MS,
  RATE_HALF_LIFE_MS,
  RATE_PER_HOME,
  REGION_COST_MS,
  STRAY_COST_MS,
} from "./constants.ts";
import { RequestRates } from "./request_rates.ts";
import { TargetLoads } from "./target_load.ts";

/** What an affinity policy needs from its surroundings. */
export interface AffinityOptions {
  readonly clock: Clock;
  /** Region of this entry. */
  readonly region: string;
  /** Entries among which the callers spread their requests. */
  readonly entries: () => number;
}

/** Where a cold version is loaded. */
interface Homes {
  readonly names: readonly string[];
  /** Cost of a load there, spread over the requests expected after it. */
  readonly load_cost_ms: number;
}

/** Targets of a version in the order in which they become homes. */
interface RankedHomes {
  /** The first of all regions. */
  readonly first: string;
  /** Those of this region. */
  readonly local: readonly string[];
}

interface Candidate {
  readonly target: Target;
  readonly cost: number;
  readonly fill: number;
}

/** Prefers targets where the version is loaded, those of its own region first.
 * A cold version is loaded on its homes by rendezvous hashing. The first home
 * is the same for the entries of all regions, since a load takes more of the
 * weight store than an answer takes of the link between regions; a version
 * with many requests gets homes in each region. A target's estimated wait
 * counts against it, so that requests spill.
 *
 * @example
 * ```ts
 * const policy = new AffinityPolicy({ clock, region, entries: () => 9 });
 * const [best] = policy.rank(request, targets);
 * policy.note({ kind: "sent", target: best.name });
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
  readonly #homes = new BoundedMap<string, RankedHomes>(MAX_TRACKED_VERSIONS);
  #homes_of: readonly Target[] = [];

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
    const live = targets.filter((target) => target.leaving !== true);
    const sound = live.filter((target) =>
      !this.#loads.hasFailed(target.name, now)
    );
    // With all of them failing, the owners' own probes decide.
    return (sound.length > 0 ? sound : live)
      .map((target) => this.#weigh(target, { request, homes, now }))
      .sort((a, b) => a.cost - b.cost || a.fill - b.fill)
      .map((candidate) => candidate.target);
  }

  override recordFeedback(feedback: TargetFeedback): void {
    const now = this.#options.clock.now();
    this.#loads.note(feedback, now);
    const { kind, target, version, prefix_hash } = feedback;
    if (version !== undefined) this.#noteVersion(version, feedback, now);
    if (kind !== "granted" || prefix_hash === undefined) return;
    this.#prefix_targets.set(prefix_hash, target);
  }

  #noteVersion(version: string, feedback: TargetFeedback, now: number): void {
    const { kind, target, hint } = feedback;
    if (kind === "sent") this.#rates.count(version, now);
    if (kind === "granted") this.#setLoaded(version, target, now);
    if (kind === "busy" && hint?.loaded === false) {
      this.#loaded_until.get(version)?.delete(target);
    }
  }

  #setLoaded(version: string, target: string, now: number): void {
    const targets = this.#loaded_until.get(version) ?? new Map();
    targets.set(target, now + LOADED_TTL_MS);
    this.#loaded_until.set(version, targets);
  }

  #weigh(
    target: Target,
    context: {
      readonly request: TargetRequest;
      readonly homes: Homes;
      readonly now: number;
    },
  ): Candidate {
    const { request, homes, now } = context;
    const name = target.name;
    let cost = this.#loads.waitAt(name, now);
    if (target.region !== this.#options.region) cost += REGION_COST_MS;
    if (!this.#isLoaded(request.version, name, now)) {
      const is_home = homes.names.includes(name);
      cost += is_home ? homes.load_cost_ms : LOAD_COST_MS + STRAY_COST_MS;
      if (!this.#loads.hasRoom(name, now)) cost += EVICTION_COST_MS;
    }
    if (this.#hasPrefix(request, name)) cost -= PREFIX_GAIN_MS;
    return { target, cost, fill: this.#loads.fillAt(name, now) };
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
    const until = this.#loaded_until.get(version)?.get(target);
    return until !== undefined && until > now;
  }

  /** The version's homes: one of the whole fleet, and as many in this region
   * as its rate asks for. */
  #homesOf(
    version: string | undefined,
    targets: readonly Target[],
    now: number,
  ): Homes {
    if (version === undefined) return { names: [], load_cost_ms: 0 };
    const ranked = this.#rankHomes(version, targets);
    const rate = this.#rates.perSecond(version, now) * this.#options.entries();
    const local = ranked.local.slice(0, Math.floor(rate / RATE_PER_HOME));
    const names = [...new Set([ranked.first, ...local])];
    const expected = rate * LOAD_AMORTIZATION_S / names.length;
    return { names, load_cost_ms: LOAD_COST_MS / (1 + expected) };
  }

  /** Targets by rendezvous hashing, kept until the list of targets is
   * replaced. */
  #rankHomes(version: string, targets: readonly Target[]): RankedHomes {
    if (!isSameList(targets, this.#homes_of)) {
      this.#homes.clear();
      this.#homes_of = targets;
    }
    const known = this.#homes.get(version);
    if (known !== undefined) return known;
    const usable = targets.filter((target) => target.leaving !== true);
    const ranked = rankByRendezvous(usable, {
      key: version,
      name: (target) => target.name,
    });
    const homes: RankedHomes = {
      first: ranked[0]?.name ?? "",
      local: ranked
        .filter((target) => target.region === this.#options.region)
        .map((target) => target.name),
    };
    this.#homes.set(version, homes);
    return homes;
  }
}

/** True if two lists have the same elements; callers filter the list of
 * targets anew for each request. */
function isSameList<T>(a: readonly T[], b: readonly T[]): boolean {
  return a.length === b.length && a.every((row, i) => row === b[i]);
}
