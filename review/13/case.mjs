/** Clients read their streams slowly while half of the engines of the service are
 * replaced by ones of a newer software version. The machine has written the whole
 * answers when their connections are reset; the clients, which lack the end, take
 * their streams up at other machines.
 *
 * @module
 */
import { SlowLink } from "../lib-3/slow_link.mjs";
import { playStream, versionsOf } from "../lib-3/stream_client.mjs";
import {
  CONFIGURATION,
  FRONT_PORT,
  HAS_TROUBLE,
  MODEL,
  pause,
  runCase,
  streamResponder,
} from "../lib-3/world.mjs";

const ENGINES = 4;
const RELEASED = 2;
const RELEASE_GAP_MS = 1000;
const ENGINE_DRAIN_MS = 5000;
const STREAMS = 80;
const DEADLINE_MS = 12_000;
/** Events that a slow client takes in a second. */
const READ_PER_S = 8;
/** Share of the connections that are reset, as on the sites. */
const RESET_SHARE = 0.55;
/** How many streams may hold events of two versions. */
const JOINED_MAX = 2;

/** 1.2 s in all, as the engine makes it. */
const respond = streamResponder({ events: 60, eventMs: 20 });

await runCase(import.meta.dirname, async (world) => {
  // The aim of chat-reply.
  const routes = CONFIGURATION.routes.map((route) =>
    route.kind === "stream" ? { ...route, target_latency_ms: 500 } : route
  );
  world.store.write("config", "main", { ...CONFIGURATION, routes });
  const start = (n, version) =>
    world.startEngine(n, {
      id: `i-${version}-${n}`,
      service: "pattern-llm",
      zone: ["yn-a", "sd-a"][n % 2],
      model: MODEL,
      version,
      respond,
    });
  const old = [];
  for (let n = 0; n < ENGINES; n += 1) old.push(await start(n, "v1"));
  await world.startMachines(["yn-a", "sd-a", "yn-b", "yn-a"], {
    site: "pbsa-route-grown",
  });
  const [near, ...others] = world.machines;
  const link = new SlowLink({ host: near.host, port: FRONT_PORT });
  const host = world.address(200);
  await link.listen({ host, port: FRONT_PORT });
  await pause(6000);
  const streams = Array.from(
    { length: STREAMS },
    (_, i) =>
      playStream(world, {
        name: `s${i}`,
        choose: (n) => n === 0 ? near : others[(i + n) % others.length],
        // Only the first connection leads over the slow client's link.
        route: (n) => n === 0 ? { host, port: FRONT_PORT } : {},
        deadlineMs: DEADLINE_MS,
        takeUpsMax: 1,
      }),
  );
  link.setPace(READ_PER_S);
  await pause(3000);
  for (const [i, engine] of old.slice(0, RELEASED).entries()) {
    await start(ENGINES + i, "v2");
    void engine.drain(ENGINE_DRAIN_MS);
    await pause(RELEASE_GAP_MS);
  }
  await pause(1000);
  if (HAS_TROUBLE) {
    world.record({ t: "reset", of: link.size, share: RESET_SHARE });
    link.reset(RESET_SHARE);
  }
  const played = await Promise.all(streams);
  link.close();
  const joined = played.filter((stream) => versionsOf(stream).length > 1);
  world.record({
    t: "streams",
    takenUp: played.filter(({ takeUps }) => takeUps > 0).length,
    goneOn: played.filter(({ hasGoneOn }) => hasGoneOn).length,
    whole: played.filter(({ isWhole }) => isWhole).length,
    joined: joined.map(({ name, versions }) => ({
      name,
      v1: [...versions.values()].filter((v) => v === "v1").length,
      v2: [...versions.values()].filter((v) => v === "v2").length,
    })),
  });
  return joined.length > JOINED_MAX
    ? `${joined.length} streams hold events of two software versions`
    : undefined;
});
