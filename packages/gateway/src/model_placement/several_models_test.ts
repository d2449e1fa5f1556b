import { EventLog } from "@banyanlb/core";
import {
  type EngineControl,
  EngineReach,
  type EngineReport,
  EngineTable,
  MemberTable,
} from "@banyanlb/serving";
import { memberOf } from "@banyanlb/serving/testing";
import pino from "pino";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { AdapterLoader } from "../adapter_loader.ts";
import type { Membership } from "../membership.ts";
import { GatewayMetrics } from "../metrics.ts";
import type { PeerMessage } from "../peer_messages.ts";
import type { StoreView } from "../store_view.ts";

const MEMORY_MB = 1000;
const ADAPTER_MB = 10;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** An engine that carries out orders, and counts those that exceed its memory. */
class TestEngine {
  readonly key: string;
  readonly models: Map<string, Set<string>>;
  readonly orders: string[] = [];
  readonly #sizes: Readonly<Record<string, number>>;
  isSilent = false;
  crashes = 0;
  #orderCount = 3;

  constructor(
    key: string,
    models: readonly string[],
    sizes: Readonly<Record<string, number>>,
  ) {
    this.key = key;
    this.models = new Map(models.map((model) => [model, new Set()]));
    this.#sizes = sizes;
  }

  get usedMb(): number {
    return [...this.models].reduce(
      (sum, [model, adapters]) =>
        sum + (this.#sizes[model] ?? 0) + adapters.size * ADAPTER_MB,
      0,
    );
  }

  entry() {
    return {
      key: this.key,
      id: this.key,
      service: "svc",
      host: "127.0.0.1",
      port: 1,
      zone: "z",
      slots: 8,
      leaving: false,
      remainingMs: undefined,
      models: this.#heldModels(),
    };
  }

  report(): EngineReport | undefined {
    if (this.isSilent) return undefined;
    return {
      startedAtMs: 1,
      orderCount: this.#orderCount,
      models: this.#heldModels(),
      fetching: [],
      running: 0,
      waiting: 0,
    };
  }

  order(
    { action, model, adapter, orderCount }: Parameters<
      EngineControl["order"]
    >[1],
  ): string {
    if (this.isSilent) return "unknown";
    if (orderCount !== this.#orderCount) return "refused";
    this.#orderCount += 1;
    const name = adapter === undefined ? model : `${model}/${adapter}`;
    this.orders.push(`${action} ${name}`);
    if (adapter !== undefined) {
      if (action === "load") this.models.get(model)?.add(adapter);
      else this.models.get(model)?.delete(adapter);
    } else if (action === "load") this.models.set(model, new Set());
    else this.models.delete(model);
    if (this.usedMb > MEMORY_MB) this.crashes += 1;
    return "accepted";
  }

  #heldModels() {
    return [...this.models].map(([name, adapters]) => ({
      name,
      adapters: [...adapters].map((a) => ({ name: a, version: 0 })),
    }));
  }
}

/** An owner of some engines of a service, or of all. */
function startOwner(
  engines: readonly TestEngine[],
  {
    sizes,
    ownerOf = () => "i1",
    send = () => undefined,
  }: {
    readonly sizes: Readonly<Record<string, number>>;
    readonly ownerOf?: (key: string) => string;
    readonly send?: (message: PeerMessage) => void;
  },
) {
  const engineTable = new EngineTable();
  const list = () => engineTable.setEngines(engines.map((e) => e.entry()));
  list();
  const find = (key: string) => engines.find((e) => e.key === key);
  const members = new MemberTable("i1", 0);
  members.add(memberOf("i2"));
  const loader = new AdapterLoader({
    self: "i1",
    engineTable,
    reach: new EngineReach(),
    control: {
      report: ({ id }: { readonly id: string }) =>
        Promise.resolve(find(id)?.report()),
      order: (
        { id }: { readonly id: string },
        order: Parameters<EngineControl["order"]>[1],
      ) => Promise.resolve(find(id)?.order(order)),
    } as unknown as EngineControl,
    storeView: {
      routeTable: {
        configuration: { version: 1 },
        findService: () => ({
          engineClass: {
            slots: 8,
            weightMemoryMb: MEMORY_MB,
            adapterSlots: 5,
            models: Object.entries(sizes).map(([name, sizeMb]) => ({
              name,
              sizeMb,
              loadMs: 1000,
              adapterSizeMb: ADAPTER_MB,
            })),
          },
        }),
      },
      versionOf: () => 0,
    } as unknown as StoreView,
    membership: {
      ownerOf,
      mayOrder: () => true,
      fence: 1,
    } as unknown as Membership,
    members,
    links: {
      send: (_: string, message: PeerMessage) => {
        send(message);
        return true;
      },
    } as never,
    log: new EventLog(pino({ level: "silent" })),
    metrics: new GatewayMetrics(),
  });
  const timer = setInterval(() => loader.tick(), 50);
  const listTimer = setInterval(list, 1000);
  const close = () => {
    clearInterval(timer);
    clearInterval(listTimer);
  };
  return { loader, engineTable, close };
}

/** One model fills the memory of an engine, but for some adapters. */
const SIZES = { m1: 900, m2: 900 };

// LIMIT: the owner of an engine ordered it to load the first model of its service
// beside the one that it held, and it crashed with all that it ran.
test("an engine that holds another model of its service is not ordered to load the first", async () => {
  const engines = [
    new TestEngine("e1", ["m2"], SIZES),
    new TestEngine("e2", ["m1"], SIZES),
  ];
  const { close } = startOwner(engines, { sizes: SIZES });
  await vi.advanceTimersByTimeAsync(5000);
  expect(engines.map(({ orders }) => orders)).toEqual([[], []]);
  close();
});

test("with a single model orders are as they were", async () => {
  const sizes = { m1: 900 };
  const engines = [
    new TestEngine("e1", [], sizes),
    new TestEngine("e2", ["m1"], sizes),
  ];
  const { loader, engineTable, close } = startOwner(engines, { sizes });
  await vi.advanceTimersByTimeAsync(3000);
  const loaded = loader.loadAtOwnEngine("e1", {
    model: "m1",
    adapter: "a",
    version: 0,
  });
  await vi.advanceTimersByTimeAsync(1000);
  expect(await loaded).toBe(true);
  expect(engines.map(({ orders }) => orders)).toEqual([
    ["load m1", "load m1/a"],
    [],
  ]);
  // Instances of the former build read these names.
  expect(loader.held()[0]?.[2].map(([name]) => name)).toEqual(["a"]);
  expect([...engineTable.get("e1")!.adapters.keys()]).toEqual(["a"]);
  loader.requestModel("svc", "m1");
  await vi.advanceTimersByTimeAsync(3000);
  expect(engines[1]?.orders).toEqual([]);
  close();
});

// Guards against requests for an adapter of the second model that were sent to an
// engine with the first model's adapter of that name.
test("adapters of two models with one name are loaded for their own model", async () => {
  const engines = [
    new TestEngine("e1", ["m1"], SIZES),
    new TestEngine("e2", ["m2"], SIZES),
  ];
  const { loader, engineTable, close } = startOwner(engines, { sizes: SIZES });
  await vi.advanceTimersByTimeAsync(1000);
  const load = (engine: string, model: string) =>
    loader.loadAtOwnEngine(engine, { model, adapter: "a", version: 0 });
  const loaded = [load("e1", "m1"), load("e2", "m2"), load("e1", "m2")];
  await vi.advanceTimersByTimeAsync(3000);
  expect(await Promise.all(loaded)).toEqual([true, true, false]);
  expect(engines.map(({ orders }) => orders)).toEqual([
    ["load m1/a"],
    ["load m2/a"],
  ]);
  expect(engineTable.get("e1")?.adapters.has("m1/a")).toBe(true);
  expect(engineTable.get("e1")?.adapters.has("m2/a")).toBe(false);
  close();
});

// The only engine of a model is lost for good.
test("a model that is asked for and held nowhere replaces one that others hold", async () => {
  const engines = ["e1", "e2", "e3"].map((key) =>
    new TestEngine(key, ["m1"], SIZES)
  );
  const { loader, close } = startOwner(engines, { sizes: SIZES });
  const requests = setInterval(() => loader.requestModel("svc", "m2"), 100);
  await vi.advanceTimersByTimeAsync(4000);
  const orders = engines.map((e) => e.orders).filter((o) => o.length > 0);
  expect(orders).toEqual([["unload m1", "load m2"]]);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(engines.flatMap((e) => e.orders)).toHaveLength(2);
  expect(engines.map(({ crashes }) => crashes)).toEqual([0, 0, 0]);
  clearInterval(requests);
  close();
});

test("the owner of another engine is told of a model that is held nowhere", async () => {
  const engines = ["e1", "e2"].map((key) => new TestEngine(key, ["m1"], SIZES));
  const sent: PeerMessage[] = [];
  const asking = startOwner(engines, {
    sizes: SIZES,
    ownerOf: () => "i2",
    send: (message) => sent.push(message),
  });
  for (let i = 0; i < 10; i += 1) {
    asking.loader.requestModel("svc", "m2");
    asking.loader.requestModel("svc", "other");
    await vi.advanceTimersByTimeAsync(100);
  }
  expect(sent).toEqual([
    { t: "want", service: "svc", model: "m2" },
    { t: "want", service: "svc", model: "m2" },
  ]);
  asking.close();
  const owner = startOwner(engines, { sizes: SIZES });
  owner.loader.recordWantedModel("svc", "m2");
  await vi.advanceTimersByTimeAsync(4000);
  expect(engines.flatMap((e) => e.orders)).toEqual(["unload m1", "load m2"]);
  owner.close();
});

test("a model that comes beside another leaves room for fewer adapters", async () => {
  const sizes = { m1: 480, m2: 480 };
  const engines = [new TestEngine("e1", ["m1"], sizes)];
  const { loader, close } = startOwner(engines, { sizes });
  await vi.advanceTimersByTimeAsync(1000);
  loader.requestModel("svc", "m2");
  await vi.advanceTimersByTimeAsync(3000);
  expect(engines[0]?.orders).toEqual(["load m2"]);
  for (let i = 0; i < 8; i += 1) {
    void loader.loadAtOwnEngine("e1", {
      model: i % 2 === 0 ? "m1" : "m2",
      adapter: `a${i}`,
      version: 0,
    });
    await vi.advanceTimersByTimeAsync(1000);
  }
  expect(engines[0]?.orders.length).toBeGreaterThan(4);
  expect(engines[0]?.crashes).toBe(0);
  close();
});

test("an order without a reply is sent again by what the engine reports", async () => {
  const engines = [
    new TestEngine("e1", [], SIZES),
    new TestEngine("e2", ["m1"], SIZES),
  ];
  const { close } = startOwner(engines, { sizes: SIZES });
  const [silent] = engines;
  if (silent !== undefined) silent.isSilent = true;
  await vi.advanceTimersByTimeAsync(2000);
  if (silent !== undefined) silent.isSilent = false;
  await vi.advanceTimersByTimeAsync(3000);
  expect(silent?.orders).toEqual(["load m2"]);
  close();
});
