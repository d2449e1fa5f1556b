import { expect, test } from "vitest";
import { packList, unpackList } from "./packed_list.ts";

function listOf(routes: number) {
  const value = {
    version: 1,
    routes: Array.from({ length: routes }, (_, i) => ({
      name: `route${i}`,
      service: "completions",
      timeoutMs: 12_000,
    })),
  };
  return {
    records: [{ name: "main", revision: 7, value }],
    revision: 9,
    removals: [{ name: "old", revision: 8 }],
  };
}

// Guards against a long configuration that fills the links between instances.
test("a long list is sent in a tenth of its length", () => {
  const list = listOf(1500);
  const message = packList(list);
  expect(message.list).toBeUndefined();
  expect(unpackList(message)).toEqual(list);
  expect(JSON.stringify(message).length)
    .toBeLessThan(JSON.stringify(list).length / 10);
});

test("a short list is sent as it is", () => {
  const list = listOf(1);
  expect(packList(list)).toEqual({ list });
  expect(unpackList(packList(list))).toEqual(list);
});

// Guards against a process that ends because of what a peer sends.
test("damaged text and text without end are errors", () => {
  expect(() => unpackList({ packed: "AAAA" })).toThrow();
  const { packed } = packList({
    records: [{ name: "main", revision: 1, value: "x".repeat(9 * 2 ** 20) }],
    revision: 1,
  }) as { readonly packed: string };
  expect(() => unpackList({ packed })).toThrow();
});
