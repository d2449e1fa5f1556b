import { expect, test } from "vitest";
import { EngineTable } from "./engine_table.ts";
import {
  EngineChooser,
  type EngineRequirements,
  type SelectionContext,
} from "./choose_engine.ts";
import type { Engine } from "./types.ts";

const SERVICE = "llm";
const NOW = 1000;

function engine(
  id: string,
  zone = "z1",
  leaving = false,
  slots = 10,
): Engine {
  return {
    key: `${id}@1`,
    id,
    service: SERVICE,
    host: "127.0.0.1",
    port: 1,
    zone,
    slots,
    leaving,
    remainingMs: undefined,
    models: [{ name: "m", adapters: [] }],
  };
}

function setUp(count: number, slots?: number) {
  const table = new EngineTable();
  table.setEngines(
    Array.from(
      { length: count },
      (_, i) => engine(`e${i}`, "z1", false, slots),
    ),
  );
  const chooser = new EngineChooser(table);
  return { table, chooser, rank: chooser.rank(SERVICE, "a1") };
}

const context: SelectionContext = {
  zone: "z1",
  regionOf: (zone) => zone === "z3" ? "r2" : "r1",
  canOrder: () => true,
  roomOf: () => "open",
  linkMs: () => 0,
  now: NOW,
};

function requirements(
  extra: Partial<EngineRequirements> = {},
): EngineRequirements {
  return {
    service: SERVICE,
    model: "m",
    adapter: "a1",
    version: 0,
    oldestVersion: extra.version ?? 0,
    excludedEngines: new Set(),
    timeLeftMs: 10_000,
    ...extra,
  };
}

const heldAdapter = { version: 1, readyAt: 0 };

test("rare adapters: every instance chooses the same engine to load one", () => {
  const one = setUp(5);
  const two = setUp(5);
  const choice = one.chooser.choose(requirements(), context);
  const other = two.chooser.choose(requirements(), context);
  expect(choice.kind).toBe("load");
  expect(other.kind).toBe("load");
  if (choice.kind !== "load" || other.kind !== "load") return;
  expect(choice.view.engine.id).toBe(other.view.engine.id);
});

test("requests go to the engine that holds the adapter, even if it is busier", () => {
  const { chooser, rank } = setUp(5);
  const holder = rank[3];
  if (holder === undefined) throw new Error("no engine");
  holder.adapters = new Map([["a1", heldAdapter]]);
  holder.inFlight = 4;
  expect(chooser.choose(requirements(), context)).toMatchObject({
    kind: "send",
    view: holder,
    spreadTo: undefined,
  });
});

test("hot adapter on large engines: it spreads before prompts stall streams", () => {
  const { chooser, rank } = setUp(5, 32);
  const [first, second] = rank;
  if (first === undefined) throw new Error("no engine");
  first.adapters = new Map([["a1", heldAdapter]]);
  first.inFlight = 7;
  expect(chooser.choose(requirements(), context)).toMatchObject({
    spreadTo: undefined,
  });
  first.inFlight = 10;
  expect(chooser.choose(requirements(), context)).toMatchObject({
    view: first,
    spreadTo: second,
  });
});

test("burst of cold adapters on large engines: the next engine is used before prompts stall streams", () => {
  const { chooser, rank } = setUp(5, 32);
  const [first, second] = rank;
  if (first === undefined) throw new Error("no engine");
  first.inFlight = 10;
  expect(chooser.choose(requirements(), context)).toEqual({
    kind: "load",
    view: second,
  });
});

test("hot adapter: it spreads to another engine before requests queue", () => {
  const { chooser, rank } = setUp(5);
  const [first, second] = rank;
  if (first === undefined) throw new Error("no engine");
  first.adapters = new Map([["a1", heldAdapter]]);
  first.inFlight = 9;
  const choice = chooser.choose(requirements(), context);
  expect(choice).toMatchObject({ kind: "send", view: first, spreadTo: second });
});

test("all engines equally busy: no adapter is loaded twice", () => {
  const { chooser, table, rank } = setUp(5);
  const [first] = rank;
  if (first === undefined) throw new Error("no engine");
  first.adapters = new Map([["a1", heldAdapter]]);
  for (const view of table.all()) view.inFlight = 9;
  expect(chooser.choose(requirements(), context)).toMatchObject({
    kind: "send",
    spreadTo: undefined,
  });
});

test("degraded engine: its requests go to another engine that holds the adapter", () => {
  const { chooser, rank } = setUp(5);
  const [first, second] = rank;
  if (first === undefined || second === undefined) throw new Error("none");
  first.adapters = new Map([["a1", heldAdapter]]);
  second.adapters = new Map([["a1", heldAdapter]]);
  second.inFlight = 3;
  for (let i = 0; i < 3; i += 1) first.health.recordResult("failed", NOW);
  expect(chooser.choose(requirements(), context)).toMatchObject({
    view: second,
  });
});

