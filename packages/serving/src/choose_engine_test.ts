import { expect, test } from "vitest";
import { EngineBoard } from "./engine_board.ts";
import {
  EngineChooser,
  type Need,
  type Surroundings,
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
  const board = new EngineBoard();
  board.setEngines(
    Array.from(
      { length: count },
      (_, i) => engine(`e${i}`, "z1", false, slots),
    ),
  );
  const chooser = new EngineChooser(board);
  return { board, chooser, rank: chooser.rank(SERVICE, "a1") };
}

const around: Surroundings = {
  zone: "z1",
  regionOf: (zone) => zone === "z3" ? "r2" : "r1",
  canOrder: () => true,
  now: NOW,
};

function need(extra: Partial<Need> = {}): Need {
  return {
    service: SERVICE,
    model: "m",
    adapter: "a1",
    version: 0,
    olderAllowed: false,
    excluded: new Set(),
    ...extra,
  };
}

const there = { version: 1, readyAt: 0 };

test("rare adapters: one engine fetches each, the same for every instance", () => {
  const one = setUp(5);
  const two = setUp(5);
  const choice = one.chooser.choose(need(), around);
  const other = two.chooser.choose(need(), around);
  expect(choice.kind).toBe("load");
  expect(other.kind).toBe("load");
  if (choice.kind !== "load" || other.kind !== "load") return;
  expect(choice.view.engine.id).toBe(other.view.engine.id);
});

test("a held adapter is used where it is, also on a busier engine", () => {
  const { chooser, rank } = setUp(5);
  const holder = rank[3];
  if (holder === undefined) throw new Error("no engine");
  holder.adapters = new Map([["a1", there]]);
  holder.inFlight = 4;
  expect(chooser.choose(need(), around)).toMatchObject({
    kind: "send",
    view: holder,
    spreadTo: undefined,
  });
});

test("hot adapter on large engines: it spreads before prompts stop streams", () => {
  const { chooser, rank } = setUp(5, 32);
  const [first, second] = rank;
  if (first === undefined) throw new Error("no engine");
  first.adapters = new Map([["a1", there]]);
  first.inFlight = 7;
  expect(chooser.choose(need(), around)).toMatchObject({ spreadTo: undefined });
  first.inFlight = 10;
  expect(chooser.choose(need(), around)).toMatchObject({
    view: first,
    spreadTo: second,
  });
});

test("cold crowd on large engines: the next engine is used before it hurts", () => {
  const { chooser, rank } = setUp(5, 32);
  const [first, second] = rank;
  if (first === undefined) throw new Error("no engine");
  first.inFlight = 10;
  expect(chooser.choose(need(), around)).toEqual({
    kind: "load",
    view: second,
  });
});

test("hot adapter: it spreads to a further engine before it queues", () => {
  const { chooser, rank } = setUp(5);
  const [first, second] = rank;
  if (first === undefined) throw new Error("no engine");
  first.adapters = new Map([["a1", there]]);
  first.inFlight = 9;
  const choice = chooser.choose(need(), around);
  expect(choice).toMatchObject({ kind: "send", view: first, spreadTo: second });
});

test("every engine busy alike: nothing is fetched twice", () => {
  const { chooser, board, rank } = setUp(5);
  const [first] = rank;
  if (first === undefined) throw new Error("no engine");
  first.adapters = new Map([["a1", there]]);
  for (const view of board.all()) view.inFlight = 9;
  expect(chooser.choose(need(), around)).toMatchObject({
    kind: "send",
    spreadTo: undefined,
  });
});

test("grey engine: copies elsewhere get its requests", () => {
  const { chooser, rank } = setUp(5);
  const [first, second] = rank;
  if (first === undefined || second === undefined) throw new Error("none");
  first.adapters = new Map([["a1", there]]);
  second.adapters = new Map([["a1", there]]);
  second.inFlight = 3;
  for (let i = 0; i < 3; i += 1) first.health.note("failed", NOW);
  expect(chooser.choose(need(), around)).toMatchObject({ view: second });
});

