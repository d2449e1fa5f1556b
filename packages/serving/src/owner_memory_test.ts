import { expect, test } from "vitest";
import { OwnerMemory } from "./owner_memory.ts";

const engine = (id: string, startedAt: number) => ({
  key: `${id}@${startedAt}`,
  id,
});

// Another owner would order within the gap after the last order of the former.
test("an engine that was started again under its id keeps its owner", () => {
  const kept = new OwnerMemory().keep({ "e1@5": "a#1", "e2@5": "b#1" }, [
    engine("e1", 9),
    engine("e2", 5),
    engine("e3", 9),
  ], 0);
  expect(kept).toMatchObject({ "e1@9": "a#1", "e2@5": "b#1" });
  expect(kept["e3@9"]).toBeUndefined();
});

// While the store stood still all entries lapsed; the assignment forgot all
// owners, and gave the engines that came back to others at once.
test("engines that are missing for a short time keep their owners", () => {
  const memory = new OwnerMemory();
  const current = { "e1@5": "a#1", "e2@5": "b#1" };
  expect(memory.keep(current, [engine("e1", 5)], 0)).toEqual(current);
  expect(memory.keep(current, [engine("e1", 5)], 4000)).toEqual(current);
  expect(memory.keep(current, [], 4500)).toEqual(current);
  const back = [engine("e1", 5), engine("e2", 9)];
  expect(memory.keep(current, back, 4800)).toMatchObject({
    "e1@5": "a#1",
    "e2@9": "b#1",
  });
});

test("an engine that stays missing is forgotten", () => {
  const memory = new OwnerMemory();
  const current = { "e1@5": "a#1", "e2@5": "b#1" };
  memory.keep(current, [engine("e1", 5)], 0);
  expect(memory.keep(current, [engine("e1", 5)], 5000)).toEqual({
    "e1@5": "a#1",
  });
});

test("the time of an engine that comes back counts anew", () => {
  const memory = new OwnerMemory();
  const current = { "e1@5": "a#1" };
  memory.keep(current, [], 0);
  memory.keep(current, [engine("e1", 5)], 3000);
  expect(memory.keep(current, [], 6000)).toEqual(current);
  expect(memory.keep(current, [], 11_000)).toEqual({});
});
