import { expect, test } from "vitest";
import { rankByRendezvous } from "./hash.ts";

test("rankByRendezvous keeps the remaining order if an item is removed", () => {
  const items = ["a", "b", "c", "d", "e"];
  const rank = (list: readonly string[]) =>
    rankByRendezvous(list, { key: "k", name: (item) => item });
  const all = rank(items);
  const without = rank(items.filter((item) => item !== all[1]));
  expect(without).toEqual(all.filter((item) => item !== all[1]));
});
