/** The faults of a soak: chosen at random by the seed, started one after
 * another and overlapping in time.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { LIMITS, type SoakWorld, ZONES } from "./world.ts";

/** Injects a fault and returns the function that lifts it. */
type Fault = (world: SoakWorld, pick: PickOne) => () => void | Promise<unknown>;

/** Returns one item at random. */
type PickOne = <T>(items: readonly T[]) => T;

const nothingToLift = () => undefined;

/** Signals that follow the one that stops a gateway. */
const STOP_SERIES: readonly NodeJS.Signals[] = [
  "SIGTERM",
  "SIGHUP",
  "SIGTERM",
  "SIGINT",
];

/** Limits that engines name, in requests a second. */
const REQUEST_LIMITS: readonly number[] = [0.5, 1.5, 5];

const faults: Readonly<Record<string, Fault>> = {
  gateway_killed: (world, pick) => {
    const slot = pick(world.gateways);
    slot.process.signal("SIGCONT");
    slot.process.signal("SIGKILL");
    return () => world.restartGateway(slot);
  },
  all_gateways_killed: (world) => {
    for (const { process } of world.gateways) {
      process.signal("SIGCONT");
      process.signal("SIGKILL");
    }
    return () => world.gateways.forEach((slot) => world.restartGateway(slot));
  },
  gateway_stopped: (world, pick) => {
    const slot = pick(world.gateways);
    const { process } = slot;
    process.signal("SIGCONT");
    process.signal("SIGTERM");
    void process.signalInSeries(STOP_SERIES, SERIES_STEP_MS);
    return () => process.exited.then(() => world.restartGateway(slot));
  },
  gateways_restarted_in_series: (world, pick) => {
    const first = pick([...world.gateways.keys()]);
    const slots = [...world.gateways.slice(first), ...world.gateways]
      .slice(0, pick([2, 3]));
    const signals = slots.map(() => pick(["SIGTERM", "SIGKILL"] as const));
    const restarts = slots.map(async (slot, i) => {
      await pause(i * SERIES_STEP_MS);
      const { process } = slot;
      process.signal("SIGCONT");
      process.signal(signals[i] ?? "SIGKILL");
      await process.exited;
      world.restartGateway(slot);
    });
    return () => Promise.all(restarts);
  },
  gateway_frozen: (world, pick) => {
    const { process } = pick(world.gateways);
    process.signal("SIGSTOP");
    return () => process.signal("SIGCONT");
  },
  settings_read_again: (world, pick) => {
    const { process } = pick(world.gateways);
    void process.takesSignals().then(() =>
      process.signalInSeries(["SIGHUP", "SIGHUP", "SIGUSR2", "SIGHUP"], 5)
    );
    return nothingToLift;
  },
  engine_killed: (world, pick) => {
    const slot = pick(world.engines);
    slot.process.signal("SIGKILL");
    return () => world.restartEngine(slot);
  },
  engine_becomes_cold: (world, pick) => {
    world.coolDown(pick(world.engines.filter(({ plain }) => !plain)));
    return nothingToLift;
  },
  zone_evacuated: (world, pick) => world.evacuate(pick(Object.keys(ZONES))),
  engine_limited: (world, pick) => {
    const { process } = pick(world.engines);
    process.write(String(pick(REQUEST_LIMITS)));
    return () => process.write("no_limit");
  },
  crashing_part_sent: (world) => {
    world.sendsCrashingPart = true;
    return () => void (world.sendsCrashingPart = false);
  },
  engine_leaves: (world, pick) => {
    const slot = pick(world.engines);
    const { process } = slot;
    process.signal("SIGTERM");
    return () => process.exited.then(() => world.restartEngine(slot));
  },
  engine_link_reset: (world, pick) => {
    pick(world.engines).proxy.reset();
    return nothingToLift;
  },
  engine_link_slow: (world, pick) => {
    const { proxy } = pick(world.engines);
    proxy.setState("slow");
    return () => proxy.setState("open");
  },
  engine_link_silent: (world, pick) => {
    const { proxy } = pick(world.engines);
    proxy.setState("silent");
    return () => proxy.setState("open");
  },
  zone_links_full: (world, pick) => {
    const zone = pick(Object.keys(ZONES));
    world.setZoneLinks(zone, "full");
    return () => world.setZoneLinks(zone, "open");
  },
  engine_answers_lost: (world, pick) => {
    const { proxy } = pick(world.engines);
    proxy.setState("no_answers");
    return () => proxy.setState("open");
  },
  store_link_reset: (world, pick) => {
    pick(world.gateways).storeLink.reset();
    return nothingToLift;
  },
  store_link_silent: (world, pick) => {
    const { storeLink } = pick(world.gateways);
    storeLink.setState("silent");
    return () => storeLink.setState("open");
  },
  store_frozen: (world) => {
    world.store.signal("SIGSTOP");
    return () => world.store.signal("SIGCONT");
  },
  store_rejects: (world) => {
    world.store.write("reject");
    return () => world.store.write("serve");
  },
  store_loses_answers: (world) => {
    world.store.write("lose_answers");
    return () => world.store.write("serve");
  },
  store_forgets_history: (world) => {
    world.store.write("compact");
    return nothingToLift;
  },
  configuration_changes: (world) => {
    void world.publish();
    return nothingToLift;
  },
  workspace_limit_changes: (world, pick) => {
    void world.publish({ limit: pick(Object.values(LIMITS)) });
    return nothingToLift;
  },
};

