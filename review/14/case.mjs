/** A service has two models, of which an engine holds one at a time, as they are
 * placed at the start.
 *
 * @module
 */
import {
  CONFIGURATION,
  HAS_TROUBLE,
  MODEL,
  pause,
  runCase,
  streamResponder,
} from "../lib-3/world.mjs";

const OTHER_MODEL = "wemi510001";
const SIZES = { [MODEL]: 72_700, [OTHER_MODEL]: 72_700 };
const WEIGHTS_MB = 75_600;
const STREAMS = 12;

const respond = streamResponder({ events: 100, eventMs: 80 });

await runCase(import.meta.dirname, async (world) => {
  const models = HAS_TROUBLE ? [MODEL, OTHER_MODEL] : [MODEL];
  world.store.write("config", "main", withModels(models));
  for (const [i, zone] of ["yn-a", "sd-a", "yn-b", "yn-a"].entries()) {
    await world.startEngine(i, {
      id: `i-llm${i}`,
      service: "pattern-llm",
      zone,
      // The busy model is on many engines, the other one on one.
      model: i === 0 ? models.at(-1) : MODEL,
      sizes: SIZES,
      weightsMb: WEIGHTS_MB,
      version: "v1",
      respond,
    });
  }
  await world.startMachines(["yn-a", "sd-a", "yn-b"]);
  const streams = Array.from({ length: STREAMS }, async (_, i) => {
    await pause(i * 400);
    return world.send(world.machines[i % 3], {
      id: `s${i}`,
      path: "/draft/1",
      headers: {
        Model: models.at(-1),
        "Token-Count": "826,300",
        "Prompt-Prefix": `5c1e07a2:198,${i}b7d:628`,
        Deadline: "12000",
      },
      body: "{}",
    });
  });
  const answers = await Promise.all(streams);
  await pause(2000);
  const over = world.records.filter(({ t, neededMb }) =>
    t === "load" && neededMb > WEIGHTS_MB
  );
  const whole = answers.filter(({ status, isComplete }) =>
    status === 200 && isComplete
  );
  world.record({ t: "streams", of: STREAMS, whole: whole.length });
  return over.length > 0
    ? `${over.length} orders to load more than weights_mb; ${whole.length} of ` +
      `${STREAMS} streams whole`
    : undefined;
});

function withModels(names) {
  const services = CONFIGURATION.services.map((service) => {
    const { engine } = service;
    if (engine === undefined) return service;
    const [first] = engine.models;
    const models = names.map((name) => ({ ...first, name }));
    return { ...service, engine: { ...engine, models } };
  });
  return { ...CONFIGURATION, services };
}
