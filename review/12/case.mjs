/** A process is killed and starts again, the engines of a service are replaced by
 * ones of a newer software version, and then another process is killed while it
 * serves streams. Their clients take them up at machines that nothing has happened
 * to.
 *
 * @module
 */
import { playStream } from "../lib-3/stream_client.mjs";
import {
  CONFIGURATION,
  HAS_TROUBLE,
  MODEL,
  pause,
  runCase,
  streamResponder,
} from "../lib-3/world.mjs";

const ENGINES = 4;
/** Pause between two replacements, and how long an engine serves after its entry
 * has changed to `draining`: `drain_ms` and a little longer. */
const RELEASE_GAP_MS = 1000;
const ENGINE_DRAIN_MS = 4000;
const STREAMS = 40;
const DEADLINE_MS = 12_000;
/** A client tries once more when it is told when to come back. */
const TAKE_UPS_MAX = 2;
/** Least number of streams taken up for which the rule counts. */
const TAKEN_UP_MIN = 12;

const respond = streamResponder({ events: 60, eventMs: 60 });

await runCase(import.meta.dirname, async (world) => {
  world.store.write("config", "main", CONFIGURATION);
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
  await world.startMachines(["yn-a", "sd-a", "yn-b", "yn-a"]);
  const [killed, lost, ...others] = world.machines;
  await pause(5000);
  if (HAS_TROUBLE) {
    killed.signal("SIGKILL");
    await killed.ended();
    await pause(500);
    killed.start();
    await killed.ready();
  }
  await pause(3000);
  for (const [i, engine] of old.entries()) {
    await start(ENGINES + i, "v2");
    void engine.drain(ENGINE_DRAIN_MS);
    await pause(RELEASE_GAP_MS);
  }
  await pause(ENGINE_DRAIN_MS + 3000);
  const play = (name, choose) =>
    playStream(world, {
      name,
      choose,
      deadlineMs: DEADLINE_MS,
      takeUpsMax: TAKE_UPS_MAX,
    });
  const begun = Array.from(
    { length: STREAMS },
    (_, i) => play(`s${i}`, (n) => n === 0 ? lost : others[(i + n) % 2]),
  );
  await pause(1500);
  lost.signal("SIGKILL");
  await lost.ended();
  const restarted = pause(500).then(() => lost.start());
  const fresh = Array.from(
    { length: STREAMS },
    (_, i) => play(`n${i}`, () => others[i % 2]),
  );
  const streams = await Promise.all(begun);
  const newStreams = await Promise.all(fresh);
  await restarted;
  const takenUp = streams.filter(({ takeUps }) => takeUps > 0);
  const goneOn = takenUp.filter(({ hasGoneOn }) => hasGoneOn);
  const hasBegun = newStreams.filter(({ last }) => last > 0);
  world.record({
    t: "shares",
    takenUp: takenUp.length,
    goneOn: goneOn.length,
    newStreams: STREAMS,
    begun: hasBegun.length,
  });
  if (takenUp.length < TAKEN_UP_MIN) {
    throw new Error("too few streams were taken up");
  }
  const isBroken = goneOn.length / takenUp.length <
    hasBegun.length / STREAMS / 2;
  return isBroken
    ? `of ${takenUp.length} streams that were taken up ${goneOn.length} went ` +
      `on; of ${STREAMS} new ones ${hasBegun.length} began`
    : undefined;
});
