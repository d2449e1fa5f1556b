import { ManualClock } from "@banyanlb/core";
import { setImmediate } from "node:timers/promises";
import { expect, test } from "vitest";
import { runCoordination } from "./run_coordination.ts";

const STEP_MS = 5;

/** Runs the examples with a manual clock, so that the result doesn't depend on
 * the speed of the machine. */
async function runByManualClock(): Promise<readonly string[]> {
  const clock = new ManualClock();
  const lines: string[] = [];
  let running = true;
  const run = runCoordination((line) => lines.push(line), clock)
    .finally(() => running = false);
  while (running) {
    clock.advance(STEP_MS);
    await setImmediate();
  }
  await run;
  return lines;
}

test("the examples print the expected result of each part", async () => {
  expect(await runByManualClock()).toEqual([
    "lease: valid without the store: true",
    "lease: valid after close: false",
    "lease: ended by its successor: a.1",
    "ownership: slots of a and b: 4, 4",
    "ownership: engine-1 is owned by b.1",
    "ownership: permit for drafts@1 at engine-1, usable: true",
    "rate: reserved 450 tokens, usable: true",
    "rate: the next request: rate_limited",
    "rate: a request above the burst: over_burst",
    "intent: first attempt: taken",
    "intent: at the same time elsewhere: already_taken",
    "intent: repeated later: replayed",
    "intent: the same key with another body: key_reused",
    "published: a key without workspace: rejected",
    "published: both together: generation 1",
    "published: in force on the other instance: acme-1",
    "published: an edit with an old base: conflict",
  ]);
});
