/** A machine that the store turns away begins streams by an outdated division of
 * streams among the software versions of the engines. Once it has been killed, the
 * other machines go on with these streams at the other version. */
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

/** `kill`: the machine is killed, but the store has served it. */
const MODE = process.env.TROUBLE ?? "1";

const STREAMS = 24;

/** How long an engine that drains still serves, in milliseconds. */
const DRAIN_MS = 4000;

const EVENTS = 40;
const EVENT_MS = 150;
const DEADLINE_MS = 15_000;

/** How long the store turns the machine away, in milliseconds. */
const TURNED_AWAY_MS = 9000;

/** Sends a stream's request. `onEvent` is called when events have come. */
function stream(address, id, more = {}) {
  return call(address, `/stream/${id}`, {
    method: "POST",
    headers: clientHeaders(id, DEADLINE_MS, {
      Model: "m0",
      "Token-Count": "200,240",
      ...more,
    }),
    body: `body of ${id}`,
    timeoutMs: DEADLINE_MS,
  });
}

/** The events of a body: number and software version. A torn one is left out. */
function eventsOf(body) {
  return [...body.matchAll(/^id: (\d+)\ndata: (v\d) \d+\n\n/gm)]
    .map(([, n, version]) => ({ n: Number(n), version }));
}

async function run(world) {
  const { store, record } = world;
  const engineOf = (n, version) =>
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
    });
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
    former.push(world.own(await engineOf(n, "v1").start()));
  }

  const machines = [];
  for (const [n, zone] of [[1, "a-1"], [2, "a-2"]]) {
    const access = await store.listen(world.host(10 + n));
    machines.push(
      await world.startMachine({
        name: `front-${n}`,
        host: world.host(20 + n),
        zone,
        storeAddress: access.address,
      }),
    );
  }
  for (const machine of machines) await world.awaitReady(machine);
  await pause(5000);

  // A machine is added. The store turns it away.
  const access = await store.listen(world.host(13));
  if (MODE === "1") access.mode = "busy";
  const turnedAwayAt = performance.now();
  record("store", { turnsAway: access.mode === "busy" ? "front-3" : "nobody" });
  const added = await world.startMachine({
    name: "front-3",
    host: world.host(23),
    zone: "a-3",
    storeAddress: access.address,
    bootstrap: false,
  });
  await world.awaitReady(added);
  await until(
    async () => (await world.resolve(machines[0])).includes(added.front),
    { what: "front-3 among the addresses of front-1" },
  );
  record("resolve", { by: "front-1", lists: "front-3" });

  // A release replaces half of the engines, one at a time: the new one starts first,
  // the old one drains.
  for (const n of [5, 6]) {
    world.own(await engineOf(n, "v2").start());
    await pause(500);
    const old = former.shift();
    old.drain();
    setTimeout(() => old.leave(), DRAIN_MS);
    await pause(500);
  }
  await pause(1200);
  const began = Array.from({ length: STREAMS }, (_, i) => {
    const id = `s${i}`;
    record("client", { sends: id, to: "front-3" });
    return stream(added.front, id).then((answer) => ({ id, answer }));
  });
  await pause(1500);
  if (!IS_CALM) await added.kill("SIGKILL");
  record("store", {
    turnedAwayForMs: Math.round(performance.now() - turnedAwayAt),
  });
  if (performance.now() - turnedAwayAt > TURNED_AWAY_MS) {
    throw new Error("the store would have turned the machine away too long");
  }

  // Clients take up what broke off, at the machines that are left.
  const ends = await Promise.all(began.map(async (began) => {
    const { id, answer } = await began;
    const events = eventsOf(answer.body);
    record("client", { got: id, status: answer.status, events: events.length });
    if (answer.isWhole || events.length === 0) return { id, events };
    await pause(200);
    record("client", { sends: `${id}-again`, resumes: id });
    const resumed = await stream(
      machines[Number(id.slice(1)) % 2].front,
      `${id}-again`,
      { "Last-Event-Id": String(events.at(-1).n), Resumes: id },
    );
    const more = resumed.status === 200 ? eventsOf(resumed.body) : [];
    record("client", {
      got: `${id}-again`,
      status: resumed.status,
      events: more.length,
      versions: [events[0].version, more[0]?.version],
    });
    return { id, events: [...events, ...more] };
  }));
  const joined = ends.filter(({ events }) =>
    new Set(events.map(({ version }) => version)).size > 1
  );
  record("joined", {
    streams: ends.length,
    ofTwoVersions: joined.length,
    ids: joined.map(({ id }) => id),
  });
  for (const machine of [...machines, added]) {
    for (const line of machine.logText().split("\n")) {
      if (!/"event":8(4|5)\d.*(split|SPLIT)/.test(line)) continue;
      record(`log ${machine.name}`, line);
    }
  }
  return joined.length > 2;
}

await runCase(new URL("./", import.meta.url), run);
