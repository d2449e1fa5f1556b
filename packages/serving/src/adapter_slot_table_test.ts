import { expect, test } from "vitest";
import { AdapterSlotTable } from "./adapter_slot_table.ts";
import type { HeldAdapter } from "./types.ts";

const noneAnnounced = () => 0;

function reportOf(
  orderCount: number,
  held: readonly HeldAdapter[] = [],
  fetching: readonly HeldAdapter[] = [],
): Parameters<AdapterSlotTable["applyReport"]>[0] {
  return { orderCount, held, fetching };
}

function held(...names: readonly string[]): readonly HeldAdapter[] {
  return names.map((name) => ({ name, version: 1 }));
}

function tableWith(
  count: number,
  names: readonly string[],
  orders = 0,
): AdapterSlotTable {
  const table = new AdapterSlotTable(count);
  table.applyReport(reportOf(orders, held(...names)), 0);
  return table;
}

test("no order is sent before the first report", () => {
  const table = new AdapterSlotTable(4);
  table.requestLoad("a", 0, 0);
  expect(table.next(0, noneAnnounced)).toBeUndefined();
  table.applyReport(reportOf(7), 0);
  expect(table.next(0, noneAnnounced)).toMatchObject({
    action: "load",
    adapter: "a",
    orderCount: 7,
  });
});

test("an order without a response is followed by one with the same count", () => {
  const table = tableWith(4, [], 3);
  table.requestLoad("a", 0, 0);
  expect(table.next(0, noneAnnounced)?.orderCount).toBe(3);
  table.recordOutcome("unknown", 10, 1);
  // The engine refuses a late copy of the first order once it accepts this one.
  expect(table.next(20, noneAnnounced)).toMatchObject({
    adapter: "a",
    orderCount: 3,
  });
});

test("a refused order stops all orders until the next report", () => {
  const table = tableWith(4, [], 3);
  table.requestLoad("a", 0, 0);
  table.next(0, noneAnnounced);
  table.recordOutcome("refused", 10, 1);
  expect(table.next(20, noneAnnounced)).toBeUndefined();
  table.applyReport(reportOf(4, [], held("x")), 100);
  expect(table.find("x", 0)).toBeDefined();
  expect(table.next(100, noneAnnounced)?.orderCount).toBe(4);
});

test("a refusal for too many fetches keeps the table's state", () => {
  const table = tableWith(9, [], 3);
  table.requestLoad("a", 0, 0);
  table.next(0, noneAnnounced);
  table.recordOutcome("done", 0, 1);
  table.requestLoad("b", 0, 300);
  table.next(300, noneAnnounced);
  table.recordOutcome("refused", 300, 1);
  // This report is older than the last accepted order and is ignored.
  table.applyReport(reportOf(3), 400);
  expect(table.next(400, noneAnnounced)).toBeUndefined();
  table.applyReport(reportOf(4, [], held("a")), 500);
  expect(table.find("a", 0)?.readyAt).toBeGreaterThan(500);
  expect(table.next(500, noneAnnounced)).toMatchObject({
    adapter: "b",
    orderCount: 4,
  });
});

test("a report whose count stays lower than the table's is accepted after the report lag", () => {
  const table = tableWith(9, [], 3);
  table.requestLoad("a", 0, 0);
  table.next(0, noneAnnounced);
  table.recordOutcome("done", 0, 1);
  table.requestLoad("b", 0, 10);
  table.next(10, noneAnnounced);
  table.recordOutcome("refused", 10, 1);
  table.applyReport(reportOf(3, held("a")), 1000);
  expect(table.next(1000, noneAnnounced)?.orderCount).toBe(3);
});

test("burst of cold adapters: two are fetched concurrently while the weight store is busy", () => {
  const table = tableWith(9, []);
  table.setStoreBusy(true);
  for (let i = 0; i < 8; i += 1) table.requestLoad(`a${i}`, 0, 0);
  for (let i = 0; i < 2; i += 1) {
    expect(table.next(0, noneAnnounced)?.action).toBe("load");
    table.recordOutcome("done", 0, 1);
  }
  expect(table.next(0, noneAnnounced)).toBeUndefined();
});

test("held and fetched adapters never exceed the slots", () => {
  const table = tableWith(3, ["a", "b"]);
  let now = 10_000;
  for (let i = 0; i < 200; i += 1) {
    now += 40;
    table.requestLoad(`x${i % 17}`, 0, now);
    const order = table.next(now, noneAnnounced);
    if (order !== undefined) {
      table.recordOutcome("done", now + 5, 1);
    }
    expect(table.list().length).toBeLessThanOrEqual(3);
  }
});

test("at most four adapters are fetched concurrently", () => {
  const table = tableWith(21, []);
  for (let i = 0; i < 8; i += 1) table.requestLoad(`a${i}`, 0, 0);
  for (let i = 0; i < 4; i += 1) {
    expect(table.next(0, noneAnnounced)?.action).toBe("load");
    table.recordOutcome("done", 0, 1);
  }
  expect(table.next(0, noneAnnounced)).toBeUndefined();
  expect(table.next(400, noneAnnounced)?.action).toBe("load");
});

