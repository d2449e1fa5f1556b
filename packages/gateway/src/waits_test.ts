import { connect } from "node:net";
import { afterEach, expect, test, vi } from "vitest";
import { OwnerWaits } from "./owner_waits.ts";
import {
  cleanUp,
  type RelayOptions,
  sendRequest,
  startRelay,
} from "./testing/start_relay.ts";

afterEach(cleanUp);

const TIMEOUT_MS = 400;

/** How late an answer may be after its route's time-out, in milliseconds. */
const LATE_MAX_MS = 500;

const never = new Promise<never>(() => undefined);

// Guards against requests without any answer: what they wait for comes later than
// their route's time-out, or never.
test.each<{ waits: string; relay: Partial<RelayOptions> }>([
  { waits: "an owner that stands still", relay: { load: () => never } },
  { waits: "a version", relay: { streamDecision: never } },
])("a request that waits for $waits is answered in time", async ({ relay }) => {
  const port = await startRelay([() => undefined], {
    route: { kind: "stream", resumable: true, timeoutMs: TIMEOUT_MS },
    ...relay,
  });
  const startedAt = performance.now();
  const headers = { model: "m/a1", deadline: "2000" };
  const { status, retryAfter } = await sendRequest(port, headers);
  const ms = performance.now() - startedAt;
  expect(status).toBe(503);
  expect(retryAfter).toBeDefined();
  expect(ms).toBeLessThan(TIMEOUT_MS + LATE_MAX_MS);
});

test("a request whose body does not end is answered in time", async () => {
  const port = await startRelay([() => undefined], {
    route: { kind: "safe", timeoutMs: TIMEOUT_MS },
  });
  const socket = connect(port, "127.0.0.1");
  const startedAt = performance.now();
  socket.write(
    "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\n1",
  );
  const answer = await new Promise<string>((resolve) => {
    socket.once("data", (chunk) => resolve(chunk.toString()));
  });
  socket.destroy();
  expect(answer).toMatch(/^HTTP\/1.1 408 /);
  expect(performance.now() - startedAt).toBeLessThan(TIMEOUT_MS + LATE_MAX_MS);
});

// Guards against requests that wait for the load of an owner that is gone, although
// other engines could serve them.
test("a wait for an owner ends once it can order nothing", async () => {
  vi.useFakeTimers();
  try {
    const owners = new Set(["e1", "e2"]);
    const waits = new OwnerWaits((key) => owners.has(key));
    const ends: Record<string, boolean> = {};
    const wait = (key: string, reply: Promise<boolean>) =>
      void waits.reply(key, reply).then((ok) => (ends[key] = ok));
    wait("e1", never);
    wait("e2", new Promise((resolve) => setTimeout(resolve, 1000, true)));
    await vi.advanceTimersByTimeAsync(500);
    expect(ends).toEqual({});
    owners.delete("e1");
    await vi.advanceTimersByTimeAsync(200);
    expect(ends).toEqual({ e1: false });
    await vi.advanceTimersByTimeAsync(1000);
    expect(ends).toEqual({ e1: false, e2: true });
    expect(vi.getTimerCount()).toBe(0);
  } finally {
    vi.useRealTimers();
  }
});
