import { expect, test } from "vitest";
import { LagDetector } from "./lag_detector.ts";

test("the records of a peer that stays ahead are requested", () => {
  const detector = new LagDetector();
  expect(detector.observe({ ownRevision: 5, peerRevision: 7, now: 0 })).toBe(
    false,
  );
  expect(detector.observe({ ownRevision: 5, peerRevision: 7, now: 200 })).toBe(
    false,
  );
  expect(detector.observe({ ownRevision: 5, peerRevision: 7, now: 400 })).toBe(
    true,
  );
});

test("peers that lag as well do not restart the tolerance", () => {
  const detector = new LagDetector();
  for (let now = 0; now < 400; now += 100) {
    detector.observe({ ownRevision: 5, peerRevision: 7, now });
    detector.observe({ ownRevision: 5, peerRevision: 5, now: now + 50 });
  }
  expect(detector.observe({ ownRevision: 5, peerRevision: 7, now: 400 })).toBe(
    true,
  );
});

test("a watch that catches up by itself requests nothing", () => {
  const detector = new LagDetector();
  detector.observe({ ownRevision: 5, peerRevision: 7, now: 0 });
  expect(detector.observe({ ownRevision: 7, peerRevision: 7, now: 500 })).toBe(
    false,
  );
  expect(detector.observe({ ownRevision: 7, peerRevision: 8, now: 600 })).toBe(
    false,
  );
});
