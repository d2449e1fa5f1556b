import type { RequestListener } from "node:http";
import { afterEach, expect, test } from "vitest";
import {
  cleanUp,
  listen,
  portOf,
  SEALED_HEADERS,
  sendRequest,
  startRelay,
} from "./testing/start_relay.ts";

afterEach(cleanUp);

const HOME = { homeRegions: ["n"] };

/** An engine that answers, counting its requests. */
function countingEngine(handle?: RequestListener) {
  const engine = {
    count: 0,
    listener: ((req, res) => {
      engine.count += 1;
      if (handle !== undefined) return handle(req, res);
      res.writeHead(200, SEALED_HEADERS);
      res.end("well");
    }) as RequestListener,
  };
  return engine;
}

const failing: RequestListener = (_, res) => {
  res.writeHead(500, SEALED_HEADERS);
  res.end("broken");
};

async function portOfEngine(listener: RequestListener): Promise<number> {
  return portOf(await listen(listener));
}

test("the first attempt stays in the request's homes, though others are nearer", async () => {
  const [away, home] = [countingEngine(), countingEngine()];
  const relay = await startRelay([away.listener, home.listener], {
    route: HOME,
    zones: ["z", "n1"],
  });
  for (let i = 0; i < 5; i += 1) {
    expect((await sendRequest(relay)).status).toBe(200);
  }
  expect([away.count, home.count]).toEqual([0, 5]);
});

test("a repeat after a failure stays in the homes, and is refused rather than served elsewhere", async () => {
  const [away, home] = [countingEngine(), countingEngine(failing)];
  const relay = await startRelay([away.listener, home.listener], {
    route: HOME,
    zones: ["z", "n1"],
  });
  expect((await sendRequest(relay)).status).toBe(500);
  expect([away.count, home.count]).toEqual([0, 1]);
});

test("a stream that breaks off is not resumed outside of its homes", async () => {
  const broken = countingEngine((_, res) => {
    res.writeHead(200, {
      ...SEALED_HEADERS,
      "content-type": "text/event-stream",
    });
    res.write("id: 1\ndata: x\n\n", () => res.destroy());
  });
  const away = countingEngine();
  const relay = await startRelay([broken.listener, away.listener], {
    route: { ...HOME, kind: "stream", resumable: true },
    zones: ["n1", "z"],
  });
  expect((await sendRequest(relay)).isComplete).toBe(false);
  expect(away.count).toBe(0);
});

test("no engine in the homes: refused at once, with a time to return", async () => {
  const away = countingEngine();
  const reasons: unknown[] = [];
  const relay = await startRelay([away.listener], {
    route: HOME,
    zones: ["z"],
    onLog: ({ reason }) => void (reason !== undefined && reasons.push(reason)),
  });
  const startedAt = performance.now();
  const refused = await sendRequest(relay);
  expect(performance.now() - startedAt).toBeLessThan(500);
  expect(refused.status).toBe(503);
  expect(Number(refused.retryAfter)).toBeGreaterThan(0);
  expect(away.count).toBe(0);
  expect(reasons).toEqual(["residency:no_engine"]);
});

// The homes of a request were those of its arrival.
test("homes that change while the adapter is loaded hold for the attempt", async () => {
  const [first, second] = [countingEngine(), countingEngine()];
  let homes = ["n"];
  const loads: string[] = [];
  const relay = await startRelay([first.listener, second.listener], {
    route: {},
    zones: ["n1", "s1"],
    currentRoute: () => ({ homeRegions: homes }),
    load: () => {
      loads.push(homes.join());
      homes = ["s"];
      return Promise.resolve(true);
    },
  });
  const response = await sendRequest(relay, { model: "m/a1" });
  expect(response.status).toBe(200);
  expect([first.count, second.count]).toEqual([0, 1]);
  expect(loads).toEqual(["n", "s"]);
});

test("a repeat follows homes that changed during the first attempt", async () => {
  let homes = ["n"];
  const first = countingEngine((req, res) => {
    homes = ["s"];
    failing(req, res);
  });
  const [sameHome, newHome] = [countingEngine(), countingEngine()];
  const ports = await Promise.all(
    [first, sameHome, newHome].map((e) => portOfEngine(e.listener)),
  );
  const relay = await startRelay(ports, {
    route: {},
    zones: ["n1", "n2", "s1"],
    currentRoute: () => ({ homeRegions: homes }),
  });
  expect((await sendRequest(relay)).status).toBe(200);
  expect(newHome.count).toBe(1);
});

test("the engines of an evacuated zone get nothing, also if no other is left", async () => {
  const [one, two] = [countingEngine(), countingEngine()];
  const evacuated = new Set(["z1"]);
  const relay = await startRelay([one.listener, two.listener], {
    route: {},
    zones: ["z1", "z2"],
    isEvacuated: (zone) => evacuated.has(zone),
  });
  for (let i = 0; i < 4; i += 1) {
    expect((await sendRequest(relay)).status).toBe(200);
  }
  expect([one.count, two.count]).toEqual([0, 4]);
  evacuated.add("z2");
  const refused = await sendRequest(relay);
  expect(refused.status).toBe(503);
  expect(Number(refused.retryAfter)).toBeGreaterThan(0);
  evacuated.delete("z1");
  expect((await sendRequest(relay)).status).toBe(200);
  expect([one.count, two.count]).toEqual([1, 4]);
});

test("a stream that runs in a zone when it is evacuated ends there", async () => {
  const evacuated = new Set<string>();
  const engine = countingEngine((_, res) => {
    res.writeHead(200, {
      ...SEALED_HEADERS,
      "content-type": "text/event-stream",
    });
    res.write("id: 1\ndata: x\n\n");
    evacuated.add("z1");
    setTimeout(() => res.end("id: 2\ndata: y\n\n"), 300);
  });
  const other = countingEngine();
  const relay = await startRelay([engine.listener, other.listener], {
    route: { kind: "stream", resumable: true },
    zones: ["z1", "z2"],
    isEvacuated: (zone) => evacuated.has(zone),
  });
  const response = await sendRequest(relay);
  expect(response.isComplete).toBe(true);
  expect(response.body).toContain("data: y");
  expect(other.count).toBe(0);
});
