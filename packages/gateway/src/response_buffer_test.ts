import { expect, test } from "vitest";
import { RESPONSE_MAX_BYTES, ResponseBuffer } from "./response_buffer.ts";

const CHUNK = Buffer.alloc(1024 * 1024);

function fill(buffer: ResponseBuffer): number {
  let chunkCount = 0;
  while (buffer.push(CHUNK)) chunkCount += 1;
  return chunkCount;
}

test("a body may be as large as a response and no larger", () => {
  const buffer = new ResponseBuffer();
  expect(fill(buffer)).toBe(RESPONSE_MAX_BYTES / CHUNK.length);
  expect(buffer.concat().length).toBe(0);
});

// Each body is within its own limit, but together they would fill the memory.
test("bodies share a limit, and released ones make room", () => {
  const buffers = Array.from({ length: 100 }, () => new ResponseBuffer());
  const accepted = buffers.filter((buffer) => buffer.push(CHUNK));
  expect(accepted.length).toBe(48);
  for (const buffer of accepted) {
    expect(buffer.concat().length).toBe(CHUNK.length);
  }
  accepted[0]?.release();
  accepted[0]?.release();
  const next = new ResponseBuffer();
  expect(next.push(CHUNK)).toBe(true);
  expect(new ResponseBuffer().push(CHUNK)).toBe(false);
  for (const buffer of [...buffers, next]) buffer.release();
  expect(fill(new ResponseBuffer())).toBe(RESPONSE_MAX_BYTES / CHUNK.length);
});
