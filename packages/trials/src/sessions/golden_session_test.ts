import type { EngineRecord, ServiceCall } from "@banyanlb/standins";
import { afterAll, beforeAll, expect, test } from "vitest";
import { Caller, type CallOptions } from "../harness/caller.ts";
import { Cluster, waitUntil } from "../harness/cluster.ts";

const CHAT = "/v1/chat/completions";
const MAX_TOKENS = 6;

/** Headers that are added by a client library or whose values differ in each
 * run. */
const UNSTABLE_HEADERS = new Set(["host", "connection", "content-length"]);

interface StoredIntent {
  readonly op: string;
  readonly kind: string;
  readonly value: { readonly state: string };
}

let cluster: Cluster;
let caller: Caller;

beforeAll(async () => {
  cluster = await Cluster.start({
    deployment: "kim_quy",
    instances: 1,
    adapters: 10,
    targets_per_pool: 1,
    // With one engine, every completion has the same target.
    editObjects: (objects) => objects.filter((o) => o.name !== "order-1"),
  });
  caller = new Caller({ seeds: cluster.seeds, random: () => 0 });
});

afterAll(async () => {
  await caller?.close();
  await cluster?.close();
});

/** Replaces values that differ in each run by placeholders. */
function normalize(text: string): string {
  return text
    .replace(/"created":\d+/g, '"created":0')
    .replace(/[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}/g, "UUID")
    .replace(/http:\/\/127[.\d]+:\d+/g, "http://ENTRY");
}

async function record(name: string, options: CallOptions) {
  const result = await caller.call(options);
  const replayed = result.headers["idempotent-replayed"];
  return {
    name,
    status: result.status,
    type: result.headers["content-type"],
    whole: result.whole,
    ...(replayed === undefined ? {} : { replayed }),
    body: normalize(result.body),
  };
}

function chat(model: string, stream: boolean) {
  const messages = [{ role: "user", content: "a short order of service" }];
  return { model, stream, max_tokens: MAX_TOKENS, messages };
}

async function recordCallers() {
  const key = cluster.keyOf("large-buyer");
  const order = {
    path: "/services/confirm/orders?copy=1",
    key: cluster.keyOf("hanoi-satchels"),
    body: { order: 7 },
    headers: { "idempotency-key": "order-7" },
  };
  const model = "spec-large-buyer-1";
  const steps: readonly (readonly [string, CallOptions])[] = [
    ["steering", { method: "GET", path: "/v1/steering", key }],
    ["cold stream", { path: CHAT, key, body: chat(model, true) }],
    ["whole answer", { path: CHAT, key, body: chat(`${model}@1`, false) }],
    ["text completion", {
      path: "/v1/completions",
      key,
      body: { model, prompt: "bell", max_tokens: MAX_TOKENS },
    }],
    ["foreign version", {
      path: CHAT,
      key,
      body: chat("spec-thu-duc-1@1", true),
    }],
    ["order", order],
    ["order repeated", order],
  ];
  const views = [];
  for (const [name, options] of steps) views.push(await record(name, options));
  await cluster.operator().client.operator.withdraw_key
    .mutate({ name: "large-buyer-key" });
  await waitUntil(async () => {
    const result = await caller.call({ path: CHAT, key, body: {} });
    return result.error_type === "unauthorized";
  }, { what: "withdrawn key is refused" });
  const withdrawn = { path: CHAT, key, body: chat(model, true) };
  views.push(await record("withdrawn key", withdrawn));
  return views;
}

function headerNames(headers: object): readonly string[] {
  return Object.keys(headers).filter((name) => !UNSTABLE_HEADERS.has(name))
    .sort();
}

async function recordTargets() {
  const [engine, service] = ["assistant-1", "desk-1"]
    .map((name) => cluster.targets.find((target) => target.name === name));
  const { requests, orders } = await engine!.control.record<EngineRecord>();
  const { calls } = await service!.control.record<
    { readonly calls: readonly ServiceCall[] }
  >();
  return {
    requests: requests.map(({ version, workspace, outcome, ...row }) => ({
      version,
      workspace,
      outcome,
      prompt_tokens: row.prompt_tokens,
      tokens: row.tokens,
      headers: headerNames(row.headers),
    })),
    orders: orders.map(({ order, name, result }) => ({ order, name, result })),
    calls: calls.map(({ method, path, body, status, headers }) => ({
      method,
      path,
      body,
      status,
      workspace: headers["x-workspace"],
      headers: headerNames(headers),
    })),
  };
}

async function recordIntents() {
  const { history } = await cluster.store.record<
    { readonly history: readonly StoredIntent[] }
  >();
  // Lease renewals are left out: their number depends on the session's length.
  return history.filter((row) => row.kind === "intent")
    .map(({ op, value }) => ({ op, state: value.state }));
}

test("callers, targets and store record the golden session", async () => {
  const callers = await recordCallers();
  const targets = await recordTargets();
  await waitUntil(async () => (await recordIntents()).length >= 2, {
    what: "the outcome of the order is recorded",
  });
  const session = { callers, targets, store: await recordIntents() };
  await expect(`${JSON.stringify(session, null, 2)}\n`)
    .toMatchFileSnapshot("./golden/session.json");
});
