/** The faults of a soak: drawn by seed, in series, overlapping.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type { SoakWorld } from "./world.ts";

/** A fault: strikes, and returns what lifts it. */
type Fault = (world: SoakWorld, pick: Pick) => () => void | Promise<unknown>;

/** Draws one of several. */
type Pick = <T>(items: readonly T[]) => T;

const NOTHING = () => undefined;

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
    return () => process.exited.then(() => world.restartGateway(slot));
  },
  gateway_frozen: (world, pick) => {
    const { process } = pick(world.gateways);
    process.signal("SIGSTOP");
    return () => process.signal("SIGCONT");
  },
  settings_read_again: (world, pick) => {
    pick(world.gateways).process.signal("SIGHUP");
    return NOTHING;
  },
  engine_killed: (world, pick) => {
    const slot = pick(world.engines);
    slot.process.signal("SIGKILL");
    return () => world.restartEngine(slot);
  },
  engine_leaves: (world, pick) => {
    const slot = pick(world.engines);
    const { process } = slot;
    process.signal("SIGTERM");
    return () => process.exited.then(() => world.restartEngine(slot));
  },
  engine_link_reset: (world, pick) => {
    pick(world.engines).proxy.reset();
    return NOTHING;
  },
  engine_link_slow: (world, pick) => {
    const { proxy } = pick(world.engines);
    proxy.set("slow");
    return () => proxy.set("open");
  },
  engine_link_silent: (world, pick) => {
    const { proxy } = pick(world.engines);
    proxy.set("silent");
    return () => proxy.set("open");
  },
  engine_answers_lost: (world, pick) => {
    const { proxy } = pick(world.engines);
    proxy.set("no_answers");
    return () => proxy.set("open");
  },
  store_link_reset: (world, pick) => {
    pick(world.gateways).storeLink.reset();
    return NOTHING;
  },
  store_link_silent: (world, pick) => {
    const { storeLink } = pick(world.gateways);
    storeLink.set("silent");
    return () => storeLink.set("open");
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
    return NOTHING;
  },
  configuration_changes: (world) => {
    void world.publish();
    return NOTHING;
  },
};

const PAUSE_MIN_MS = 200;
const PAUSE_SPREAD_MS = 1200;
const HOLD_MIN_MS = 200;
const HOLD_SPREAD_MS = 3500;

/** Strikes with faults for `forMs`, and lifts all. Returns what struck when, in
 * milliseconds from the start. */
export async function runFaults(
  world: SoakWorld,
  options: { readonly random: () => number; readonly forMs: number },
): Promise<readonly string[]> {
  const { random, forMs } = options;
  const pick: Pick = (items) => {
    const item = items[Math.floor(random() * items.length)];
    if (item === undefined) throw new Error("nothing to pick from");
    return item;
  };
  const start = performance.now();
  const struck: string[] = [];
  const holding: Promise<unknown>[] = [];
  while (performance.now() - start < forMs) {
    const [name, fault] = pick(Object.entries(faults));
    const holdMs = HOLD_MIN_MS + random() * HOLD_SPREAD_MS;
    struck.push(
      `${Math.round(performance.now() - start)} ${name} ${Math.round(holdMs)}`,
    );
    const lift = fault(world, pick);
    holding.push(pause(holdMs).then(lift));
    await pause(PAUSE_MIN_MS + random() * PAUSE_SPREAD_MS);
  }
  await Promise.all(holding);
  return struck;
}
