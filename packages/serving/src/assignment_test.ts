import { expect, test } from "vitest";
import { planAssignment } from "./assignment.ts";

const member = (owner: string, zone = "a", cores = 1) => ({
  owner,
  zone,
  cores,
});
const unassigned = (...keys: readonly string[]) =>
  keys.map((key) => ({ key, zone: "a" }));

test("engines are spread evenly over the members of their zone", () => {
  const planned = planAssignment(
    {},
    unassigned("e1", "e2", "e3", "e4"),
    [member("m1"), member("m2"), member("m3", "b")],
  );
  const counts = Object.values(planned).toSorted();
  expect(counts).toEqual(["m1", "m1", "m2", "m2"]);
});

test("engines of a zone without members are assigned to members of other zones", () => {
  const planned = planAssignment({}, unassigned("e1"), [member("m", "b")]);
  expect(planned).toEqual({ e1: "m" });
});

test("engines that are kept count toward their owner's load", () => {
  const planned = planAssignment(
    { e1: "m1", e2: "m1" },
    unassigned("e3", "e4"),
    [
      member("m1"),
      member("m2"),
    ],
  );
  expect(planned).toEqual({ e3: "m2", e4: "m2" });
});

test("without members, nothing is assigned", () => {
  expect(planAssignment({}, unassigned("e1"), [])).toEqual({});
});

test("members with many cores, which callers use, are the last to get engines", () => {
  const planned = planAssignment({}, unassigned("e1", "e2", "e3"), [
    member("strong", "a", 1.3),
    member("weak1", "a", 0.3),
    member("weak2", "a", 0.3),
  ]);
  expect(Object.values(planned).toSorted()).toEqual([
    "strong",
    "weak1",
    "weak2",
  ]);
  const two = planAssignment({}, unassigned("e1", "e2"), [
    member("strong", "a", 1.3),
    member("weak1", "a", 0.3),
    member("weak2", "a", 0.3),
  ]);
  expect(Object.values(two)).not.toContain("strong");
});
