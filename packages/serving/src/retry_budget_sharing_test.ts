import { expect, test } from "vitest";
import { MemberTable, UNRESPONSIVE_AFTER_MS } from "./member_table.ts";
import { RetryBudget } from "./retry_budget.ts";
import { hearOf } from "./testing/hear_of.ts";
import { memberOf } from "./testing/member_of.ts";

const FIXED_RETRIES = 56;
const FLEET_SIZE = 9;

// Guards against instances that each use the whole budget while none hears of
// the others: after all connections have gone silent, or a restart of all.
test.each([["silent", 10_000], ["restarted", undefined]])(
  "%s instances share the retry budget",
  (_, digestAt) => {
    const now = 10_000 + UNRESPONSIVE_AFTER_MS + 100;
    let retries = 0;
    for (let i = 0; i < FLEET_SIZE; i++) {
      const members = new MemberTable(`i${i}`, 0);
      for (let peer = 0; peer < FLEET_SIZE; peer++) {
        members.add(memberOf(`i${peer}`));
        if (digestAt === undefined) continue;
        hearOf(members, `i${peer}`, { now: digestAt });
      }
      const budget = new RetryBudget({
        ratio: 0.2,
        windowMs: 10_000,
        fixedRetries: FIXED_RETRIES,
      });
      while (budget.tryRetry(now, members.sharingCount(now))) retries += 1;
    }
    expect(retries).toBeLessThanOrEqual(FIXED_RETRIES);
  },
);
