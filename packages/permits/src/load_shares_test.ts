import { expect, test } from "vitest";
import { LOAD_SHARE_HALF_LIFE_MS } from "./constants.ts";
import { LoadShares } from "./load_shares.ts";

test("a workspace with most loads is over its share for a while", () => {
  const shares = new LoadShares();
  for (let i = 0; i < 9; i++) shares.count("large", 0);
  for (let i = 0; i < 3; i++) shares.count("small", 0);
  expect([shares.isOverShare("large", 0), shares.isOverShare("small", 0)])
    .toEqual([true, false]);
  const later = 10 * LOAD_SHARE_HALF_LIFE_MS;
  shares.count("small", later);
  expect(shares.isOverShare("large", later)).toBe(false);
});

test("a workspace with an equal share is not over its share", () => {
  const shares = new LoadShares();
  for (const name of ["a", "b", "c"]) shares.count(name, 0);
  expect(["a", "b", "c"].some((name) => shares.isOverShare(name, 0))).toBe(
    false,
  );
});
