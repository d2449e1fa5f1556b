import type { RequestListener } from "node:http";
import { RESPONSE_HEADERS } from "@banyanlb/platform";
import { EngineTable } from "@banyanlb/serving";
import { afterEach, expect, test } from "vitest";
import { delayConnections } from "../testing/delay_connections.ts";
import { findFreePort } from "../testing/free_port.ts";
import {
  cleanUp,
  listen,
  portOf,
  type RelayOptions,
  SEALED_HEADERS,
  sendRequest,
  startRelay,
} from "../testing/start_relay.ts";

afterEach(cleanUp);

/** Time that a connection to the first engine takes, in milliseconds: longer
 * than that after which another engine is asked. */
const CONNECTION_MS = 1100;

const answer: RequestListener = (_, res) => {
  res.writeHead(200, SEALED_HEADERS);
  res.end("well");
};
const refuse: RequestListener = (_, res) => {
  res.writeHead(503, {
    [RESPONSE_HEADERS.id]: "r1",
    [RESPONSE_HEADERS.notRun]: "1",
  });
  res.end();
};
const fail: RequestListener = (_, res) => {
  res.writeHead(500, SEALED_HEADERS);
  res.end("bad");
};
const hang: RequestListener = () => undefined;

/** Counts the requests that an engine reads. */
function counting(handle: RequestListener): {
  readonly handle: RequestListener;
  readonly count: () => number;
} {
  let count = 0;
  return {
    handle: (req, res) => {
      count += 1;
      handle(req, res);
    },
    count: () => count,
  };
}

/** Starts a relay whose first engine is slow to connect. */
async function startSlowRelay(
  first: RequestListener,
  others: readonly (RequestListener | number)[],
  { connectionMs = CONNECTION_MS, ...options }:
    & Partial<RelayOptions>
    & { readonly connectionMs?: number } = {},
): Promise<number> {
  const engine = await listen(first);
  delayConnections(portOf(engine), connectionMs);
  return startRelay([portOf(engine), ...others], { route: {}, ...options });
}

const WELL = { status: 200, body: "well", isComplete: true };

// Guards against callers that are refused while the connection to the only engine
// is about to come.
test("a request waits for a late connection when there is no other engine", async () => {
  const port = await startSlowRelay(answer, []);
  expect(await sendRequest(port)).toMatchObject(WELL);
});

// Guards against callers that are refused or get an error because the other engine
// does not take the request, while the connection is about to come.
test.each<readonly [string, () => Promise<RequestListener | number>]>([
  ["out of reach", () => findFreePort()],
  ["refusing the request", () => Promise.resolve(refuse)],
  ["failing the request", () => Promise.resolve(fail)],
])("a late connection serves a request when the other engine is %s", async (
  _,
  other,
) => {
  const port = await startSlowRelay(answer, [await other()], {
    route: { maxAttempts: 3 },
  });
  expect(await sendRequest(port)).toMatchObject(WELL);
});

// Guards against unsafe requests that are refused because of a late connection:
// they must not be repeated, but were not sent yet.
test("an unsafe request waits for a late connection, too", async () => {
  const first = counting(answer);
  const port = await startSlowRelay(first.handle, [], {
    route: { kind: "unsafe" },
  });
  expect(await sendRequest(port)).toMatchObject(WELL);
  expect(first.count()).toBe(1);
});

// Guards against an unsafe request that runs twice: the late connection comes
// while another engine has the request.
test("an unsafe request that went on is not sent on a late connection", async () => {
  const first = counting(answer);
  const answerLate: RequestListener = (req, res) =>
    void setTimeout(() => answer(req, res), 1000);
  const other = counting(answerLate);
  const port = await startSlowRelay(first.handle, [other.handle], {
    route: { kind: "unsafe", timeoutMs: 4000 },
  });
  expect(await sendRequest(port, { deadline: "4000" })).toMatchObject(WELL);
  expect([first.count(), other.count()]).toEqual([0, 1]);
});

// Guards against an unsafe request that runs twice: both connections are late, and
// the first one comes first.
test("an unsafe request is sent on the connection that comes first", async () => {
  const first = counting(answer);
  const other = counting(answer);
  const slow = await listen(other.handle);
  const port = await startSlowRelay(first.handle, [portOf(slow)], {
    route: { kind: "unsafe" },
    connectionMs: 600,
  });
  delayConnections(portOf(slow), 390);
  expect(await sendRequest(port)).toMatchObject(WELL);
  await new Promise((resolve) => setTimeout(resolve, 400));
  expect([first.count(), other.count()]).toEqual([1, 0]);
});

// Guards against a request that waits for a connection that never comes, though
// another engine could load its adapter.
test("an adapter is loaded elsewhere while a connection does not come", async () => {
  const loads: number[] = [];
  const first = counting(answer);
  const port = await startSlowRelay(first.handle, [answer], {
    connectionMs: 60_000,
    load: () => {
      loads.push(performance.now());
      return Promise.resolve(true);
    },
    adaptersOf: (i) => i === 0 ? ["a"] : [],
  });
  const headers = { model: "m/a" };
  expect(await sendRequest(port, headers)).toMatchObject(WELL);
  expect(loads).toHaveLength(1);
});

// Guards against a third engine that is not asked because the first one has no
// connection and the second one sends nothing.
test("a further engine is asked when neither of two goes on", async () => {
  const port = await startSlowRelay(answer, [hang, answer], {
    route: { maxAttempts: 3 },
    connectionMs: 60_000,
  });
  expect(await sendRequest(port)).toMatchObject(WELL);
});

// Guards against requests at engines that were drained, removed or evacuated while
// the connection did not come.
test.each<readonly [string, (table: EngineTable) => void]>([
  [
    "leaves",
    (table) => {
      for (const view of table.all()) view.recordLeaving(true, 0, 0);
    },
  ],
  ["is removed", (table) => void table.setEngines([])],
  ["is evacuated", () => undefined],
])(
  "no request is sent to an engine that %s before its connection comes",
  async (
    name,
    change,
  ) => {
    const engineTable = new EngineTable();
    const first = counting(answer);
    let isEvacuated = false;
    const port = await startSlowRelay(first.handle, [], {
      engineTable,
      isEvacuated: () => isEvacuated,
    });
    setTimeout(() => {
      change(engineTable);
      isEvacuated = name === "is evacuated";
    }, 900);
    expect(await sendRequest(port)).toMatchObject({ status: 503 });
    expect(first.count()).toBe(0);
  },
);

// Guards against callers that are held for a connection to a dead machine after
// their time is over.
test("a request without any connection is refused at its deadline", async () => {
  const port = await startSlowRelay(answer, [], { connectionMs: 60_000 });
  const startedAt = performance.now();
  expect(await sendRequest(port, { deadline: "900" }))
    .toMatchObject({ status: 503 });
  expect(performance.now() - startedAt).toBeLessThan(900 + 500);
});