test("all engines full: the request is refused instead of queued", () => {
  const { chooser, table } = setUp(3);
  for (const view of table.all()) {
    view.adapters = new Map([["a1", heldAdapter]]);
    view.inFlight = 26; // of 10 slots
  }
  expect(chooser.choose(requirements(), context)).toEqual({
    kind: "none",
    reason: "full",
  });
});

test("engine lost: adapters move to the next engine of their order", () => {
  const { chooser, table, rank } = setUp(5);
  const [first, second] = rank.map((view) => view.engine.id);
  table.setEngines(
    [0, 1, 2, 3, 4].map((i) => `e${i}`).filter((id) => id !== first).map((
      id,
    ) => engine(id)),
  );
  const choice = chooser.choose(requirements(), context);
  expect(choice.kind === "load" && choice.view.engine.id).toBe(second);
});

test("a leaving engine gets no requests after the time of a fetch, even if it alone holds the adapter", () => {
  const { chooser, table, rank } = setUp(3);
  const first = rank[0];
  if (first === undefined) throw new Error("no engine");
  first.adapters = new Map([["a1", heldAdapter]]);
  table.setEngines(
    [0, 1, 2].map((i) => engine(`e${i}`, "z1", `e${i}` === first.engine.id)),
  );
  const choice = chooser.choose(requirements(), context);
  expect(choice.kind).toBe("load");
  expect(choice.kind === "load" && choice.view).not.toBe(first);
});

test("release: a leaving holder serves while its adapter is fetched", () => {
  const { chooser, table, rank } = setUp(3);
  const [first, second] = rank;
  if (first === undefined) throw new Error("no engine");
  first.adapters = new Map([["a1", heldAdapter]]);
  first.isReportedByOwner = true;
  const list = [0, 1, 2].map((i) =>
    engine(`e${i}`, "z1", `e${i}` === first.engine.id)
  );
  table.setEngines(list, NOW);
  expect(chooser.choose(requirements(), { ...context, now: NOW + 100 }))
    .toMatchObject({
      kind: "send",
      view: first,
      spreadTo: second,
    });
  expect(chooser.choose(requirements(), { ...context, now: NOW + 2000 }))
    .toMatchObject({
      kind: "load",
      view: second,
    });
});

test("new version: the older one serves only while it is allowed", () => {
  const { chooser, rank } = setUp(4);
  const [first, second] = rank;
  if (first === undefined) throw new Error("no engine");
  first.adapters = new Map([["a1", heldAdapter]]);
  expect(
    chooser.choose(
      requirements({ version: 2, oldestVersion: 1 }),
      context,
    ),
  )
    .toMatchObject({ kind: "send", view: first, spreadTo: second });
  expect(chooser.choose(requirements({ version: 2 }), context)).toMatchObject({
    kind: "load",
    view: second,
  });
});

// VERSION: an engine that still ran a stream on the first version was used for
// new requests once a third version had been announced.
test("new version: one that was replaced before the last is not used again", () => {
  const { chooser, rank } = setUp(4);
  const [first, second] = rank;
  if (first === undefined || second === undefined) throw new Error("none");
  first.adapters = new Map([["a1", heldAdapter]]);
  const newest = requirements({ version: 3, oldestVersion: 2 });
  expect(chooser.choose(newest, context)).toMatchObject({
    kind: "load",
    view: second,
  });
  second.adapters = new Map([["a1", { version: 2, readyAt: 0 }]]);
  expect(chooser.choose(newest, context)).toMatchObject({
    kind: "send",
    view: second,
  });
});

test("engines to which no instance can send orders are not chosen for loads", () => {
  const { chooser, rank } = setUp(3);
  const [first, second] = rank;
  const blocked = first?.engine.key;
  expect(
    chooser.choose(requirements(), {
      ...context,
      canOrder: (key) => key !== blocked,
    }),
  ).toMatchObject({ kind: "load", view: second });
});

test("the adapters of an engine that names a limit get a second place", () => {
  const { chooser, rank } = setUp(3);
  const [first, second] = rank;
  if (first === undefined) throw new Error("no engine");
  first.adapters = new Map([["a1", heldAdapter]]);
  const limited: SelectionContext = {
    ...context,
    roomOf: (key) => key === first.engine.key ? "limited" : "open",
  };
  expect(chooser.choose(requirements(), limited)).toMatchObject({
    kind: "send",
    view: first,
    spreadTo: second,
  });
  const closed: SelectionContext = {
    ...context,
    roomOf: (key) => key === first.engine.key ? "closed" : "open",
  };
  expect(chooser.choose(requirements(), closed)).toMatchObject({
    kind: "load",
    view: second,
  });
});

test("cold adapters are not loaded on an engine that names a limit", () => {
  const { chooser, rank } = setUp(3);
  const [first, second] = rank;
  const limited: SelectionContext = {
    ...context,
    roomOf: (key) => key === first?.engine.key ? "limited" : "open",
  };
  expect(chooser.choose(requirements(), limited)).toMatchObject({
    kind: "load",
    view: second,
  });
  expect(
    chooser.choose(requirements(), { ...context, roomOf: () => "limited" }),
  ).toMatchObject({ kind: "load", view: first });
});

