/** Generates the arrivals of a run from a seed. Adapters have skewed popularity
 * that shifts during the run, a few workspaces are large, one of them also runs
 * an overnight batch, and in the end exceeds its rate.
 *
 * @module
 */
import type { Deployment, PlannedRoute } from "@banyanlb/standins";
import { createRandom } from "../harness/random.ts";
import {
  BATCH_MAX_TOKENS,
  BATCH_ROUTES,
  BATCH_SHARE,
  FIRST_REGION_SHARE,
  FLOOD_FACTOR,
  INTERACTIVE_MAX_TOKENS,
  MEAN_REQUEST_TOKENS,
  POPULARITY_SHIFTS,
  REQUESTS_PER_S_PER_ENGINE,
  SHIFT_SHARE,
  WARM_UP_LOAD_SHARE,
  WARM_UP_MS,
  ZIPF_EXPONENT,
} from "./constants.ts";
import { shuffle, ZipfPicker } from "./zipf.ts";

/** Phase of a run. `warm_up`: the most popular adapters are requested once;
 * `flood`: one workspace sends several times its rate. */
export type Phase = "warm_up" | "normal" | "flood";

/** One request to send. */
export interface Arrival {
  readonly id: number;
  /** Milliseconds after the run's start. */
  readonly at_ms: number;
  readonly phase: Phase;
  readonly workspace: string;
  readonly route: string;
  readonly version: string;
  readonly class: "interactive" | "batch";
  readonly region: string;
  readonly prompt: string;
  readonly max_tokens: number;
}

/** Options of a run's arrivals. */
export interface WorkloadOptions {
  readonly deployment: Deployment;
  readonly routes: readonly PlannedRoute[];
  readonly engines: number;
  readonly seed: number;
  /** Length of the run, including its warm-up. */
  readonly duration_ms: number;
  /** Milliseconds from the start of the run to the flood. */
  readonly flood_at_ms: number;
}

const MS_PER_S = 1_000;
const PREFIX_REPEATS = 24;
const PREFIX_CHARS = 512;

/** The workspace that sends several times its rate: the largest one. */
export function floodingWorkspace(deployment: Deployment): string {
  const rows = [...deployment.workspaces]
    .sort((a, b) => b.rate_tokens_per_s - a.rate_tokens_per_s);
  return rows[0]?.name ?? "";
}

interface RankedRoute {
  readonly route: PlannedRoute;
  readonly probability: number;
}

/** Popularity of one workspace's routes, which shifts during the run. */
class Popularity {
  readonly #ranked_routes: PlannedRoute[];
  readonly #picker: ZipfPicker;
  readonly #random: () => number;
  readonly #shift_ms: number;
  #shifts = 0;

  constructor(
    routes: readonly PlannedRoute[],
    options: { readonly random: () => number; readonly shift_ms: number },
  ) {
    this.#random = options.random;
    this.#shift_ms = options.shift_ms;
    this.#ranked_routes = shuffle(routes, options.random);
    this.#picker = new ZipfPicker(routes.length, ZIPF_EXPONENT);
  }