test("shift in demand: the adapter with the least recent use is evicted", () => {
  const table = tableWith(3, ["hot", "was-hot", "cold"]);
  table.recordUse("was-hot", 50, 0, 0);
  table.recordUse("cold", 1, 0, 30_000);
  table.recordUse("hot", 20, 0, 60_000);
  table.requestLoad("new", 0, 61_000);
  expect(table.next(61_000, noneAnnounced)).toMatchObject({
    action: "unload",
    adapter: "cold",
  });
  table.recordOutcome("done", 61_010, 1);
  expect(table.next(61_010, noneAnnounced)).toMatchObject({ adapter: "new" });
});

test("an adapter in use or recently used is not evicted", () => {
  const table = tableWith(2, ["a", "b"]);
  table.recordUse("a", 1, 1, 0);
  table.recordUse("b", 1, 0, 9_900);
  table.requestLoad("c", 0, 10_000);
  expect(table.next(10_000, noneAnnounced)).toBeUndefined();
  table.setInFlight(new Map());
  expect(table.next(10_000, noneAnnounced)).toMatchObject({
    action: "unload",
    adapter: "a",
  });
});

test("a newer version waits until the older one is idle", () => {
  const table = tableWith(4, ["a"]);
  table.recordUse("a", 1, 2, 0);
  expect(table.canLoadSoon("a", 1000)).toBe(false);
  table.requestLoad("a", 2, 1000);
  expect(table.next(1000, () => 2)).toBeUndefined();
  table.setInFlight(new Map());
  expect(table.next(1000, () => 2)).toMatchObject({
    action: "load",
    adapter: "a",
    version: 2,
  });
});

test("an unused outdated version is evicted first", () => {
  const table = tableWith(4, ["a", "b"]);
  const order = table.next(10_000, (adapter) => adapter === "b" ? 2 : 1);
  expect(order).toMatchObject({ action: "unload", adapter: "b" });
});

test("a waiting unload keeps its slot until a report shows the adapter as gone", () => {
  const table = tableWith(2, ["a", "b"], 5);
  table.requestLoad("c", 0, 10_000);
  expect(table.next(10_000, noneAnnounced)?.action).toBe("unload");
  table.recordOutcome("waiting", 10_010, 1);
  expect(table.next(10_020, noneAnnounced)).toBeUndefined();
  table.applyReport(reportOf(6, held("b")), 10_500);
  expect(table.next(10_500, noneAnnounced)).toMatchObject({
    action: "load",
    adapter: "c",
    orderCount: 6,
  });
});

test("a report from before the last order is ignored", () => {
  const table = tableWith(4, [], 3);
  table.requestLoad("a", 0, 0);
  table.next(0, noneAnnounced);
  table.recordOutcome("done", 10, 1);
  table.applyReport(reportOf(3), 50);
  expect(table.find("a", 0)).toBeDefined();
});

test("a recently evicted adapter is expected to load in a tenth of the time", () => {
  const table = tableWith(1, ["a"]);
  table.requestLoad("b", 0, 10_000);
  table.next(10_000, noneAnnounced);
  table.recordOutcome("done", 10_000, 1);
  table.next(10_000, noneAnnounced);
  table.recordOutcome("done", 10_000, 1);
  const first = (table.find("b", 0)?.readyAt ?? 0) - 10_000;
  table.requestLoad("a", 0, 20_000);
  table.next(20_000, noneAnnounced);
  table.recordOutcome("done", 20_000, 1);
  table.next(20_000, noneAnnounced);
  table.recordOutcome("done", 20_000, 1);
  const second = (table.find("a", 0)?.readyAt ?? 0) - 20_000;
  expect(first).toBeGreaterThan(250);
  expect(second).toBeLessThan(50);
});

test("late fetch: the delay doubles with each early request", () => {
  const table = tableWith(4, []);
  table.requestLoad("a", 0, 0);
  table.next(0, noneAnnounced);
  table.recordOutcome("done", 0, 1);
  const waits: number[] = [];
  let now = table.find("a", 0)?.readyAt ?? 0;
  for (let i = 0; i < 4; i += 1) {
    table.recordEarlyRequest("a", now);
    const readyAt = table.find("a", 0)?.readyAt ?? 0;
    waits.push(readyAt - now);
    now = readyAt;
  }
  expect(waits).toEqual([30, 60, 120, 240]);
});

test("several early requests at the same time count once", () => {
  const table = tableWith(4, []);
  table.requestLoad("a", 0, 0);
  table.next(0, noneAnnounced);
  table.recordOutcome("done", 0, 1);
  const now = table.find("a", 0)?.readyAt ?? 0;
  for (let i = 0; i < 5; i += 1) table.recordEarlyRequest("a", now);
  expect((table.find("a", 0)?.readyAt ?? 0) - now).toBe(30);
});
