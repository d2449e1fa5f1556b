import {
  InstanceList,
  type ListedInstance,
  ManualClock,
  type StoreError,
} from "@banyanlb/core";
import { okAsync, type ResultAsync } from "neverthrow";
import { expect, test } from "vitest";
import { InstanceListWatch } from "./instance_list_watch.ts";

const INTERVAL_MS = 1_000;

class FakeList extends InstanceList {
  rows: readonly ListedInstance[] = [];
  read_count = 0;

  override read(): ResultAsync<readonly ListedInstance[], StoreError> {
    this.read_count += 1;
    return okAsync(this.rows);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

function setUp(rows: readonly ListedInstance[]) {
  const clock = new ManualClock();
  const list = new FakeList();
  list.rows = rows;
  const notified: (readonly string[])[] = [];
  let change_count = 0;
  const states = new InstanceListWatch(list, {
    clock,
    interval_ms: INTERVAL_MS,
    onChange: () => change_count++,
    notifyPeers: (names) => notified.push(names),
  });
  const advance = async (ms: number) => {
    for (let i = 0; i < ms; i += 100) {
      clock.advance(100);
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  return {
    list,
    states,
    notified,
    advance,
    changes: () => change_count,
  };
}

test("peers are notified once of a leaving name read from the list", async () => {
  const { list, states, notified, advance } = setUp([{
    name: "a",
    state: "live",
  }]);
  states.start();
  await advance(100);
  expect(states.isLeaving("a")).toBe(false);
  list.rows = [{ name: "a", state: "leaving" }];
  await advance(5 * INTERVAL_MS);
  expect(states.isLeaving("a")).toBe(true);
  expect(notified).toEqual([["a"]]);
});

test("a name reported by a peer expires if the list does not confirm it", async () => {
  const { states, notified, advance, changes } = setUp([]);
  states.start();
  await advance(100);
  states.addReportedLeaving(["b"]);
  expect(states.isLeaving("b")).toBe(true);
  expect([notified.length, changes()]).toEqual([0, 1]);
  await advance(5 * INTERVAL_MS);
  expect(states.isLeaving("b")).toBe(false);
});

test("a list of 2,050 rows is read at most 4 times in 60 seconds", async () => {
  const rows = Array.from({ length: 2_050 }, (_, i) => ({
    name: `t-${i}`,
    state: "live" as const,
  }));
  const { list, states, advance } = setUp(rows);
  states.start();
  await advance(60_000);
  expect(list.read_count).toBeLessThanOrEqual(4);
});
