import type { RequestListener } from "node:http";
import { afterEach, expect, test } from "vitest";
import {
  cleanUp,
  SEALED_HEADERS,
  sendRequest,
  startRelay,
} from "../testing/start_relay.ts";

afterEach(cleanUp);

const STREAM = { kind: "stream", resumable: true, maxAttempts: 4 } as const;

/** Sends one event, and breaks the connection off. */
const breakAfterEvent: RequestListener = (req, res) => {
  res.writeHead(200, SEALED_HEADERS);
  res.write("id: 1\ndata: a\n\n");
  setTimeout(() => req.socket.destroy(), 20);
};

/** Sends one event, and nothing more. */
const stallAfterEvent: RequestListener = (_, res) => {
  res.writeHead(200, SEALED_HEADERS);
  res.write("id: 1\ndata: a\n\n");
};

const breakBeforeEvent: RequestListener = (req, res) => {
  res.writeHead(200, SEALED_HEADERS);
  res.flushHeaders();
  setTimeout(() => req.socket.destroy(), 20);
};

/** Ends the stream with an event that carries `data`. */
function finishWith(
  data: string,
  onRequest: () => void = () => undefined,
): RequestListener {
  return (req, res) => {
    onRequest();
    const id = Number(req.headers["last-event-id"] ?? 0) + 1;
    res.writeHead(200, SEALED_HEADERS);
    res.end(`id: ${id}\ndata: ${data}\n\n`);
  };
}

// Guards against answers joined from two software versions: each engine of the
// service could go on with a stream that broke off or fell silent.
test.each([["breaks off", breakAfterEvent], ["falls silent", stallAfterEvent]])(
  "a stream whose engine %s goes on at an engine of its version only",
  async (_, begin) => {
    const port = await startRelay(
      [begin, finishWith("other"), finishWith("b")],
      { route: STREAM, softwareVersions: ["v1", "v2", "v1"] },
    );
    expect(await sendRequest(port)).toMatchObject({
      body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
      isComplete: true,
    });
  },
);

test("a stream ends at once if no engine of its version is left", async () => {
  let requestCount = 0;
  const port = await startRelay(
    [breakAfterEvent, finishWith("other", () => (requestCount += 1))],
    { route: STREAM, softwareVersions: ["v1", "v2"] },
  );
  const startedAt = performance.now();
  const response = await sendRequest(port);
  expect(response).toMatchObject({
    body: "id: 1\ndata: a\n\n",
    isComplete: false,
  });
  expect(requestCount).toBe(0);
  expect(performance.now() - startedAt).toBeLessThan(1000);
});

test("a stream without an event may go on at any version", async () => {
  const port = await startRelay([breakBeforeEvent, finishWith("a")], {
    route: STREAM,
    softwareVersions: ["v1", "v2"],
  });
  expect(await sendRequest(port)).toMatchObject({
    body: "id: 1\ndata: a\n\n",
    isComplete: true,
  });
});
