/** The machine that gives orders to the engines freezes. Requests at the other
 * machines that wait for an order of it get no answer in their route's time. */
import process from "node:process";
import { Engine, pause } from "../stand-ins-2/engine.mjs";
import {
  call,
  clientHeaders,
  configuration,
  ENGINE_CLASS,
  runCase,
} from "../stand-ins-2/world.mjs";

/** With TROUBLE=0 the disruption is left out. */
const IS_CALM = process.env.TROUBLE === "0";

const TIMEOUT_MS = 1500;
const DEADLINE_MS = 2300;
const REQUESTS = 36;
const FROZEN_MS = 3500;

/** How late an answer may be after the route's time, in milliseconds. */
const LATE_MS = 500;

async function run(world) {
  const { store } = world;
  const holders = new Map();
  const record = (what, fields) => {
    world.record(what, fields);
    if (what === "order") holders.set(fields.engine, fields.holder);
  };
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
        timeout_ms: TIMEOUT_MS,
        gap_target_ms: 300,
      }],
      services: [{ name: "llm", engine: ENGINE_CLASS }],
    }),
  );
  for (const n of [1, 2, 3, 4, 5, 6]) {
    world.own(
      await new Engine({
        store,
        record,
        id: `e${n}`,
        host: world.host(40 + n),
        zone: `a-${1 + n % 3}`,
        service: "llm",
        model: "m0",
        events: 4,
      }).start(),
    );
  }
  const machines = [];
  for (const n of [1, 2, 3]) {
    const access = await store.listen(world.host(10 + n));
    machines.push(
      await world.startMachine({
        name: `front-${n}`,
        host: world.host(20 + n),
        zone: `a-${n}`,
        storeAddress: access.address,
      }),
    );
  }
  for (const machine of machines) await world.awaitReady(machine);
  await pause(6000);
  const send = async (n, machine) => {
    world.record("client", { sends: `r${n}`, to: machine.name });
    const answer = await call(machine.front, `/stream/r${n}`, {
      method: "POST",
      headers: clientHeaders(`r${n}`, DEADLINE_MS, {
        Model: `m0/a${n}`,
        "Token-Count": "200,20",
      }),
      body: `r${n}`,
      timeoutMs: DEADLINE_MS,
    });
    const { status, ms, isWhole } = answer;
    world.record("client", {
      got: `r${n}`,
      at: machine.name,
      status,
      ms,
      isWhole,
    });
    return answer;
  };
  for (let n = 100; n < 112; n += 1) await send(n, machines[n % 3]);
  const names = [...holders.values()];
  const giver =
    machines.toSorted((a, b) =>
      names.filter((n) => n === b.name).length -
      names.filter((n) => n === a.name).length
    )[0];
  world.record("giver", { name: giver.name, holders: [...holders] });
  if (!IS_CALM) {
    void giver.kill("SIGSTOP");
    setTimeout(() => void giver.kill("SIGCONT"), FROZEN_MS);
  }
  const others = machines.filter((m) => m !== giver);
  const answers = [];
  for (let n = 10; n < 10 + REQUESTS; n += 1) {
    answers.push(send(n, others[n % 2]));
    await pause(30);
  }
  const all = await Promise.all(answers);
  const unanswered = all.filter(({ ms }) => ms > TIMEOUT_MS);
  const late = all.filter(({ ms, status }) =>
    status === 0 || ms > TIMEOUT_MS + LATE_MS
  );
  world.record("late", {
    requests: all.length,
    unansweredAtTimeout: unanswered.length,
    halfASecondLater: late.length,
  });
  return late.length >= 8 && late.length > unanswered.length / 2;
}

await runCase(new URL("./", import.meta.url), run);