test("all engines full: refused, not queued without end", () => {
  const { chooser, board } = setUp(3);
  for (const view of board.all()) {
    view.adapters = new Map([["a1", there]]);
    view.inFlight = 26; // of 10 slots
  }
  expect(chooser.choose(need(), around)).toEqual({
    kind: "none",
    reason: "full",
  });
});

test("whole zone lost: adapters move on to the next engine of their order", () => {
  const { chooser, board, rank } = setUp(5);
  const [first, second] = rank.map((view) => view.engine.id);
  board.setEngines(
    [0, 1, 2, 3, 4].map((i) => `e${i}`).filter((id) => id !== first).map((
      id,
    ) => engine(id)),
  );
  const choice = chooser.choose(need(), around);
  expect(choice.kind === "load" && choice.view.engine.id).toBe(second);
});

test("a leaving engine gets nothing, even if it alone holds the adapter", () => {
  const { chooser, board, rank } = setUp(3);
  const first = rank[0];
  if (first === undefined) throw new Error("no engine");
  first.adapters = new Map([["a1", there]]);
  board.setEngines(
    [0, 1, 2].map((i) => engine(`e${i}`, "z1", `e${i}` === first.engine.id)),
  );
  const choice = chooser.choose(need(), around);
  expect(choice.kind).toBe("load");
  expect(choice.kind === "load" && choice.view).not.toBe(first);
});

test("release: a leaving holder serves while its adapter is fetched", () => {
  const { chooser, board, rank } = setUp(3);
  const [first, second] = rank;
  if (first === undefined) throw new Error("no engine");
  first.adapters = new Map([["a1", there]]);
  first.told = true;
  const list = [0, 1, 2].map((i) =>
    engine(`e${i}`, "z1", `e${i}` === first.engine.id)
  );
  board.setEngines(list, NOW);
  expect(chooser.choose(need(), { ...around, now: NOW + 100 })).toMatchObject({
    kind: "send",
    view: first,
    spreadTo: second,
  });
  expect(chooser.choose(need(), { ...around, now: NOW + 2000 })).toMatchObject({
    kind: "load",
    view: second,
  });
});

test("a new version: the older serves meanwhile, then no longer", () => {
  const { chooser, rank } = setUp(4);
  const [first, second] = rank;
  if (first === undefined) throw new Error("no engine");
  first.adapters = new Map([["a1", there]]);
  expect(chooser.choose(need({ version: 2, olderAllowed: true }), around))
    .toMatchObject({ kind: "send", view: first, spreadTo: second });
  expect(chooser.choose(need({ version: 2 }), around)).toMatchObject({
    kind: "load",
    view: second,
  });
});

test("engines at which nobody can order are not asked to load", () => {
  const { chooser, rank } = setUp(3);
  const [first, second] = rank;
  const blocked = first?.engine.key;
  expect(
    chooser.choose(need(), { ...around, canOrder: (key) => key !== blocked }),
  ).toMatchObject({ kind: "load", view: second });
});

test("near engines first while they are not busier", () => {
  const board = new EngineBoard();
  board.setEngines([engine("far", "z3"), engine("near", "z1")]);
  const chooser = new EngineChooser(board);
  const plain = need({ model: undefined, adapter: undefined });
  const choice = chooser.choose(plain, around);
  expect(choice.kind === "send" && choice.view.engine.id).toBe("near");
  const near = board.get("near@1");
  if (near === undefined) throw new Error("no engine");
  near.inFlight = 3;
  const next = chooser.choose(plain, around);
  expect(next.kind === "send" && next.view.engine.id).toBe("far");
});

test("cold crowd: fetches move on when an engine has all of its own taken", () => {
  const { chooser, rank } = setUp(5);
  const [first, second] = rank;
  if (first === undefined) throw new Error("no engine");
  const coming = { version: 1, readyAt: NOW + 200 };
  first.adapters = new Map(["x", "y", "z", "v"].map((name) => [name, coming]));
  expect(chooser.choose(need(), around)).toMatchObject({
    kind: "load",
    view: second,
  });
});
