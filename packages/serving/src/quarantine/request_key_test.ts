import { expect, test } from "vitest";
import {
  isRequestKey,
  type RequestIdentity,
  requestKeyOf,
} from "./request_key.ts";

const READ: RequestIdentity = {
  method: "GET",
  host: "h",
  path: "/today",
  workspace: "w",
  model: undefined,
  adapter: undefined,
  prompt: "",
  body: undefined,
};

test("a request that comes again has the same key, with or without an empty body", () => {
  const key = requestKeyOf(READ);
  expect(isRequestKey(key)).toBe(true);
  expect(requestKeyOf({ ...READ })).toBe(key);
  expect(requestKeyOf({ ...READ, body: Buffer.alloc(0) })).toBe(key);
});

// Guards against a sound request that is held for another one.
test("requests that differ in one field have different keys", () => {
  const others: readonly Partial<RequestIdentity>[] = [
    {},
    { method: "POST" },
    { host: "g" },
    { path: "/today?page=2" },
    { workspace: "v" },
    { workspace: undefined },
    { model: "m" },
    { model: "m", adapter: "a" },
    { prompt: "5c:10" },
    { body: Buffer.from("b") },
    { body: Buffer.from("bb") },
    // Fields must not run into each other.
    { host: 'h","/today' },
    { prompt: "b" },
  ];
  const keys = others.map((change) => requestKeyOf({ ...READ, ...change }));
  expect(new Set(keys).size).toBe(others.length);
});

test("a body at a usual size limit is told from one that differs in its last byte", () => {
  const body = Buffer.alloc(1024 * 1024, 1);
  const other = Buffer.from(body);
  other[other.length - 1] = 2;
  expect(requestKeyOf({ ...READ, body })).not.toBe(
    requestKeyOf({ ...READ, body: other }),
  );
});

test("ids of prompt parts are no keys of requests", () => {
  expect(isRequestKey("5c1e07a2")).toBe(false);
});
