import { expect, test } from "vitest";
import { AttemptLimit } from "./attempt_limit.ts";

function countAttempts(mayHaveRun: (attempt: number) => boolean): number {
  const limit = new AttemptLimit();
  let attempts = 0;
  while (limit.allowsAnother) {
    attempts += 1;
    limit.recordFailure({ mayHaveRun: mayHaveRun(attempts) });
  }
  return attempts;
}

// A completion that crashes targets was sent to four of them.
test("a request that targets may have run goes to two of them", () => {
  expect(countAttempts(() => true)).toBe(2);
});

test("a request that no target ran goes to four of them", () => {
  expect(countAttempts(() => false)).toBe(4);
  expect(countAttempts((attempt) => attempt === 2)).toBe(4);
  expect(countAttempts((attempt) => attempt > 2)).toBe(4);
});
