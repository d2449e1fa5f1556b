import { expect, test } from "vitest";
import { AdapterPlaces } from "./adapter_places.ts";
import type { EngineReport, HeldAdapter } from "./types.ts";

const MODEL = "m";
const noVersion = () => 0;

function reportOf(
  orderCount: number,
  held: readonly HeldAdapter[] = [],
  fetching: readonly HeldAdapter[] = [],
): EngineReport {
  return {
    startedAtMs: 1,
    orderCount,
    models: [{ name: MODEL, adapters: held }],
    fetching,
    running: 0,
    waiting: 0,
  };
}

function held(...names: readonly string[]): readonly HeldAdapter[] {
  return names.map((name) => ({ name, version: 1 }));
}

function placesWith(
  count: number,
  names: readonly string[],
  orders = 0,
): AdapterPlaces {
  const places = new AdapterPlaces(count);
  places.takeReport(reportOf(orders, held(...names)), MODEL, 0);
  return places;
}

test("no order is sent before a report has told what the engine holds", () => {
  const places = new AdapterPlaces(4);
  places.want("a", 0, 0);
  expect(places.next(0, noVersion)).toBeUndefined();
  places.takeReport(reportOf(7), MODEL, 0);
  expect(places.next(0, noVersion)).toMatchObject({
    action: "load",
    adapter: "a",
    orderCount: 7,
  });
});

test("an order without answer is followed by one with the same count", () => {
  const places = placesWith(4, [], 3);
  places.want("a", 0, 0);
  expect(places.next(0, noVersion)?.orderCount).toBe(3);
  places.settle("unknown", 10, 1);
  // A late copy of the first is refused by the engine once this is accepted.
  expect(places.next(20, noVersion)).toMatchObject({
    adapter: "a",
    orderCount: 3,
  });
});

test("a refused order stops all orders until a report has come", () => {
  const places = placesWith(4, [], 3);
  places.want("a", 0, 0);
  places.next(0, noVersion);
  places.settle("refused", 10, 1);
  expect(places.next(20, noVersion)).toBeUndefined();
  places.takeReport(reportOf(4, [], held("x")), MODEL, 100);
  expect(places.find("x", 0)).toBeDefined();
  expect(places.next(100, noVersion)?.orderCount).toBe(4);
});

test("a refusal for too many fetches loses nothing of what is known", () => {
  const places = placesWith(9, [], 3);
  places.want("a", 0, 0);
  places.next(0, noVersion);
  places.settle("done", 0, 1);
  places.want("b", 0, 300);
  places.next(300, noVersion);
  places.settle("refused", 300, 1);
  // Older than the last accepted order: says nothing.
  places.takeReport(reportOf(3), MODEL, 400);
  expect(places.next(400, noVersion)).toBeUndefined();
  places.takeReport(reportOf(4, [], held("a")), MODEL, 500);
  expect(places.find("a", 0)?.readyAt).toBeGreaterThan(500);
  expect(places.next(500, noVersion)).toMatchObject({
    adapter: "b",
    orderCount: 4,
  });
});

test("a count that stays lower than ours is right in the end", () => {
  const places = placesWith(9, [], 3);
  places.want("a", 0, 0);
  places.next(0, noVersion);
  places.settle("done", 0, 1);
  places.want("b", 0, 10);
  places.next(10, noVersion);
  places.settle("refused", 10, 1);
  places.takeReport(reportOf(3, held("a")), MODEL, 1000);
  expect(places.next(1000, noVersion)?.orderCount).toBe(3);
});

test("cold crowd: while the weight store is busy two are fetched at once", () => {
  const places = placesWith(9, []);
  places.noteStore(true);
  for (let i = 0; i < 8; i += 1) places.want(`a${i}`, 0, 0);
  for (let i = 0; i < 2; i += 1) {
    expect(places.next(0, noVersion)?.action).toBe("load");
    places.settle("done", 0, 1);
  }
  expect(places.next(0, noVersion)).toBeUndefined();
});

test("held and fetched adapters never exceed the places", () => {
  const places = placesWith(3, ["a", "b"]);
  let now = 10_000;
  for (let i = 0; i < 200; i += 1) {
    now += 40;
    places.want(`x${i % 17}`, 0, now);
    const order = places.next(now, noVersion);
    if (order !== undefined) {
      places.settle("done", now + 5, 1);
    }
    expect(places.list().length).toBeLessThanOrEqual(3);
  }
});

test("no more than four adapters are fetched at once", () => {
  const places = placesWith(21, []);
  for (let i = 0; i < 8; i += 1) places.want(`a${i}`, 0, 0);
  for (let i = 0; i < 4; i += 1) {
    expect(places.next(0, noVersion)?.action).toBe("load");
    places.settle("done", 0, 1);
  }
  expect(places.next(0, noVersion)).toBeUndefined();
  expect(places.next(400, noVersion)?.action).toBe("load");
});

