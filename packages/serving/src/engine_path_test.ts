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

// Guards against fast responses of before that hide a link that has become full.
test("a few slow responses replace fast ones of before", () => {
  const path = answered([18, 20, 19]);
  for (const ms of [1416, 1418, 1420]) {
    path.recordResponse(path.start(100), 100 + ms);
  }
  expect(path.delayMs(1600)).toBe(1416);
});

// Guards against requests that follow each other onto a path that has become
// slow, since the last response was fast.
test("waiting counts while requests wait", () => {
  const path = answered([20]);
  path.start(100);
  path.start(600);
  expect(path.delayMs(200)).toBe(100);
  expect(path.delayMs(1100)).toBe(1000);
});

test("an engine that answers later requests is not waited for", () => {
  const path = answered([20]);
  path.start(100);
  path.recordResponse(path.start(900), 950);
  expect(path.delayMs(1000)).toBe(20);
});

// Guards against a slow path that stays unknown since all callers leave before
// the responses.
test("requests that are given up one after another show a slow path", () => {
  const path = answered([20]);
  for (let at = 100; at <= 1000; at += 100) {
    const probe = path.start(at);
    path.end(probe, at + 150);
  }
  expect(path.delayMs(1200)).toBe(1050);
  expect(path.delayMs(1150 + 5000)).toBe(0);
});

test("a response to a later request ends the silence", () => {
  const path = answered([20]);
  path.end(path.start(100), 400);
  path.recordResponse(path.start(300), 420);
  expect(path.delayMs(500)).toBe(20);
});

test("requests that were given up long before show nothing", () => {
  const path = answered([20]);
  path.end(path.start(100), 400);
  path.end(path.start(3000), 3100);
  expect(path.delayMs(3200)).toBe(100);
});

// Guards against an engine that is never tried again.
test("a slow path is forgotten", () => {
  const path = answered([1000]);
  expect(path.delayMs(5900)).toBe(1000);
  expect(path.delayMs(6100)).toBe(0);
});

test("a request that has ended waits no more", () => {
  const path = new EnginePath();
  path.end(path.start(0), 10);
  expect(path.delayMs(100)).toBe(10);
});

// Guards against instances that each learn of a full link by requests of their
// own.
test("the report of a peer counts until later requests were answered", () => {
  const path = answered([20]);
  path.recordReport(1400, 100);
  expect(path.delayMs(200)).toBe(1400);
  expect(path.ownDelayMs(200)).toBe(20);
  path.recordResponse(path.start(300), 320);
  expect(path.delayMs(400)).toBe(20);
  path.recordReport(1400, 500);
  expect(path.delayMs(2100)).toBe(20);
});
