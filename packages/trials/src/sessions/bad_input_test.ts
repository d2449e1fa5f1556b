import { connect } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import { Caller } from "../harness/caller.ts";
import { Cluster, waitUntil } from "../harness/cluster.ts";

const CHAT = "/v1/chat/completions";
const MAX_BODY_BYTES = 4_096;

let cluster: Cluster;
let caller: Caller;
let key: string;

beforeAll(async () => {
  cluster = await Cluster.start({
    deployment: "kim_quy",
    instances: 1,
    adapters: 10,
    targets_per_pool: 1,
    settings: { max_body_bytes: MAX_BODY_BYTES },
  });
  caller = new Caller({ seeds: cluster.seeds, random: () => 0 });
  key = cluster.keyOf("large-buyer");
});

afterAll(async () => {
  await caller?.close();
  await cluster?.close();
});

function validBody() {
  const model = cluster.objects.routes[0]?.route;
  const messages = [{ role: "user", content: "hello" }];
  return { model, messages, max_tokens: 4 };
}

/** Sends raw text and returns everything that is received until the connection
 * closes. */
function sendRaw(text: string): Promise<string> {
  const url = new URL(cluster.seeds[0] ?? "");
  return new Promise((resolve, reject) => {
    const socket = connect(Number(url.port), url.hostname);
    let received = "";
    socket.on("data", (data) => received += data);
    socket.on("error", reject);
    socket.on("close", () => resolve(received));
    socket.write(text);
  });
}

const refused_requests:
  readonly (readonly [string, number, string, unknown])[] = [
    ["invalid JSON", 400, "bad_request", "{"],
    ["an array", 400, "bad_request", "[]"],
    ["no model", 400, "bad_request", { messages: [{}] }],
    ["no messages", 400, "bad_request", { model: "a" }],
    ["max_tokens 0", 400, "bad_request", {
      model: "a",
      messages: [{}],
      max_tokens: 0,
    }],
    ["several choices", 400, "bad_request", {
      model: "a",
      messages: [{}],
      n: 2,
    }],
    ["an unknown route", 404, "unknown_model", { model: "a", messages: [{}] }],
    ["an unknown version", 404, "unknown_model", {
      model: "spec-large-buyer-1@9",
      messages: [{}],
    }],
    [
      "an oversized body",
      413,
      "body_too_large",
      "x".repeat(MAX_BODY_BYTES + 1),
    ],
  ];

test.each(refused_requests)(
  "%s is refused with %i %s",
  async (_, status, kind, body) => {
    const result = await caller.call({ path: CHAT, key, body: body as object });
    expect([result.status, result.error_type, result.not_run])
      .toEqual([status, kind, true]);
    expect(JSON.parse(result.body).error.remedy).not.toBe("");
  },
);

test.each([
  ["no key", undefined, 401, "unauthorized"],
  ["a wrong key", "wrong", 401, "unauthorized"],
])("%s is refused", async (_, wrong, status, kind) => {
  const auth = wrong === undefined ? {} : { key: wrong };
  const url = cluster.seeds[0] ?? "";
  const result = await caller.call({
    path: CHAT,
    body: validBody(),
    url,
    ...auth,
  });
  expect([result.status, result.error_type, result.not_run])
    .toEqual([status, kind, true]);
});

test("an unknown path is refused as JSON", async () => {
  const result = await caller.call({ path: "/v2/chat", key, body: {} });
  expect([result.status, result.error_type]).toEqual([404, "unknown_route"]);
});

test("input that is not HTTP is refused as JSON", async () => {
  const response = await sendRaw("NOT HTTP\r\n\r\n");
  expect(response).toContain("400 Bad Request");
  expect(response).toContain('"type":"bad_request"');
});

test("oversized headers are refused as JSON", async () => {
  const header = `x-long: ${"x".repeat(64 * 1024)}\r\n`;
  const response = await sendRaw(`GET /livez HTTP/1.1\r\n${header}\r\n`);
  expect(response).toContain("the headers are too large");
});

test("an endless body is cut off and affects no other request", async () => {
  const chunk = `400\r\n${"x".repeat(0x400)}\r\n`;
  const head = `POST ${CHAT} HTTP/1.1\r\nhost: a\r\n` +
    `authorization: Bearer ${key}\r\ntransfer-encoding: chunked\r\n\r\n`;
  const endless_response = sendRaw(head + chunk.repeat(8));
  const slow_response = sendRaw("GET /livez HTTP/1.1\r\nhost:");
  const result = await caller.call({ path: CHAT, key, body: validBody() });
  expect([result.status, result.whole]).toEqual([200, true]);
  expect(await endless_response).toContain('"type":"body_too_large"');
  expect(await slow_response).toContain("did not arrive whole in time");
});

test("an idempotency key is required and is bound to its body", async () => {
  const path = "/services/deposit/a";
  const key = cluster.keyOf("saigon-satchels");
  const send = (body: object, headers: Record<string, string>) =>
    caller.call({ path, key, body, headers });
  const without_key = await send({ a: 1 }, {});
  expect([without_key.status, without_key.error_type, without_key.not_run])
    .toEqual([400, "idempotency_key_required", true]);
  const headers = { "idempotency-key": "k1" };
  expect((await send({ a: 1 }, headers)).status).toBe(200);
  const other_body = await send({ a: 2 }, headers);
  expect([other_body.status, other_body.error_type, other_body.not_run])
    .toEqual([422, "idempotency_key_reused", true]);
});

test("a caller that disconnects gets the outcome by repeating", async () => {
  const service = cluster.targets.find(({ name }) => name === "desk-1");
  const call = {
    path: "/services/deposit/b",
    key: cluster.keyOf("saigon-satchels"),
    body: { amount: 5 },
    headers: { "idempotency-key": "gone" },
  };
  await service?.control.setFaults({ answer_delay_ms: 500 });
  const aborted_call = caller.call({
    ...call,
    signal: AbortSignal.timeout(200),
  });
  await expect(aborted_call).rejects.toThrow();
  await service?.control.reset();
  await waitUntil(async () => (await caller.call(call)).status === 200, {
    what: "the outcome is recorded",
  });
  const repeat = await caller.call(call);
  expect(repeat.headers["idempotent-replayed"]).toBe("true");
});

test("health, readiness and the list of models are served", async () => {
  const get = (path: string) => caller.call({ method: "GET", path, key });
  expect((await get("/livez")).status).toBe(200);
  expect((await get("/readyz")).status).toBe(200);
  const models = JSON.parse((await get("/v1/models")).body);
  const ids = models.data.map((row: { readonly id: string }) => row.id);
  expect(ids).toContain("spec-large-buyer-1");
  expect(ids).toContain("spec-large-buyer-1@1");
  expect(ids.some((id: string) => id.includes("thu-duc"))).toBe(false);
});

test.each(["/a%20b", "/a%2Fb", "/a%3Fadmin=1", "/a?q=b?c", "", "?q=1"])(
  "a service receives the path %s as the caller sent it",
  async (path) => {
    const url = cluster.seeds[0] ?? "";
    const result = await caller.call({
      method: "GET",
      path: `/services/catalogue${path}`,
      url,
    });
    const received_path = JSON.parse(result.body).path;
    expect(received_path).toBe(path.startsWith("/") ? path : `/${path}`);
  },
);

test("an open service route needs no key", async () => {
  const url = cluster.seeds[0] ?? "";
  const path = "/services/catalogue/list?page=2";
  const result = await caller.call({ method: "GET", path, url });
  expect(result.status).toBe(200);
  expect(JSON.parse(result.body).path).toBe("/list?page=2");
});