test("demand that shifts: the adapter with the least use of late goes", () => {
  const places = placesWith(3, ["hot", "was-hot", "cold"]);
  places.noteUse("was-hot", 50, 0, 0);
  places.noteUse("cold", 1, 0, 30_000);
  places.noteUse("hot", 20, 0, 60_000);
  places.want("new", 0, 61_000);
  expect(places.next(61_000, noVersion)).toMatchObject({
    action: "unload",
    adapter: "cold",
  });
  places.settle("done", 61_010, 1);
  expect(places.next(61_010, noVersion)).toMatchObject({ adapter: "new" });
});

test("an adapter in use or used just now is not evicted", () => {
  const places = placesWith(2, ["a", "b"]);
  places.noteUse("a", 1, 1, 0);
  places.noteUse("b", 1, 0, 9_900);
  places.want("c", 0, 10_000);
  expect(places.next(10_000, noVersion)).toBeUndefined();
  places.noteInFlight(new Map());
  expect(places.next(10_000, noVersion)).toMatchObject({
    action: "unload",
    adapter: "a",
  });
});

test("a newer version waits until the older one is quiet", () => {
  const places = placesWith(4, ["a"]);
  places.noteUse("a", 1, 2, 0);
  expect(places.canTake("a", 1000)).toBe(false);
  places.want("a", 2, 1000);
  expect(places.next(1000, () => 2)).toBeUndefined();
  places.noteInFlight(new Map());
  expect(places.next(1000, () => 2)).toMatchObject({
    action: "load",
    adapter: "a",
    version: 2,
  });
});

test("an outdated version that nobody uses makes room first", () => {
  const places = placesWith(4, ["a", "b"]);
  const order = places.next(10_000, (adapter) => adapter === "b" ? 2 : 1);
  expect(order).toMatchObject({ action: "unload", adapter: "b" });
});

test("an unload that waits keeps its place until a report shows it gone", () => {
  const places = placesWith(2, ["a", "b"], 5);
  places.want("c", 0, 10_000);
  expect(places.next(10_000, noVersion)?.action).toBe("unload");
  places.settle("waiting", 10_010, 1);
  expect(places.next(10_020, noVersion)).toBeUndefined();
  places.takeReport(reportOf(6, held("b")), MODEL, 10_500);
  expect(places.next(10_500, noVersion)).toMatchObject({
    action: "load",
    adapter: "c",
    orderCount: 6,
  });
});

test("a report from before the last order changes nothing", () => {
  const places = placesWith(4, [], 3);
  places.want("a", 0, 0);
  places.next(0, noVersion);
  places.settle("done", 10, 1);
  places.takeReport(reportOf(3), MODEL, 50);
  expect(places.find("a", 0)).toBeDefined();
});

test("a recently held adapter is expected back in a tenth of the time", () => {
  const places = placesWith(1, ["a"]);
  places.want("b", 0, 10_000);
  places.next(10_000, noVersion);
  places.settle("done", 10_000, 1);
  places.next(10_000, noVersion);
  places.settle("done", 10_000, 1);
  const first = (places.find("b", 0)?.readyAt ?? 0) - 10_000;
  places.want("a", 0, 20_000);
  places.next(20_000, noVersion);
  places.settle("done", 20_000, 1);
  places.next(20_000, noVersion);
  places.settle("done", 20_000, 1);
  const second = (places.find("a", 0)?.readyAt ?? 0) - 20_000;
  expect(first).toBeGreaterThan(250);
  expect(second).toBeLessThan(50);
});

test("a late fetch: each request that comes early waits twice as long", () => {
  const places = placesWith(4, []);
  places.want("a", 0, 0);
  places.next(0, noVersion);
  places.settle("done", 0, 1);
  const waits: number[] = [];
  let now = places.find("a", 0)?.readyAt ?? 0;
  for (let i = 0; i < 4; i += 1) {
    places.delay("a", now);
    const readyAt = places.find("a", 0)?.readyAt ?? 0;
    waits.push(readyAt - now);
    now = readyAt;
  }
  expect(waits).toEqual([30, 60, 120, 240]);
});

test("several requests that come early together count once", () => {
  const places = placesWith(4, []);
  places.want("a", 0, 0);
  places.next(0, noVersion);
  places.settle("done", 0, 1);
  const now = places.find("a", 0)?.readyAt ?? 0;
  for (let i = 0; i < 5; i += 1) places.delay("a", now);
  expect((places.find("a", 0)?.readyAt ?? 0) - now).toBe(30);
});