/** Ages of the copies from which the store comes back, and for how long it is
 * away, in milliseconds. */
const COPY_AGES_MS: readonly number[] = [300, 1000, 2000, 4000, 6000];
const AWAY_MS: readonly number[] = [0, 200, 700, 1500];

/** The faults of a soak with restores. */
const faultsWithRestores: Readonly<Record<string, Fault>> = {
  ...faults,
  store_restored: (world, pick) => {
    const ageMs = pick(COPY_AGES_MS);
    const isBack = world.restoreStore({ ageMs, awayMs: pick(AWAY_MS) });
    return () => isBack;
  },
};

/** The faults of a soak with two software versions, and with gateways that are cut
 * off from engines. */
const faultsWithVersions: Readonly<Record<string, Fault>> = {
  ...faults,
  gateways_cut_from_engines: (world, pick) => {
    const count = pick([1, 2, world.gateways.length - 1]);
    const first = pick([...world.gateways.keys()]);
    const slots = [...world.gateways.slice(first), ...world.gateways];
    return world.cutFromEngines(slots.slice(0, count));
  },
};

const GATEWAY_RESTARTS: readonly string[] = [
  "gateway_killed",
  "gateway_stopped",
  "all_gateways_killed",
  "gateways_restarted_in_series",
];

/** Time between the signals to gateways that are restarted in series, in
 * milliseconds. A gateway that is stopped takes longer to exit. */
const SERIES_STEP_MS = 300;

const MIN_PAUSE_MS = 200;
const PAUSE_JITTER_MS = 1200;
const MIN_FAULT_MS = 200;
const FAULT_JITTER_MS = 3500;

/** Injects faults for `durationMs`, then waits until all are lifted. Returns
 * one line a fault: milliseconds from the start, name, and duration in
 * milliseconds. */
export async function runFaults(
  world: SoakWorld,
  options: {
    readonly random: () => number;
    readonly durationMs: number;
    /** Whether the store comes back from older copies, at least twice. */
    readonly restoresStore: boolean;
    /** Whether gateways are cut off from engines, at least twice, and all of them
     * are killed. */
    readonly hasTwoVersions: boolean;
  },
): Promise<readonly string[]> {
  const { random, durationMs, restoresStore, hasTwoVersions } = options;
  const pick: PickOne = (items) => {
    const item = items[Math.floor(random() * items.length)];
    if (item === undefined) throw new Error("nothing to pick from");
    return item;
  };
  const startMs = performance.now();
  const injected: string[] = [];
  const lifts: Promise<unknown>[] = [];
  const pool = Object.entries({
    ...(restoresStore ? faultsWithRestores : faults),
    ...(hasTwoVersions ? faultsWithVersions : {}),
  });
  // The names of the first faults; any fault where there is none.
  const planned = restoresStore
    ? [
      undefined,
      "store_restored",
      pick(GATEWAY_RESTARTS),
      undefined,
      "store_restored",
    ]
    : hasTwoVersions
    ? [
      "engine_leaves",
      "gateways_cut_from_engines",
      pick(GATEWAY_RESTARTS),
      "engine_killed",
      "all_gateways_killed",
      undefined,
      "gateways_cut_from_engines",
    ]
    : [];
  while (performance.now() - startMs < durationMs || planned.length > 0) {
    const plannedName = planned.shift();
    const [name, fault] = pick(
      plannedName === undefined
        ? pool
        : pool.filter(([other]) => other === plannedName),
    );
    const faultMs = MIN_FAULT_MS + random() * FAULT_JITTER_MS;
    injected.push(
      `${Math.round(performance.now() - startMs)} ${name} ${
        Math.round(faultMs)
      }`,
    );
    const lift = fault(world, pick);
    lifts.push(pause(faultMs).then(lift));
    await pause(MIN_PAUSE_MS + random() * PAUSE_JITTER_MS);
  }
  await Promise.all(lifts);
  return injected;
}
