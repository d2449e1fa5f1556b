import { expect, test } from "vitest";
import { Confirmation, confirmationTimes } from "./confirmation.ts";

const BOUND_MS = 2500;
const TICK_MS = 200;
const READ_TIMEOUT_MS = 400;

test("the lead reads, the others ask before they read", () => {
  const times = confirmationTimes(BOUND_MS);
  const confirmation = new Confirmation(times);
  confirmation.record(0);
  expect(confirmation.nextStep(times.leadMs, "lead")).toBe("read");
  expect(confirmation.nextStep(times.leadMs, "member")).toBe("none");
  expect(confirmation.nextStep(times.askMs, "member")).toBe("ask");
  expect(confirmation.nextStep(times.readMs, "member")).toBe("read");
});

// Without the lead, on a dead connection, and with the tick just missed.
test("a change is read within the bound if the first read times out", () => {
  const { readMs } = confirmationTimes(BOUND_MS);
  const confirmation = new Confirmation(confirmationTimes(BOUND_MS));
  confirmation.record(0);
  let now = readMs + TICK_MS;
  expect(confirmation.nextStep(now, "member")).toBe("read");
  now += READ_TIMEOUT_MS;
  confirmation.recordFailure(now, 1);
  while (confirmation.nextStep(now, "member") !== "read") now += TICK_MS;
  expect(now).toBeLessThan(BOUND_MS - TICK_MS);
});

test("reads pause for longer after each failure, until the store answers", () => {
  const confirmation = new Confirmation(confirmationTimes(BOUND_MS));
  const pauses: number[] = [];
  let now = 0;
  for (let i = 0; i < 6; i += 1) {
    confirmation.recordFailure(now, 0.5);
    const failedAt = now;
    while (confirmation.nextStep(now, "lead") !== "read") now += 10;
    pauses.push(now - failedAt);
  }
  expect(pauses).toEqual([200, 400, 800, 1600, 1600, 1600]);
  confirmation.recordContact();
  expect(confirmation.nextStep(now, "lead")).toBe("read");
  expect(confirmation.isFailing(now)).toBe(false);
});

test("an older confirmation does not replace a newer one", () => {
  const confirmation = new Confirmation(confirmationTimes(BOUND_MS));
  confirmation.record(900);
  confirmation.record(400);
  expect(confirmation.ageMs(1000)).toBe(100);
});

// Guards against instances that all read a list at once, while the instances
// that they ask are lost or wait for their own.
test("the last instances read later, but within the bound", () => {
  const times = confirmationTimes(BOUND_MS);
  const confirmation = new Confirmation(times);
  confirmation.record(0);
  expect(confirmation.nextStep(times.readMs, "last")).toBe("ask");
  expect(confirmation.nextStep(times.lastReadMs, "last")).toBe("read");
  const latest = times.lastReadMs + TICK_MS + READ_TIMEOUT_MS;
  expect(latest).toBeLessThan(BOUND_MS);
});
