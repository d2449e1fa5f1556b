import { expect, test } from "vitest";
import { EventFramer } from "./event_framer.ts";

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