  /** The most popular routes with their probabilities. */
  mostPopular(count: number): readonly RankedRoute[] {
    return this.#ranked_routes.slice(0, count).map((route, rank) => ({
      route,
      probability: this.#picker.probability(rank),
    }));
  }

  pick(at_ms: number): PlannedRoute {
    while (Math.floor(at_ms / this.#shift_ms) > this.#shifts) this.#shift();
    const route = this.#ranked_routes[this.#picker.pick(this.#random())];
    if (route === undefined) throw new Error("a workspace has no routes");
    return route;
  }

  /** Exchanges the ranks of `SHIFT_SHARE` of the routes, mostly popular ones,
   * with those of randomly chosen routes. */
  #shift(): void {
    this.#shifts += 1;
    const routes = this.#ranked_routes;
    for (let i = 0; i < routes.length * SHIFT_SHARE; i++) {
      const a = Math.floor(this.#random() ** 2 * routes.length);
      const b = Math.floor(this.#random() * routes.length);
      [routes[a], routes[b]] = [routes[b]!, routes[a]!];
    }
  }
}

/** A source of arrivals with exponentially distributed gaps. */
interface ArrivalStream {
  readonly workspace: string;
  readonly class: "interactive" | "batch";
  readonly phase: Phase;
  readonly per_s: number;
  readonly from_ms: number;
  readonly until_ms: number;
  readonly popularity: Popularity;
}

/** Generates all arrivals of a run in order of time.
 *
 * @example
 * ```ts
 * const arrivals = makeArrivals({ ...options, seed: 1, duration_ms: 30_000 });
 * ```
 */
export function makeArrivals(options: WorkloadOptions): readonly Arrival[] {
  const random = createRandom(options.seed);
  const regions = [
    ...new Set(
      options.deployment.domains.filter((d) => d.clients).map((d) => d.region),
    ),
  ];
  const streams = planStreams(options, random);
  const warm_up = drawWarmUp(streams, { ...options, random, regions });
  const measured = streams
    .flatMap((stream) => drawArrivals(stream, { random, regions }));
  const rows = [...warm_up, ...measured]
    .sort((a, b) => a.at_ms - b.at_ms);
  return rows.map((row, id) => ({ ...row, id }));
}

function planStreams(
  options: WorkloadOptions,
  random: () => number,
): readonly ArrivalStream[] {
  const { deployment, engines, duration_ms, flood_at_ms, routes } = options;
  const { workspaces } = deployment;
  const total_tokens_per_s = workspaces.reduce(
    (sum, w) => sum + w.rate_tokens_per_s,
    0,
  );
  const shift_ms = duration_ms / POPULARITY_SHIFTS;
  const flooding = floodingWorkspace(deployment);
  const per_s = engines * REQUESTS_PER_S_PER_ENGINE;
  return workspaces.flatMap((workspace): readonly ArrivalStream[] => {
    const workspace_routes = routes.filter((r) =>
      r.workspace === workspace.name
    );
    const interactive_routes = workspace_routes.filter((r) =>
      r.class === "interactive"
    );
    const popularity = new Popularity(interactive_routes, { random, shift_ms });
    const share = workspace.rate_tokens_per_s / total_tokens_per_s;
    const common = {
      workspace: workspace.name,
      class: "interactive" as const,
      popularity,
    };
    const normal: ArrivalStream = {
      ...common,
      phase: "normal",
      per_s: per_s * share,
      from_ms: WARM_UP_MS,
      until_ms: flood_at_ms,
    };
    const is_flooding = workspace.name === flooding;
    const limit_per_s = workspace.rate_tokens_per_s / MEAN_REQUEST_TOKENS;
    const flood: ArrivalStream = {
      ...normal,
      phase: "flood",
      per_s: is_flooding ? FLOOD_FACTOR * limit_per_s : normal.per_s,
      from_ms: flood_at_ms,
      until_ms: duration_ms,
    };
    if (!is_flooding) return [normal, flood];
    const batch_routes = workspace_routes.filter((r) => r.class === "batch")
      .slice(0, BATCH_ROUTES);
    const batch: ArrivalStream = {
      ...normal,
      class: "batch",
      per_s: per_s * BATCH_SHARE,
      popularity: new Popularity(batch_routes, { random, shift_ms }),
    };
    return [normal, batch, flood];
  });
}

type UnnumberedArrival = Omit<Arrival, "id">;

interface DrawOptions {
  readonly random: () => number;
  readonly regions: readonly string[];
}

/** Generates one request for each of the most popular adapters, in order of
 * increasing popularity, so that the most popular one is used most recently. */
function drawWarmUp(
  streams: readonly ArrivalStream[],
  options: WorkloadOptions & DrawOptions,
): readonly UnnumberedArrival[] {
  const { loads_per_s } = options.deployment.weights;
  const gap_ms = MS_PER_S / (loads_per_s * WARM_UP_LOAD_SHARE);
  const count = Math.floor(WARM_UP_MS / gap_ms);
  return streams.filter((stream) => stream.phase === "normal")
    .flatMap((stream) =>
      stream.popularity.mostPopular(count).map(({ route, probability }) => ({
        stream,
        route,
        weight: probability * stream.per_s,
      }))
    )
    .sort((a, b) => b.weight - a.weight)
    .slice(0, count)
    .reverse()
    .map(({ stream, route }, i) =>
      makeArrival({ ...stream, phase: "warm_up" }, route, {
        ...options,
        at_ms: i * gap_ms,
      })
    );
}

function drawArrivals(
  stream: ArrivalStream,
  options: DrawOptions,
): readonly UnnumberedArrival[] {
  const { random } = options;
  const rows: UnnumberedArrival[] = [];
  let at_ms = stream.from_ms;
  for (;;) {
    at_ms += -Math.log(1 - random()) * MS_PER_S / stream.per_s;
    if (at_ms >= stream.until_ms) return rows;
    const route = stream.popularity.pick(at_ms);
    rows.push(makeArrival(stream, route, { ...options, at_ms }));
  }
}

function makeArrival(
  stream: ArrivalStream,
  route: PlannedRoute,
  options: DrawOptions & { readonly at_ms: number },
): UnnumberedArrival {
  const { random, regions, at_ms } = options;
  const is_first = random() < FIRST_REGION_SHARE;
  return {
    at_ms,
    phase: stream.phase,
    workspace: stream.workspace,
    class: stream.class,
    route: route.route,
    version: route.version,
    region: (is_first ? regions[0] : regions.at(-1)) ?? "",
    prompt: makePrompt(route.route, random),
    max_tokens: stream.class === "batch"
      ? BATCH_MAX_TOKENS
      : INTERACTIVE_MAX_TOKENS,
  };
}

/** Generates a prompt: a prefix that all prompts of the route share, and a
 * random suffix. */
function makePrompt(route: string, random: () => number): string {
  const prefix = `Rules of ${route}. `.repeat(PREFIX_REPEATS);
  return `${prefix.slice(0, PREFIX_CHARS)} Draft ${
    random().toString(36).slice(2)
  }.`;
}
