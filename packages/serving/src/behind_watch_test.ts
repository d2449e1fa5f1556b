import { expect, test } from "vitest";
import { LagDetector } from "./behind_watch.ts";

test("a peer that stays ahead is asked", () => {
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

test("peers that are cut off as well do not put the time back", () => {
  const detector = new LagDetector();
  for (let now = 0; now < 400; now += 100) {
    detector.observe({ ownRevision: 5, peerRevision: 7, now });
    detector.observe({ ownRevision: 5, peerRevision: 5, now: now + 50 });
  }
  expect(detector.observe({ ownRevision: 5, peerRevision: 7, now: 400 })).toBe(
    true,
  );
});

test("a watch that catches up by itself asks nobody", () => {
  const detector = new LagDetector();
  detector.observe({ ownRevision: 5, peerRevision: 7, now: 0 });
  expect(detector.observe({ ownRevision: 7, peerRevision: 7, now: 500 })).toBe(
    false,
  );
  expect(detector.observe({ ownRevision: 7, peerRevision: 8, now: 600 })).toBe(
    false,
  );
});
