import type { RequestListener } from "node:http";
import { afterEach, expect, test } from "vitest";
import {
  cleanUp,
  SEALED_HEADERS,
  sendRequest,
  startRelay,
} from "../testing/start_relay.ts";

afterEach(cleanUp);

/** Time within which an engine must be rid of a request that went on at another
 * one, in milliseconds: the deployments' bound. */
const GIVEN_UP_WITHIN_MS = 400;

const BEGINNING = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const END = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n";
const STREAM_HEADERS = {
  ...SEALED_HEADERS,
  "content-type": "text/event-stream",
};

/** From when to when an engine had the request's connection. */
interface Span {
  readonly engine: string;
  readonly from: number;
  to: number;
}

/** Notes when engines have the request. */
class Spans {
  readonly #spans: Span[] = [];

  record(engine: string, handle: RequestListener): RequestListener {
    return (req, res) => {
      const from = performance.now();
      const span: Span = { engine, from, to: Infinity };
      this.#spans.push(span);
      res.on("close", () => (span.to = performance.now()));
      handle(req, res);
    };
  }

  /** The longest time for which two engines had the request. */
  get longestOverlapMs(): number {
    const overlaps = this.#spans.flatMap((a) =>
      this.#spans.filter((b) => b.engine > a.engine).map((b) =>
        Math.min(a.to, b.to) - Math.max(a.from, b.from)
      )
    );
    return Math.max(0, ...overlaps);
  }
}

/** An engine that begins a stream, then sends nothing for `silentMs`, and sends
 * the rest, also to requests that come meanwhile. */
function fallSilent(silentMs: number): RequestListener {
  let soundAt: number | undefined;
  return (req, res) => {
    if (req.headers["last-event-id"] === undefined) {
      res.writeHead(200, STREAM_HEADERS);
      res.write(BEGINNING);
    }
    soundAt ??= performance.now() + silentMs;
    setTimeout(() => {
      if (!res.headersSent) res.writeHead(200, STREAM_HEADERS);
      res.end(END);
    }, Math.max(0, soundAt - performance.now()));
  };
}

function startStreams(
  handlers: readonly RequestListener[],
  maxAttempts: number,
): Promise<number> {
  return startRelay(handlers, {
    route: {
      kind: "stream",
      resumable: true,
      timeoutMs: 6000,
      targetLatencyMs: 600,
      maxAttempts,
    },
  });
}

const hang: RequestListener = () => undefined;

// Guards against answers that are lost because the engine that goes on again has
// lost them to one that says nothing at all.
test.each([2, 3])(
  "a silent engine goes on after all if the other one says nothing, with %i runs",
  async (maxAttempts) => {
    const spans = new Spans();
    const port = await startStreams([
      spans.record("first", fallSilent(2000)),
      spans.record("other", hang),
    ], maxAttempts);
    const startedAt = performance.now();
    const response = await sendRequest(port, { deadline: "6000" });
    expect(response).toMatchObject({ body: BEGINNING + END, isComplete: true });
    expect(performance.now() - startedAt).toBeLessThan(3500);
    expect(spans.longestOverlapMs).toBeLessThan(GIVEN_UP_WITHIN_MS);
  },
  15_000,
);

// Guards against errors in place of an answer: an engine that was late before its
// first byte has lost the request to one that says nothing at all.
test("a late engine answers after all if the other one says nothing", async () => {
  const soundAt = performance.now() + 900;
  const port = await startRelay([(_, res) =>
    void setTimeout(() => {
      res.writeHead(200, SEALED_HEADERS);
      res.end("well");
    }, Math.max(0, soundAt - performance.now())), hang], { route: {} });
  expect(await sendRequest(port)).toMatchObject({ status: 200, body: "well" });
});

// Guards against an answer under way that is lost to an engine that was silent
// before and still is: the other one is only slow.
test("a slow engine keeps the request that a silent one has lost", async () => {
  const spans = new Spans();
  const slow: RequestListener = (_, res) =>
    void setTimeout(() => {
      res.writeHead(200, STREAM_HEADERS);
      res.end(END);
    }, 2200);
  const port = await startStreams([
    spans.record("first", fallSilent(60_000)),
    spans.record("other", slow),
  ], 3);
  const startedAt = performance.now();
  const response = await sendRequest(port, { deadline: "6000" });
  expect(response).toMatchObject({ body: BEGINNING + END, isComplete: true });
  expect(performance.now() - startedAt).toBeLessThan(1400 + 2200 + 500);
  expect(spans.longestOverlapMs).toBeLessThan(GIVEN_UP_WITHIN_MS);
}, 15_000);
