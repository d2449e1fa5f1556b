import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { packList } from "./packed_list.ts";
import { FakeRegionFleet } from "./testing/fake_region_fleet.ts";
import { sizeOfRecords } from "./testing/remote_record_store.ts";

const FLEET_SIZE = 60;

/** The link between two regions, which requests and their answers share. */
const LINK_BITS_PER_SECOND = 42e6;
const LINK_DELAY_MS = 8;

/** Time within which a change must be in force everywhere, in milliseconds. */
const APPLY_WITHIN_MS = 4000;

/** Number of whole copies that may cross the link within that time, whatever
 * the number of instances: a quarter of 29 Mbit/s carries as many. */
const COPIES_MAX = 8;

/** The same within the time of three versions, which is half as long again. */
const COPIES_OF_THREE_MAX = 12;

/** Time within which the instances mean to know a change, in milliseconds. */
const CHANGE_KNOWN_MS = 2500;

/** The most routes that a deployment has added at once. */
const ROUTE_COUNT = 1932;
const WARM_UP_MS = 6000;

/** Instances that the tests disturb: the leads and the relays. */
const DISTURBED: readonly string[] = ["far1", "far3", "near0", "near2"];

let fleet: FakeRegionFleet;

beforeEach(async () => {
  vi.useFakeTimers();
  let seed = 1;
  // Pauses after failed calls are random.
  vi.spyOn(Math, "random").mockImplementation(() => {
    seed = (seed * 48_271) % 0x7fffffff;
    return seed / 0x7fffffff;
  });
  fleet = new FakeRegionFleet({
    size: FLEET_SIZE,
    linkBitsPerSecond: LINK_BITS_PER_SECOND,
    linkDelayMs: LINK_DELAY_MS,
    changeKnownMs: CHANGE_KNOWN_MS,
  });
  publish(1, 20);
  fleet.start();
  await vi.advanceTimersByTimeAsync(WARM_UP_MS);
});

afterEach(() => {
  fleet.close();
  vi.restoreAllMocks();
  vi.useRealTimers();
});

function publish(version: number, routeCount: number): void {
  fleet.store.write("configuration", "main", {
    version,
    routes: Array.from({ length: routeCount }, (_, i) => ({
      name: `r-route${i}`,
      host: `workspace${i % 16}.example`,
      path_prefix: `/prefix${i}/`,
      kind: "stream",
      timeout_ms: 12_000,
      target_latency_ms: 603,
      priority: 1,
      service: "service-a",
      max_attempts: 2,
      public: false,
      sticky: true,
      resumable: true,
      gap_target_ms: 300,
    })),
    services: [],
  });
}

/** Lets time pass; resolves to the number of whole copies of the configuration
 * whose bytes have entered the link to the far region meanwhile. */
async function copiesDuring(ms: number): Promise<number> {
  const before = fleet.bytesToFar("configuration");
  await vi.advanceTimersByTimeAsync(ms);
  const bytes = fleet.bytesToFar("configuration") - before;
  const { records } = await fleet.store.list("configuration");
  return bytes / sizeOfRecords(records);
}

function instancesNotAt(version: number): readonly string[] {
  return fleet.instances.filter((instance) => instance.version !== version)
    .map(({ member }) => member.name);
}

// Guards against a configuration that each instance of a region fetches for
// itself, which fills the link that requests share.
test("a long configuration uses a quarter of the link between regions at most", async () => {
  publish(2, ROUTE_COUNT);
  const copies = await copiesDuring(APPLY_WITHIN_MS);
  expect.soft(instancesNotAt(2)).toEqual([]);
  expect(copies).toBeLessThanOrEqual(COPIES_MAX);
});

// Guards against versions in a row that are each transferred to every instance,
// so that the last one is late and reports and requests wait behind them.
test("three long versions within two seconds use a quarter of the link at most", async () => {
  let copies = 0;
  for (const version of [2, 3, 4]) {
    publish(version, ROUTE_COUNT);
    copies += await copiesDuring(1000);
  }
  copies += await copiesDuring(APPLY_WITHIN_MS - 1000);
  expect.soft(instancesNotAt(4)).toEqual([]);
  expect(copies).toBeLessThanOrEqual(COPIES_OF_THREE_MAX);
});

function crash(...names: readonly string[]): void {
  for (const name of names) fleet.at(name)?.crash();
}

function behind(version: number): readonly string[] {
  return instancesNotAt(version).filter((name) => !DISTURBED.includes(name));
}

// Guards against a region whose instances all read the whole configuration,
// unchanged, because the instances that they ask were lost.
test("the loss of both relays of a region does not fill its link", async () => {
  publish(2, ROUTE_COUNT);
  await copiesDuring(APPLY_WITHIN_MS);
  crash("far1", "far3");
  const copies = await copiesDuring(APPLY_WITHIN_MS);
  expect(copies).toBeLessThanOrEqual(COPIES_MAX);
});

