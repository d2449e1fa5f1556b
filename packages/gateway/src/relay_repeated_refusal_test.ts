import { RESPONSE_HEADERS } from "@banyanlb/platform";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import {
  addCleanup,
  cleanUp,
  sendRequest,
  startRelay,
} from "./testing/start_relay.ts";

afterEach(cleanUp);

const UNSAFE = { kind: "unsafe", maxAttempts: 2 } as const;
const NOT_RUN = `${RESPONSE_HEADERS.notRun}: 1\r\n`;

function idHeader(id: string): string {
  return `${RESPONSE_HEADERS.id}: ${id}\r\n`;
}

function refusal(headers: string, status = "503 Busy"): string {
  return `HTTP/1.1 ${status}\r\n${headers}Content-Length: 0\r\n\r\n`;
}

function success(id: string): string {
  return `HTTP/1.1 200 OK\r\n${idHeader(id)}${RESPONSE_HEADERS.seal}: s\r\n` +
    "Content-Length: 4\r\n\r\nwell";
}

/** A request as an engine received it. */
interface ReceivedRequest {
  readonly id: string;
  readonly socket: Socket;
  /** Its number on its connection, from 1. */
  readonly position: number;
}

/** Starts an engine that answers each request by bytes of its own. Returns its
 * port and the ids of the requests that it ran, as `answer` records them. */
