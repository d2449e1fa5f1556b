import { afterEach, beforeEach, expect, test } from "vitest";
import { StoreStandIn } from "./store_stand_in.ts";

const OBJECT_PATH = "/v1/objects/fleet/fleet";

let store: StoreStandIn;

beforeEach(async () => {
  store = new StoreStandIn();
  await store.start();
});

afterEach(async () => {
  await store.close();
});

function create(body: string): Promise<Response> {
  const headers = { "if-none-match": "*" };
  return fetch(`${store.url}${OBJECT_PATH}`, { method: "PUT", headers, body });
}

function update(version: string, body: string): Promise<Response> {
  const headers = { "if-match": version };
  return fetch(`${store.url}${OBJECT_PATH}`, { method: "PUT", headers, body });
}

async function readVersion(res: Response): Promise<string> {
  return (await res.json() as { version: string }).version;
}

test("writes are conditional and end watches", async () => {
  const first = await readVersion(await create("{}"));
  expect((await create("{}")).status).toBe(409);
  const watch = fetch(
    `${store.url}${OBJECT_PATH}?watch=${first}&wait_ms=10000`,
  );
  expect((await update("other", "1")).status).toBe(409);
  expect((await update(first, '{"n":2}')).status).toBe(200);
  expect(await (await watch).json()).toMatchObject({ value: { n: 2 } });
  const removed = await fetch(`${store.url}${OBJECT_PATH}`, {
    method: "DELETE",
    headers: { "if-match": "2" },
  });
  expect(removed.status).toBe(204);
  expect((await update("2", "1")).status).toBe(404);
  expect(store.history.map((row) => row.op)).toEqual([
    "create",
    "update",
    "remove",
  ]);
});

test("a write whose response is lost is applied, a failed one is not", async () => {
  store.setFaults({ error_next: { count: 1, kind: "fleet" } });
  expect((await create("1")).status).toBe(503);
  expect(store.history).toHaveLength(0);
  store.setFaults({ lose_answer_next: { count: 1, name_prefix: "fl" } });
  await expect(create("1")).rejects.toThrow();
  expect(store.history).toHaveLength(1);
});

test("calls above the rate limit get 429, and bytes are counted", async () => {
  store.setFaults({ writes_per_s: 0.001 });
  const res = await create("1");
  expect(res.status).toBe(429);
  expect(Number(res.headers.get("retry-after"))).toBeGreaterThan(0);
  await expect.poll(() => store.counts["fleet create"]?.calls).toBe(1);
  expect(store.counts["fleet create"]?.bytes_in).toBeGreaterThan(50);
});

test("a value over 1 MiB is refused", async () => {
  const body = JSON.stringify("x".repeat(1_048_576));
  expect((await create(body)).status).toBe(413);
});

test("an unknown fault name is refused", async () => {
  const res = await fetch(`${store.url}/_control/faults`, {
    method: "POST",
    body: '{"outtage":"hang"}',
  });
  expect(res.status).toBe(400);
});

test("an outage resets calls, but not those of the control API", async () => {
  const url = `${store.url}${OBJECT_PATH}?watch=&wait_ms=60000`;
  const watch = fetch(url).catch(() => "reset");
  await expect.poll(() => store.waiting).toBe(1);
  store.setFaults({ outage: "refuse" });
  expect(await watch).toBe("reset");
  await expect(create("1")).rejects.toThrow();
  const res = await fetch(`${store.url}/_control/record`);
  expect(res.status).toBe(200);
});
