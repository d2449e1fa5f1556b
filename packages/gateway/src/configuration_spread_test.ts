import { afterEach, beforeEach, expect, test, vi } from "vitest";
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
