/** Two new versions of one adapter are named 8 s apart (`version_bump`), while an
 * engine still runs a stream on the first. */
import { Client } from "../lib/client.mjs";
import { Engine } from "../lib/engine.mjs";
import { runCase } from "../lib/run_case.mjs";
import { configuration, pause } from "../lib/world.mjs";

/** `version_ms` of the deployment. */
const VERSION_MS = 5000;
const BETWEEN_MS = 8000;
const LONG_EVENTS = 58;
const LONG_EVENT_MS = 230;
const SHORT_EVENTS = 5;
const SHORT_EVENT_MS = 30;

/** Streams events, and records the version on which the request begins. */
async function stream(engine, req, res) {
  const id = req.headers["request-id"];
  const adapter = req.headers.model.split("/")[1];
  const held = engine.adapters.get(adapter);
  const expected = req.headers["expect-version"];
  const isHeld = held !== undefined && held.readyAt <= performance.now() &&
    (expected === undefined || Number(expected) === held.version);
  if (!isHeld) {
    res.writeHead(421, { "Request-Id": id, "Content-Length": 0 }).end();
    return;
  }
  engine.world.record("run", {
    id,
    engine: engine.id,
    zone: engine.zone,
    version: held.version,
    expected,
  });
  const isLong = req.headers["length-hint"] === String(LONG_EVENTS * 5);
  held.running = (held.running ?? 0) + 1;
  engine.running += 1;
  res.writeHead(200, {
    "Request-Id": id,
    "Response-Seal": `seal-${id}`,
    "Content-Type": "text/event-stream",
    "Weight-Versions": String(held.version),
  });
  const events = isLong ? LONG_EVENTS : SHORT_EVENTS;
  for (let n = 1; n <= events && !res.destroyed; n += 1) {
    await pause(isLong ? LONG_EVENT_MS : SHORT_EVENT_MS);
    res.write(`id: ${n}\ndata: ${id}.${n}\n\n`);
  }
  engine.running -= 1;
  held.running -= 1;
  res.end();
}

await runCase(import.meta.url, async (world, hasTrouble) => {
  const acked = new Map();
  const name = (version) => {
    world.store.put("versions", "m0.a1", {
      model: "m0",
      adapter: "a1",
      version,
    });
    acked.set(version, performance.now() - world.startedAt);
    world.record("version named", { version });
  };
  world.configure(configuration(3));
  name(1);
  const engines = [];
  const addEngine = async (n, zone) => {
    const engine = new Engine(world, { n, zone, service: "assistant-llm" });
    engine.run = (req, res) => stream(engine, req, res);
    await engine.start();
    engines.push(engine);
  };
  await addEngine(2, "hcm-a");
  for (let i = 0; i < 3; i += 1) world.start(i);
  await world.ready();
  await pause(4000);

  const client = new Client(world);
  const { ip } = world.instances[2];
  const send = (length) =>
    client.send(ip, {
      route: "chat",
      deadlineMs: 15_000,
      headers: {
        Model: "m0/a1",
        "Token-Count": `826,${length * 5}`,
        "Length-Hint": String(length * 5),
      },
    });
  // Until the adapter is loaded.
  for (let n = 0; n < 20 && (await send(SHORT_EVENTS)).status !== 200; n += 1) {
    await pause(500);
  }
  const answers = [send(LONG_EVENTS)];
  await pause(300);
  await addEngine(0, "hn-a");
  await pause(3000);
  name(2);
  const sendFor = async (ms) => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
      answers.push(send(SHORT_EVENTS));
      await pause(100);
    }
  };
  await sendFor(BETWEEN_MS);
  if (hasTrouble) name(3);
  await sendFor(1500);
  const done = await Promise.all(answers);
  client.close();
  for (const engine of engines) engine.stop();

  const late = world.lines.map((line) => JSON.parse(line)).filter((l) => {
    if (l.what !== "run") return false;
    const newer = acked.get(l.version + 1);
    return newer !== undefined && l.ms > newer + VERSION_MS;
  });
  return {
    isBroken: late.length > 0,
    sent: done.length,
    whole: done.filter((a) => a.status === 200 && a.complete).length,
    late: late.length,
    example: late[0],
    named: Object.fromEntries(
      [...acked].map(([version, ms]) => [version, Math.round(ms)]),
    ),
  };
});
