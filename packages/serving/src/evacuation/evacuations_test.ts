import { expect, test } from "vitest";
import { Evacuations } from "./evacuations.ts";

test("a zone is out of use from its entry to the entry's removal", () => {
  const evacuations = new Evacuations();
  expect(evacuations.replace(["a", "b"], 100)).toEqual([
    { zone: "a", state: "begun", ms: undefined },
    { zone: "b", state: "begun", ms: undefined },
  ]);
  expect(evacuations.replace(["b", "a"], 200)).toEqual([]);
  expect(evacuations.isEvacuated("a")).toBe(true);
  expect(evacuations.replace(["b"], 400)).toEqual([
    { zone: "a", state: "ended", ms: 300 },
  ]);
  expect(evacuations.isEvacuated("a")).toBe(false);
  expect([...evacuations.zones]).toEqual(["b"]);
});
