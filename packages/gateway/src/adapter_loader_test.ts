import { EventLog } from "@banyanlb/core";
import {
  type EngineControl,
  EngineReach,
  type EngineReport,
  EngineTable,
  MemberTable,
} from "@banyanlb/serving";
import pino from "pino";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { AdapterLoader } from "./adapter_loader.ts";
import type { Membership } from "./membership.ts";
import { GatewayMetrics } from "./metrics.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { StoreView } from "./store_view.ts";

const ENGINE = "e1@1";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** The owner of one engine, which holds the adapters that `held` names. */
function startOwner() {
  const held = new Set(["a1"]);
  const orders: string[] = [];
  let orderCount = 7;
  const silence = { isSilent: false };
  const engineTable = new EngineTable();
  engineTable.setEngines([{
    key: ENGINE,
    id: "e1",
    service: "svc",
    host: "127.0.0.1",
    port: 1,
    zone: "z",
    slots: 8,
    leaving: false,
    remainingMs: undefined,
    models: [{ name: "m", adapters: [{ name: "a1", version: 0 }] }],
  }]);
  const control = {
    report: (): Promise<EngineReport | undefined> =>
      Promise.resolve(
        silence.isSilent ? undefined : {
          startedAtMs: 1,
          orderCount,
          models: [{
            name: "m",
            adapters: [...held].map((name) => ({ name, version: 0 })),
          }],
          fetching: [],
          running: 0,
          waiting: 0,
        },
      ),
    order: (_: unknown, { adapter }: { readonly adapter: string }) => {
      orders.push(adapter);
      if (silence.isSilent) return Promise.resolve("unknown");
      orderCount += 1;
      held.add(adapter);
      return Promise.resolve("accepted");
    },
  } as unknown as EngineControl;
  const loader = new AdapterLoader({
    self: "i1",
    engineTable,
    reach: new EngineReach(),
    control,
    storeView: {
      routeTable: {
        configuration: { version: 1 },
        findService: () => ({
          engineClass: {
            slots: 8,
            weightMemoryMb: 1000,
            adapterSlots: 5,
            models: [{
              name: "m",
              sizeMb: 100,
              loadMs: 1000,
              adapterSizeMb: 1,
            }],
          },
        }),
      },
      versionOf: () => 0,
    } as unknown as StoreView,
    membership: {
      ownerOf: () => "i1",
      mayOrder: () => true,
      fence: 1,
    } as unknown as Membership,
    members: new MemberTable("i1", 0),
    links: {} as PeerLinks,
    log: new EventLog(pino({ level: "silent" })),
    metrics: new GatewayMetrics(),
  });
  const timer = setInterval(() => loader.tick(), 50);
  return { held, orders, silence, loader, close: () => clearInterval(timer) };
}

function load(loader: AdapterLoader, isEarly = false) {
  const options = isEarly ? { early: true, quiet: true } : {};
  return loader.loadAtOwnEngine(ENGINE, {
    model: "m",
    adapter: "a1",
    version: 0,
    ...options,
  });
}

// Guards against a request that is sent to one engine again and again, and
// turned away for the same adapter each time: its owner went on to say that the
// engine holds it.
test("an adapter that an engine denies to hold is loaded before it counts as held", async () => {
  const { held, orders, loader, close } = startOwner();
  await vi.advanceTimersByTimeAsync(2000);
  expect(await load(loader)).toBe(true);
  held.delete("a1");
  void load(loader, true);
  let isLoaded: boolean | undefined;
  void load(loader).then((ok) => (isLoaded = ok));
  await Promise.resolve();
  expect(isLoaded).toBeUndefined();
  await vi.advanceTimersByTimeAsync(2000);
  expect(isLoaded).toBe(true);
  expect(orders).toContain("a1");
  close();
});

test("a denied adapter that the engine reports counts as held again", async () => {
  const { orders, loader, close } = startOwner();
  await vi.advanceTimersByTimeAsync(2000);
  void load(loader, true);
  const isLoaded = load(loader);
  await vi.advanceTimersByTimeAsync(500);
  expect(await isLoaded).toBe(true);
  expect(orders).toEqual([]);
  close();
});

// Guards against callers that are refused although their adapter is loaded a moment
// later: the engine did not reply to two calls, and there is no other one.
test("a request without another engine waits for an engine that does not reply", async () => {
  const { held, silence, loader, close } = startOwner();
  await vi.advanceTimersByTimeAsync(2000);
  held.delete("a1");
  void load(loader, true);
  silence.isSilent = true;
  const request = { model: "m", adapter: "a2", version: 0 };
  const results: (readonly [string, boolean])[] = [];
  void loader.loadAtOwnEngine(ENGINE, request)
    .then((ok) => results.push(["other", ok]));
  void loader.loadAtOwnEngine(ENGINE, { ...request, patient: true })
    .then((ok) => results.push(["patient", ok]));
  await vi.advanceTimersByTimeAsync(1200);
  expect(loader.down()).toEqual([ENGINE]);
  expect(results).toEqual([["other", false]]);
  silence.isSilent = false;
  await vi.advanceTimersByTimeAsync(1200);
  expect(results).toEqual([["other", false], ["patient", true]]);
  close();
});

// Guards against loads for requests that have been refused meanwhile.
test("a request does not wait for an adapter longer than it has left", async () => {
  const { held, silence, loader, close } = startOwner();
  await vi.advanceTimersByTimeAsync(2000);
  held.delete("a1");
  silence.isSilent = true;
  let isLoaded: boolean | undefined;
  const request = {
    model: "m",
    adapter: "a2",
    version: 0,
    patient: true,
    waitMs: 300,
  };
  void loader.loadAtOwnEngine(ENGINE, request).then((ok) => (isLoaded = ok));
  await vi.advanceTimersByTimeAsync(200);
  expect(isLoaded).toBeUndefined();
  await vi.advanceTimersByTimeAsync(200);
  expect(isLoaded).toBe(false);
  close();
});
