/** A machine gets SIGTERM while the platform's store is down; a client goes on to
 * send orders on the addresses that it has.
 *
 * @module
 */
import {
  CONFIGURATION,
  HAS_TROUBLE,
  MODEL,
  pause,
  plainResponder,
  runCase,
  streamResponder,
} from "../lib-3/world.mjs";

/** Longest time from SIGTERM to an answer that counts: `grace_s` and 1 s. */
const COUNTED_MS = 9000;

/** The `timeout_ms` of the route. */
const ROUTE_TIMEOUT_MS = 1000;

/** How long the store is down; the site has 4.5 s. */
const DOWN_MS = 4400;

/** How long the server works on an order, and how long the client waits before it
 * sends the next one. */
const WORK_MS = 300;
const GAP_MS = 600;

await runCase(import.meta.dirname, async (world) => {
  // No key is needed, so that the rule's words hold in each reading.
  const routes = CONFIGURATION.routes.map((route) =>
    route.kind === "unsafe" ? { ...route, public: true } : route
  );
  world.store.write("config", "main", { ...CONFIGURATION, routes });
  for (const [i, zone] of ["yn-a", "sd-a"].entries()) {
    await world.startEngine(i, {
      id: `i-llm${i}`,
      service: "pattern-llm",
      zone,
      model: MODEL,
      version: "v1",
      respond: streamResponder({ events: 20, eventMs: 30 }),
    });
  }
  for (const [i, zone] of ["yn-a", "sd-a", "yn-b"].entries()) {
    await world.startEngine(10 + i, {
      id: `i-app${i}`,
      service: "bell-control",
      zone,
      slots: 6,
      version: "v1",
      respond: plainResponder({ workMs: WORK_MS }),
    });
  }
  await world.startMachines(["yn-a", "sd-a", "yn-b"]);
  await pause(6000);
  const lost = [];
  for (const machine of world.machines) {
    await rollOne(world, machine, lost);
  }
  return lost.length === 0
    ? undefined
    : `${lost.length} orders lost: ${lost.join(", ")}`;
});

/** Stops one machine and starts it again. Adds the orders that it read and sent
 * on, and whose connections ended without an answer. */
async function rollOne(world, machine, lost) {
  const setMode = (mode) => {
    world.record({ t: "store", mode });
    for (const { storeHost } of world.machines) {
      world.store.setMode(storeHost, mode);
    }
  };
  if (HAS_TROUBLE) setMode("busy");
  await pause(100);
  machine.signal("SIGTERM");
  const stoppedMs = world.nowMs;
  const restored = pause(DOWN_MS - 100).then(() => {
    if (HAS_TROUBLE) setMode("serve");
  });
  for (let n = 0; machine.isRunning; n += 1) {
    const id = `${machine.name}-${n}`;
    const answer = await world.send(machine, {
      id,
      path: "/strike/1",
      key: null,
      headers: { Deadline: "2000" },
      body: "{}",
    });
    const hasRun = world.records.some((r) => r.t === "run" && r.id === id);
    const isInTime = answer.end - answer.sentMs < ROUTE_TIMEOUT_MS;
    const isCounted = answer.end - stoppedMs < COUNTED_MS && isInTime;
    if (hasRun && !answer.isComplete && isCounted) lost.push(id);
    await pause(GAP_MS);
  }
  await restored;
  await machine.ended();
  machine.start();
  await machine.ready();
  await pause(4000);
}
