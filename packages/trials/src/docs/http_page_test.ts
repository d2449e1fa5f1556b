import { Refusal, type RefusalKind } from "@banyanlb/core";
import { readFileSync } from "node:fs";
import { expect, test } from "vitest";

const TABLE_ROW = /^\| `(\w+)` *\| (\d{3}) +\| ([^|]*?) *\|/gm;
const REFUSAL_KIND = /^ {2}\| "(\w+)"/gm;

function read(path: string): string {
  const url = new URL(`../../../../${path}`, import.meta.url);
  return readFileSync(url, "utf8");
}

test("the HTTP page has every refusal kind with its status and remedy", () => {
  const source = read("packages/core/src/refusal.ts");
  const kinds = [...source.matchAll(REFUSAL_KIND)].map((m) =>
    m[1] as RefusalKind
  );
  const rows = [...read("docs/HTTP.md").matchAll(TABLE_ROW)].map((m) =>
    m.slice(1)
  );
  const expected = kinds.map((kind) => {
    const { status, remedy } = new Refusal(kind, {
      message: "",
      not_run: true,
    });
    return [kind, String(status), remedy];
  });
  expect(expected.length).toBeGreaterThan(0);
  expect(rows).toEqual(expected);
});
