import { request } from "node:http";
import { BodyRoom } from "@banyanlb/serving";
import { afterEach, expect, test, vi } from "vitest";
import {
  cleanUp,
  listen,
  portOf,
  SEALED_HEADERS,
  startRelay,
} from "./testing/start_relay.ts";

afterEach(cleanUp);

const BODY_BYTES = 100_000;
const ROOM_BYTES = 600_000;

/** Sends a request with a body; resolves to status and text. */
function post(
  port: number,
  options: { readonly isChunked: boolean },
): Promise<{ readonly status: number; readonly text: string }> {
  return new Promise((resolve, reject) => {
    const body = Buffer.alloc(BODY_BYTES, "x");
    const req = request({
      host: "127.0.0.1",
      port,
      method: "POST",
      headers: {
        host: "h",
        "request-id": "r1",
        deadline: "2000",
        ...(options.isChunked ? {} : { "content-length": body.length }),
      },
    }, (res) => {
      let text = "";
      res.on("data", (chunk) => (text += chunk));
      res.on("end", () => resolve({ status: res.statusCode ?? 0, text }));
    });
    req.on("error", reject);
    req.end(body);
  });
}

// LOST: bodies counted only until they had been read, but were kept until their
// requests ended. A process that served long answers exceeded its memory and was
// killed with all its requests.
test.each([false, true])(
  "bodies of requests that wait for their answers take room, chunked: %s",
  async (isChunked) => {
    let runs = 0;
    const answers: (() => void)[] = [];
    const engine = await listen((req, res) => {
      runs += 1;
      req.resume();
      answers.push(() => {
        res.writeHead(200, SEALED_HEADERS);
        res.end("well");
      });
    });
    const room = new BodyRoom(ROOM_BYTES);
    const port = await startRelay([portOf(engine)], {
      route: { kind: "unsafe" },
      bodyRoom: room,
      maxBodyBytes: 2 * BODY_BYTES,
    });
    const first = Array.from({ length: 10 }, () => post(port, { isChunked }));
    const refused = await Promise.race(first);
    expect(refused.status).toBe(503);
    expect(JSON.parse(refused.text)).toEqual({
      error: { type: "no_memory", not_run: true },
    });
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(runs).toBe(4);
    for (const answer of answers.splice(0)) answer();
    const statuses = (await Promise.all(first)).map(({ status }) => status);
    expect(statuses.filter((status) => status === 200).length).toBe(4);
    expect(statuses.filter((status) => status === 503).length).toBe(6);
    // The room is free again.
    expect(room.has("", 4 * BODY_BYTES)).toBe(true);
    const next = post(port, { isChunked });
    await vi.waitFor(() => expect(runs).toBe(5));
    for (const answer of answers) answer();
    expect((await next).status).toBe(200);
  },
);
