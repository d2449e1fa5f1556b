import { EventLog } from "@banyanlb/core";
import { confirmationTimes } from "@banyanlb/serving";
import pino from "pino";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { RecordFollower } from "./record_follower.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

// Guards against an instance that counts as cut off from the store for the rest
// of its life, since it ceased to be a store reader during an outage.
test("an instance that watches no more reports that the store replies again", async () => {
  const store = new FakeRecordStore();
  store.write("configuration", "main", 1);
  let mayWatch = true;
  let isReachable = true;
  const follower = new RecordFollower(store, {
    kind: "configuration",
    waitMs: 25_000,
    watchPauseMs: () => 0,
    mayWatch: () => mayWatch,
    confirmationTimes: confirmationTimes(2500),
    onRecords: () => undefined,
    onReachabilityChange: (reachable) => isReachable = reachable,
    log: new EventLog(pino({ level: "silent" })),
  });
  void follower.run();
  await vi.advanceTimersByTimeAsync(1000);
  await Promise.all([store.resetWatches(), vi.advanceTimersByTimeAsync(10)]);
  expect(isReachable).toBe(false);
  // Another instance is the reader again.
  mayWatch = false;
  for (let i = 0; i < 100; i++) {
    follower.restartSilentWatch();
    if (follower.nextConfirmationStep(performance.now(), "member") === "read") {
      void follower.confirm();
    }
    await vi.advanceTimersByTimeAsync(200);
  }
  expect(follower.ageMs(performance.now())).toBeLessThan(2500);
  expect(isReachable).toBe(true);
  follower.close();
  store.close();
});
