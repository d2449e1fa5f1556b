import { expect, test } from "vitest";
import { EventFramer } from "./event_framer.ts";

// Each chunk was joined with all before it, so that an event in many chunks took
// seconds.
test("an event in many small chunks takes time in proportion to its size", () => {
  const framer = new EventFramer();
  const startedAt = performance.now();
  for (let i = 0; i < 200_000; i += 1) framer.push(Buffer.from("data: x\n"));
  expect(framer.pendingBytes).toBe(1_600_000);
  const { bytes, lastId } = framer.push(Buffer.from("id: 4\n\nid: 5"));
  expect(performance.now() - startedAt).toBeLessThan(2000);
  expect(bytes.length).toBe(1_600_007);
  expect(lastId).toBe("4");
  expect(framer.pendingBytes).toBe(5);
});

test("events split at any byte are the same", () => {
  const text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\ndata";
  for (let size = 1; size <= text.length; size += 1) {
    const framer = new EventFramer();
    let sent = "";
    let lastId: string | undefined;
    for (let at = 0; at < text.length; at += size) {
      const framed = framer.push(Buffer.from(text.slice(at, at + size)));
      sent += framed.bytes.toString();
      lastId = framed.lastId ?? lastId;
    }
    expect(sent).toBe(text.slice(0, text.indexOf("id: 3")));
    expect(lastId).toBe("2");
    expect(framer.pendingBytes).toBe("id: 3\ndata".length);
  }
});

test("an event cut in the middle is held back, then dropped", () => {
  const framer = new EventFramer();
  const first = framer.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  expect(first.bytes.toString()).toBe("id: 1\ndata: a\n\n");
  expect(first.lastId).toBe("1");
  expect(framer.pendingBytes).toBeGreaterThan(0);
  framer.reset();
  const next = framer.push(Buffer.from("id: 2\ndata: b\n\n"));
  expect(next.bytes.toString()).toBe("id: 2\ndata: b\n\n");
  expect(next.lastId).toBe("2");
});

test("events are complete for every chunk size", () => {
  const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
  for (let size = 1; size < text.length; size += 1) {
    const framer = new EventFramer();
    let out = "";
    let last: string | undefined;
    for (let i = 0; i < text.length; i += size) {
      const framed = framer.push(Buffer.from(text.slice(i, i + size)));
      out += framed.bytes.toString();
      last = framed.lastId ?? last;
    }
    expect(out).toBe(text);
    expect(last).toBe("3");
    expect(framer.pendingBytes).toBe(0);
  }
});