// Guards against the same while a change must be known in time.
test("a long version just after the loss of both relays is known in time", async () => {
  publish(2, ROUTE_COUNT);
  await copiesDuring(APPLY_WITHIN_MS);
  crash("far1", "far3");
  publish(3, ROUTE_COUNT);
  const copies = await copiesDuring(APPLY_WITHIN_MS);
  expect.soft(behind(3)).toEqual([]);
  expect(copies).toBeLessThanOrEqual(COPIES_MAX);
});

// Guards against the loss of the leads, whom the relays ask.
test("the loss of both leads does not fill the link", async () => {
  publish(2, ROUTE_COUNT);
  await copiesDuring(APPLY_WITHIN_MS);
  crash("near0", "near2");
  publish(3, ROUTE_COUNT);
  const copies = await copiesDuring(APPLY_WITHIN_MS);
  expect.soft(behind(3)).toEqual([]);
  expect(copies).toBeLessThanOrEqual(COPIES_MAX);
});

// Guards against a restart of all readers at once.
test("the loss of all leads and relays does not fill the link", async () => {
  publish(2, ROUTE_COUNT);
  await copiesDuring(APPLY_WITHIN_MS);
  crash("near0", "near2", "far1", "far3");
  publish(3, ROUTE_COUNT);
  const copies = await copiesDuring(APPLY_WITHIN_MS);
  expect.soft(behind(3)).toEqual([]);
  expect(copies).toBeLessThanOrEqual(COPIES_MAX);
});

function writeEngine(i: number, state: string): void {
  fleet.store.write("engines", `i-${i}a3f09c1`, {
    service: "service-a",
    address: `10.4.${i}.24:8041`,
    zone: `z${i % 6}`,
    version: "1.4.2",
    slots: 16,
    state,
    cold_left_ms: 0,
    seq: i,
    born: 1_700_000_000_000 + i * 7919,
    models: [{
      name: "model-a",
      version: 1,
      adapters: Array.from(
        { length: 13 },
        (_, a) => `a${i * 131 + a * 17}@${a}`,
      ),
    }],
  });
}

// Guards against a list of engines that each instance of a region fetches over
// the link between regions, because the first to announce a change is there.
test("engines that leave transfer their list a fixed number of times", async () => {
  for (let i = 0; i < 63; i++) writeEngine(i, "ready");
  await vi.advanceTimersByTimeAsync(WARM_UP_MS);
  const list = await fleet.store.list("engines");
  const message = packList(list);
  const listBytes = "packed" in message
    ? message.packed.length
    : sizeOfRecords(list.records);
  // No configuration is written: these are lists from peers.
  const before = fleet.bytesToFar("configuration");
  const changes = 5;
  for (let i = 0; i < changes; i++) {
    writeEngine(i, "draining");
    await vi.advanceTimersByTimeAsync(1300);
  }
  const copies = (fleet.bytesToFar("configuration") - before) / listBytes;
  expect(copies / changes).toBeLessThanOrEqual(COPIES_MAX);
});

// Guards against a relay that replies but knows nothing newer, beside another
// that does.
test("a relay that is cut off from the other region does not fill its link", async () => {
  publish(2, ROUTE_COUNT);
  await copiesDuring(APPLY_WITHIN_MS);
  fleet.isolateFromNear("far1");
  publish(3, ROUTE_COUNT);
  const copies = await copiesDuring(APPLY_WITHIN_MS);
  expect.soft(behind(3)).toEqual([]);
  expect(copies).toBeLessThanOrEqual(COPIES_MAX);
});

// The same configuration, and no fault.
test("a long configuration that stays the same is hardly transferred", async () => {
  publish(2, ROUTE_COUNT);
  await copiesDuring(APPLY_WITHIN_MS);
  expect(await copiesDuring(APPLY_WITHIN_MS)).toBeLessThanOrEqual(COPIES_MAX);
});

// Guards against instances that say for the rest of their lives that they are
// cut off from the store, and become readers all at once when the others go.
test("all instances reach the store again after an outage", async () => {
  fleet.store.readMode = "reject";
  for (let ms = 0; ms < 4000; ms += 400) {
    void fleet.store.resetWatches();
    await vi.advanceTimersByTimeAsync(400);
  }
  fleet.store.readMode = "serve";
  await vi.advanceTimersByTimeAsync(20_000);
  expect(
    fleet.instances.filter(({ reachesStore }) => !reachesStore)
      .map(({ member }) => member.name),
  ).toEqual([]);
});