test("no engine is chosen if the limits of all are reached", () => {
  const { chooser } = setUp(3);
  const closed: SelectionContext = { ...context, roomOf: () => "closed" };
  const refused = { kind: "none", reason: "limited" };
  expect(chooser.choose(requirements(), closed)).toEqual(refused);
  const withoutAdapter = requirements({ model: undefined, adapter: undefined });
  expect(chooser.choose(withoutAdapter, closed)).toEqual(refused);
});

test("a leaving engine whose limit is reached gets no request", () => {
  const table = new EngineTable();
  table.setEngines([engine("e0"), engine("e1")]);
  table.setEngines([engine("e0", "z1", true), engine("e1")], NOW - 10);
  const leaving = table.get("e0@1");
  if (leaving === undefined) throw new Error("no engine");
  leaving.adapters = new Map([["a1", heldAdapter]]);
  const chooser = new EngineChooser(table);
  expect(chooser.choose(requirements(), context)).toMatchObject({
    kind: "send",
    view: leaving,
  });
  expect(
    chooser.choose(requirements(), {
      ...context,
      roomOf: (key) => key === "e0@1" ? "closed" : "open",
    }),
  ).toMatchObject({ kind: "load" });
});

test("engines of the same zone are preferred while they are not busier", () => {
  const table = new EngineTable();
  table.setEngines([engine("far", "z3"), engine("near", "z1")]);
  const chooser = new EngineChooser(table);
  const withoutAdapter = requirements({ model: undefined, adapter: undefined });
  const choice = chooser.choose(withoutAdapter, context);
  expect(choice.kind === "send" && choice.view.engine.id).toBe("near");
  const near = table.get("near@1");
  if (near === undefined) throw new Error("no engine");
  near.inFlight = 3;
  const next = chooser.choose(withoutAdapter, context);
  expect(next.kind === "send" && next.view.engine.id).toBe("far");
});

test("burst of cold adapters: the next engine is used when one has no fetch left", () => {
  const { chooser, rank } = setUp(5);
  const [first, second] = rank;
  if (first === undefined) throw new Error("no engine");
  const fetchedAdapter = { version: 1, readyAt: NOW + 200 };
  first.adapters = new Map(
    ["x", "y", "z", "v"].map((name) => [name, fetchedAdapter]),
  );
  expect(chooser.choose(requirements(), context)).toMatchObject({
    kind: "load",
    view: second,
  });
});

/** Two engines that hold the adapter or may load it, the first behind a link that
 * takes `linkMs`. */
function setUpLink(linkMs: number) {
  const table = new EngineTable();
  table.setEngines([engine("far", "z3"), engine("near", "z1")]);
  const chooser = new EngineChooser(table);
  const views = [...table.all()];
  const [far, near] = views;
  if (far === undefined || near === undefined) throw new Error("no engines");
  const linkContext: SelectionContext = {
    ...context,
    linkMs: (zone) => zone === "z3" ? linkMs : 5,
  };
  return { chooser, far, near, linkContext };
}

// Guards against requests that a full link delivers after their callers left,
// although the adapter could be loaded nearby.
test("full link: an adapter behind it is loaded where the link is fast", () => {
  const { chooser, far, near, linkContext } = setUpLink(900);
  far.adapters = new Map([["a1", heldAdapter]]);
  const choice = chooser.choose(requirements(), linkContext);
  expect(choice).toEqual({ kind: "load", view: near });
});

// Guards against refusing everything while all engines are behind a full link.
test("full link: engines behind it are used if there are no others", () => {
  const { chooser, far, near, linkContext } = setUpLink(900);
  far.adapters = new Map([["a1", heldAdapter]]);
  const choice = chooser.choose(
    requirements({ excludedEngines: new Set([near.engine.key]) }),
    linkContext,
  );
  expect(choice).toMatchObject({ kind: "send", view: far });
});

// Guards against work that nobody can receive.
test("full link: a request that would be late in any case is not sent", () => {
  const { chooser, near, linkContext } = setUpLink(900);
  const choice = chooser.choose(
    requirements({
      timeLeftMs: 900,
      excludedEngines: new Set([near.engine.key]),
    }),
    linkContext,
  );
  expect(choice).toEqual({ kind: "none", reason: "too_late" });
});

// Guards against a crowd at the one engine that answers fast under overload.
test("overload: an engine whose responses are late costs more, but is used", () => {
  const { chooser, rank } = setUp(2);
  const [first, second] = rank;
  if (first === undefined || second === undefined) {
    throw new Error("no engines");
  }
  for (const view of rank) view.adapters = new Map([["a1", heldAdapter]]);
  first.path.recordResponse(first.path.start(NOW - 800), NOW);
  const choose = () => {
    const choice = chooser.choose(requirements(), context);
    return choice.kind === "send" ? choice.view : undefined;
  };
  expect(choose()).toBe(second);
  second.inFlight = 11;
  expect(choose()).toBe(first);
});
