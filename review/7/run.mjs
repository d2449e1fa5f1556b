/** A machine is restarted before a release of the engines. For a long time
 * afterwards no stream can be taken up that began at the new software version. */
import process from "node:process";
import { Engine, pause } from "../stand-ins-2/engine.mjs";
import {
  call,
  clientHeaders,
  configuration,
  ENGINE_CLASS,
  runCase,
  until,
} from "../stand-ins-2/world.mjs";

/** With TROUBLE=0 the disruption is left out. */
const IS_CALM = process.env.TROUBLE === "0";

const STREAMS = 24;
const EVENTS = 48;
const EVENT_MS = 220;
const DEADLINE_MS = 20_000;
const TAKE_UPS_MAX = 3;

/** How long an engine that drains still serves, in milliseconds. */
const DRAIN_MS = 4000;

/** Sends a stream's request. */
function stream(address, id, more = {}) {
  return call(address, `/stream/${id}`, {
    method: "POST",
    headers: clientHeaders(id, DEADLINE_MS, {
      Model: "m0",
      "Token-Count": "200,288",
      ...more,
    }),
    body: `body of ${id}`,
    timeoutMs: DEADLINE_MS,
  });
}

/** The numbers of the whole events of a body. */
function eventsOf(body) {
  return [...body.matchAll(/^id: (\d+)\ndata: v\d \d+\n\n/gm)]
    .map(([, n]) => Number(n));
}

/** Takes a stream up, and comes back as long as it is told to: three times at
 * most, within the client's deadline. Returns whether the stream went on. */
async function takeUp({ record, id, at, last, until }) {
  let waitMs = 200;
  for (let i = 1; i <= TAKE_UPS_MAX; i += 1) {
    await pause(waitMs);
    record("client", { sends: `${id}-again-${i}`, to: at.name, resumes: id });
    const answer = await stream(at.front, `${id}-again-${i}`, {
      "Last-Event-Id": String(last),
      Resumes: id,
    });
    const { status, body, headers } = answer;
    const events = status === 200 ? eventsOf(body).length : 0;
    const retryAfter = headers["retry-after"];
    record("client", {
      got: `${id}-again-${i}`,
      at: at.name,
      status,
      retryAfter,
      events,
      reason: status === 200 ? undefined : body,
    });
    if (events > 0) return true;
    waitMs = 1000 * Number(retryAfter ?? Infinity);
    if (status !== 503 || performance.now() + waitMs > until) return false;
  }
  return false;
}

async function run(world) {
  const { store, record } = world;
  const startEngine = (n, version) =>
    new Engine({
      store,
      record,
      id: `e${n}`,
      host: world.host(40 + n),
      service: "llm",
      version,
      model: "m0",
      events: EVENTS,
      eventMs: EVENT_MS,
    }).start();
  store.write(
    "config",
    "main",
    configuration(1, {
      routes: [{
        name: "stream",
        path_prefix: "/stream/",
        kind: "stream",
        service: "llm",
        resumable: true,
        sticky: true,
        timeout_ms: DEADLINE_MS,
        gap_target_ms: 300,
      }],
      services: [{ name: "llm", engine: ENGINE_CLASS }],
    }),
  );
  const former = [];
  for (const n of [1, 2, 3, 4]) {
    former.push(world.own(await startEngine(n, "v1")));
  }

  const start = async (n, bootstrap) => {
    const access = await store.listen(world.host(bootstrap ? 10 + n : 15 + n));
    const machine = await world.startMachine({
      name: `front-${n}`,
      host: world.host(20 + n),
      zone: `a-${n}`,
      storeAddress: access.address,
      bootstrap,
    });
    await world.awaitReady(machine);
    return machine;
  };
  const machines = await Promise.all([1, 2, 3].map((n) => start(n, true)));
  const rangesOf = () =>
    store.read("banyanlb-assignments", "versions")?.pools.llm?.[0].ranges ?? [];
  const isAllAt = (version) =>
    rangesOf().length === 1 && rangesOf()[0].version === version;
  await until(() => isAllAt("v1"), { what: "streams begin at v1" });
  await pause(1500);

  // One machine is stopped and started again, as planned.
  if (!IS_CALM) {
    await machines[2].kill("SIGTERM");
    await pause(500);
    machines[2] = await start(3, false);
    await pause(3000);
  }

  // Two releases, each of half of the engines, one at a time: the new one starts
  // first, the old one drains.
  for (const numbers of [[5, 6], [7, 8]]) {
    for (const n of numbers) {
      world.own(await startEngine(n, "v2"));
      await pause(500);
      const old = former.shift();
      old.drain();
      setTimeout(() => old.leave(), DRAIN_MS);
      await pause(500);
    }
    record("release", { engines: numbers, ranges: rangesOf() });
  }
  await until(() => isAllAt("v2"), { what: "streams begin at v2" });
  await pause(DRAIN_MS);
  record("release", { ended: true, ranges: rangesOf() });

  // The next machine is stopped. Streams that last longer are cut off at the end of
  // its grace, and their clients take them up at the others.
  const sentAt = performance.now();
  const began = Array.from({ length: STREAMS }, (_, i) => {
    const id = `s${i}`;
    record("client", { sends: id, to: machines[1].name });
    return stream(machines[1].front, id).then((answer) => ({ id, answer }));
  });
  await pause(1000);
  void machines[1].kill("SIGTERM");
  const takenUp = await Promise.all(began.map(async (began) => {
    const { id, answer } = await began;
    const events = eventsOf(answer.body);
    record("client", { got: id, status: answer.status, events: events.length });
    if (answer.isWhole || events.length === 0) return undefined;
    return await takeUp({
      record,
      id,
      at: machines[Number(id.slice(1)) % 2 === 0 ? 0 : 2],
      last: events.at(-1),
      until: sentAt + DEADLINE_MS,
    });
  }));
  const started = await Promise.all(
    Array.from({ length: STREAMS }, (_, i) => i).map(async (i) => {
      const at = machines[i % 2 === 0 ? 0 : 2];
      record("client", { sends: `n${i}`, to: at.name });
      const answer = await stream(at.front, `n${i}`);
      record("client", {
        got: `n${i}`,
        status: answer.status,
        events: eventsOf(answer.body).length,
      });
      return answer.status === 200 && eventsOf(answer.body).length > 0;
    }),
  );
  const tried = takenUp.filter((hasGoneOn) => hasGoneOn !== undefined);
  const goneOn = tried.filter((hasGoneOn) => hasGoneOn).length;
  const begun = started.filter((hasBegun) => hasBegun).length;
  record("shares", {
    takenUp: tried.length,
    goneOn,
    newStreams: started.length,
    begun,
  });
  if (tried.length < 12 || begun < started.length / 2) {
    throw new Error("too few streams were taken up, or began");
  }
  return goneOn / tried.length < begun / started.length / 2;
}

await runCase(new URL("./", import.meta.url), run);
