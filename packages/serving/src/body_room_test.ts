import { expect, test } from "vitest";
import { BodyRoom } from "./body_room.ts";

const MAX = 60_000;
const BODY = 1000;

function fill(room: BodyRoom, workspace: string): number {
  let count = 0;
  while (count < 1000 && room.take(workspace, BODY)) count += 1;
  return count;
}

test("hot tenant: its bodies leave room for those of others", () => {
  const room = new BodyRoom(MAX);
  expect(fill(room, "hot")).toBe(40);
  expect(fill(room, "usual")).toBeGreaterThanOrEqual(10);
  expect(fill(room, "late")).toBeGreaterThanOrEqual(3);
});

test("room is never exceeded, and comes back when requests end", () => {
  const room = new BodyRoom(MAX);
  let sum = 0;
  for (const workspace of ["a", "b", "c", "d", "e", "f"]) {
    sum += fill(room, workspace);
  }
  expect(sum * BODY).toBeLessThanOrEqual(MAX);
  for (let i = 0; i < 40; i += 1) room.release("a", BODY);
  expect(room.has("a", 10 * BODY)).toBe(true);
});