async function startEngine(
  answer: (request: ReceivedRequest, runs: string[]) => void,
) {
  const runs: string[] = [];
  const server = createServer((socket) => {
    let position = 0;
    // The gateway may reset the connection.
    socket.on("error", () => undefined);
    socket.on("data", (bytes: Buffer) => {
      const id = /^request-id: (\S+)/im.exec(bytes.toString())?.[1] ?? "";
      position += 1;
      answer({ id, socket, position }, runs);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  addCleanup(() => server.close());
  return { port: (server.address() as AddressInfo).port, runs };
}

/** Starts an engine that runs requests. */
function startSound() {
  return startEngine(({ id, socket }, runs) => {
    runs.push(id);
    socket.write(success(id));
  });
}

/** Starts an engine that refuses the first request of each connection and
 * writes `repeated` when the next one arrives, which it runs. */
function startFaulty(repeated: string, beforeMs = 0) {
  return startEngine(({ id, socket, position }, runs) => {
    if (position === 1) {
      socket.write(refusal(idHeader(id) + NOT_RUN));
      return;
    }
    runs.push(id);
    setTimeout(() => {
      socket.write(repeated);
      setTimeout(() => socket.write(success(id)), 20);
    }, beforeMs);
  });
}

// A refusal says "not run" of the request that it answers only. It came again on
// a kept connection, was taken for the answer to the next request, and that one
// was refused or run by a second engine as well.
describe("a refusal written once more on a kept connection", () => {
  test.each([
    ["without an id", refusal(NOT_RUN)],
    ["without an id, as 421", refusal("", "421 Misdirected")],
    ["without an id, as 429", refusal(NOT_RUN, "429 Many")],
    [
      "without an id, after an early head",
      "HTTP/1.1 103 Early\r\n\r\n" +
      refusal(NOT_RUN),
    ],
    ["with the id of the request before", refusal(idHeader("r1") + NOT_RUN)],
    ["without an id or a statement", refusal("", "429 Many")],
    ["as a failure without an id", refusal("", "404 Not Found")],
  ])("%s is not believed", async (_, repeated) => {
    const faulty = await startFaulty(repeated);
    const port = await startRelay([faulty.port], { route: UNSAFE });
    expect((await sendRequest(port)).status).toBe(503);
    const response = await sendRequest(port, { "request-id": "r2" });
    expect(faulty.runs).toEqual(["r2"]);
    expect(response.status).toBe(502);
  });

  test("does not bring the request to a second engine", async () => {
    const runs: string[] = [];
    const start = () =>
      startEngine(({ id, socket, position }) => {
        if (position === 1) return socket.write(success(id));
        runs.push(id);
        socket.write(refusal(NOT_RUN));
      });
    const ports = [(await start()).port, (await start()).port];
    const port = await startRelay(ports, { route: UNSAFE });
    // Both engines have a kept connection.
    await Promise.all(
      ["a", "b", "c", "d"].map((id) => sendRequest(port, { "request-id": id })),
    );
    runs.length = 0;
    const response = await sendRequest(port, { "request-id": "r2" });
    expect(runs).toEqual(["r2"]);
    expect(response.status).toBe(502);
  });

  test("in the same packet does no harm to the next request", async () => {
    const engine = await startEngine(({ id, socket }, runs) => {
      runs.push(id);
      socket.write(success(id) + refusal(idHeader(id) + NOT_RUN));
    });
    const port = await startRelay([engine.port], { route: UNSAFE });
    for (const id of ["r1", "r2", "r3"]) {
      const response = await sendRequest(port, { "request-id": id });
      expect(response).toMatchObject({ status: 200, body: "well" });
    }
    expect(engine.runs).toEqual(["r1", "r2", "r3"]);
  });

  test("while no request waits does no harm to the next one", async () => {
    const engine = await startEngine(({ id, socket }, runs) => {
      runs.push(id);
      socket.write(success(id));
      setTimeout(() => socket.write(refusal(NOT_RUN)), 10);
    });
    const port = await startRelay([engine.port], { route: UNSAFE });
    for (const id of ["r1", "r2", "r3"]) {
      const response = await sendRequest(port, { "request-id": id });
      expect(response).toMatchObject({ status: 200, body: "well" });
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    expect(engine.runs).toEqual(["r1", "r2", "r3"]);
  });

  // The request is sent to the engine again under the same id, so the id does
  // not tell the earlier refusal from one of the second attempt.
  test("is not read as the answer to the same request sent again", async () => {
    const engine = await startEngine(({ id, socket, position }, runs) => {
      const missing = refusal(idHeader(id), "421 Misdirected");
      if (runs.length === 0 && position === 1 && !hasRefused) {
        hasRefused = true;
        socket.write(missing);
        return;
      }
      runs.push(id);
      if (position > 1) socket.write(missing);
      setTimeout(() => socket.write(success(id)), 20);
    });
    let hasRefused = false;
    const port = await startRelay([engine.port], {
      route: UNSAFE,
      adapters: ["a1"],
    });
    const response = await sendRequest(port, { model: "m/a1" });
    expect(engine.runs).toEqual(["r1"]);
    expect(response).toMatchObject({ status: 200, body: "well" });
  });
});

// A fresh connection carries no earlier answer.
test("a refusal without an id on a new connection is believed", async () => {
  const busy = await startEngine(({ socket }) =>
    socket.write(refusal(NOT_RUN))
  );
  const sound = await startSound();
  const refusing = await startRelay([busy.port], { route: UNSAFE });
  expect((await sendRequest(refusing)).status).toBe(503);
  const port = await startRelay([busy.port, sound.port], { route: UNSAFE });
  expect((await sendRequest(port)).status).toBe(200);
});

// Only an engine's own statement says that it did not run the request; the
// status alone became a promise to the caller.
test.each(["408 Timeout", "429 Many", "503 Busy"])(
  "an unsafe request that gets %s without a statement is not called not run",
  async (status) => {
    const engine = await startEngine(({ id, socket }, runs) => {
      runs.push(id);
      socket.write(refusal(idHeader(id), status));
    });
    const port = await startRelay([engine.port], { route: UNSAFE });
    expect((await sendRequest(port)).status).toBe(502);
    expect(engine.runs).toEqual(["r1"]);
  },
);

// The client closes such a connection without an event: the request waited for
// its deadline.
test.each(["unsafe", "safe"] as const)(
  "a change of the protocol is no answer on a route of kind %s",
  async (kind) => {
    const changing = await startEngine(({ id, socket }) =>
      socket.write(
        `HTTP/1.1 101 Switching\r\n${idHeader(id)}Upgrade: x\r\n` +
          "Connection: upgrade\r\n\r\n" + refusal(idHeader(id) + NOT_RUN),
      )
    );
    const port = await startRelay([changing.port], {
      route: { kind, maxAttempts: 1, timeoutMs: 5000 },
    });
    const startedAt = performance.now();
    const response = await sendRequest(port, { deadline: "5000" });
    expect(response.status).toBe(502);
    expect(performance.now() - startedAt).toBeLessThan(2500);
  },
);
