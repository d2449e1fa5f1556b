import { expect, test } from "vitest";
import { EventBoundary } from "./event_boundary.ts";

function isReachedAfter(...chunks: readonly string[]): boolean {
  const boundary = new EventBoundary();
  for (const chunk of chunks) boundary.push(Buffer.from(chunk));
  return boundary.isReached;
}

test("a stream is between events at its start and after a blank line", () => {
  expect(isReachedAfter()).toBe(true);
  expect(isReachedAfter("id: 1\ndata: a\n\n")).toBe(true);
  expect(isReachedAfter("id: 1\r\ndata: a\r\n\r\n")).toBe(true);
  expect(isReachedAfter(..."id: 1\ndata: a\n\n")).toBe(true);
  expect(isReachedAfter(..."data: a\r\n\r\n")).toBe(true);
});

test("a stream is inside an event after anything else", () => {
  expect(isReachedAfter("i")).toBe(false);
  expect(isReachedAfter("id: 1\ndata: a\n")).toBe(false);
  expect(isReachedAfter("data: a\n\nid: 2")).toBe(false);
  expect(isReachedAfter("data: a\n", "\n", "x")).toBe(false);
  expect(isReachedAfter("data: a\r\n")).toBe(false);
});
