import { expect, test } from "vitest";
import { EnginePath } from "./engine_path.ts";

/** A path on which requests were answered after these times. */
function answered(times: readonly number[]): EnginePath {
  const path = new EnginePath();
  for (const ms of times) path.recordResponse(path.start(0), ms);
  return path;
}

// Guards against long prompts that are taken for a slow path.
test("the fastest recent response bounds the path", () => {
  expect(answered([900, 120, 2000]).delayMs(2100)).toBe(120);
});

// Guards against requests that follow each other onto a path that has become
// slow, since the last response was fast.
test("silence counts while a request waits", () => {
  const path = answered([20]);
  path.start(100);
  expect(path.delayMs(200)).toBe(100);
  expect(path.delayMs(1100)).toBe(1000);
});

test("an engine that answers others is not silent", () => {
  const path = answered([20]);
  path.start(100);
  path.recordResponse(path.start(900), 950);
  expect(path.delayMs(1000)).toBe(50);
});

// Guards against an engine that is never tried again.
test("a slow path is forgotten", () => {
  const path = answered([1000]);
  expect(path.delayMs(3900)).toBe(1000);
  expect(path.delayMs(4100)).toBe(0);
});

test("a request that has ended waits no more", () => {
  const path = new EnginePath();
  path.end(path.start(0));
  expect(path.delayMs(5000)).toBe(0);
});
