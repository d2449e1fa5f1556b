import type { ReportRow } from "@banyanlb/serving";
import { expect, test } from "vitest";
import { SentRows } from "./sent_rows.ts";

test("a value is sent when it changes, and with each refresh", () => {
  const sent = new SentRows();
  const row = (state: number): ReportRow<string> => ["a", state, `v${state}`];
  expect(sent.takeChanged("k", [row(1)], false)).toEqual({ a: "v1" });
  expect(sent.takeChanged("k", [row(1)], false)).toBeUndefined();
  expect(sent.takeChanged("k", [row(2)], false)).toEqual({ a: "v2" });
  expect(sent.takeChanged("k", [row(2)], true)).toEqual({ a: "v2" });
  expect(sent.takeChanged("k", [], true)).toBeUndefined();
});

test("kinds with the same names are kept apart", () => {
  const sent = new SentRows();
  sent.takeChanged("k", [["a", 1, 1]], false);
  expect(sent.takeChanged("other", [["a", 1, 1]], false)).toEqual({ a: 1 });
});

test("a row that is reported again after many others is sent again", () => {
  const sent = new SentRows();
  sent.takeChanged("k", [["a", 1, 1]], false);
  for (let i = 0; i < 100; i += 1) {
    sent.takeChanged("k", [[`b${i}`, 1, 1]], false);
  }
  expect(sent.takeChanged("k", [["a", 1, 1]], false)).toEqual({ a: 1 });
});
