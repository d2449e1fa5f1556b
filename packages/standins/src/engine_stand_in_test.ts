import { afterEach, beforeEach, expect, test } from "vitest";
import { EngineStandIn } from "./engine_stand_in.ts";
import { expectedText } from "./expected_text.ts";

const PROMPT = "user: ring\n";

let engine: EngineStandIn;

beforeEach(async () => {
  engine = new EngineStandIn({
    adapter_slots: 2,
    fencing: true,
    load_ms: 1,
    batch: { step_ms: 1, step_ms_per_request: 0, step_ms_per_adapter: 0 },
  });
  await engine.start();
});

afterEach(async () => {
  await engine.close();
});

async function sendOrder(
  action: string,
  name: string,
  epoch = 1,
): Promise<number> {
  const res = await fetch(`${engine.url}/v1/${action}_lora_adapter`, {
    method: "POST",
    headers: { "x-fencing-epoch": String(epoch) },
    body: JSON.stringify({ lora_name: name, lora_path: name }),
  });
  return res.status;
}

function chat(
  options: {
    readonly model?: string;
    readonly stream?: boolean;
    readonly max_tokens?: number;
    readonly headers?: Record<string, string>;
  } = {},
): Promise<Response> {
  const { headers = {}, ...rest } = options;
  return fetch(`${engine.url}/v1/chat/completions`, {
    method: "POST",
    headers: { "x-request-id": "r1", ...headers },
    body: JSON.stringify({
      model: "a@1",
      max_tokens: 5,
      ...rest,
      messages: [{ role: "user", content: "ring" }],
    }),
  });
}

function joinDeltas(events: string): string {
  return [...events.matchAll(/"delta":\{"content":("[^"]*")\}/g)]
    .map((match) => JSON.parse(match[1] ?? '""') as string)
    .join("");
}

test("unstreamed and streamed responses have the expected text", async () => {
  expect(await sendOrder("load", "a@1")).toBe(200);
  const text = expectedText({ version: "a@1", prompt: PROMPT, max_tokens: 5 });
  const whole = await chat();
  expect(whole.headers.get("x-request-id")).toBe("r1");
  expect(await whole.json()).toMatchObject({
    choices: [{ message: { content: text }, finish_reason: "length" }],
    usage: { prompt_tokens: 3, completion_tokens: 5 },
  });
  const events = await (await chat({ stream: true })).text();
  expect(joinDeltas(events)).toBe(text);
  expect(events.trimEnd().split("\n\n").slice(-2)).toEqual([
    expect.stringContaining('"usage"'),
    "data: [DONE]",
  ]);
});

test("loads need a free slot, and orders the newest fencing token", async () => {
  expect(await sendOrder("load", "a@1", 3)).toBe(200);
  expect(await sendOrder("load", "b@1", 3)).toBe(200);
  expect(await sendOrder("load", "c@1", 3)).toBe(409);
  expect(await sendOrder("unload", "a@1", 2)).toBe(412);
  engine.setFaults({ fail_loads_next: 1 });
  expect(await sendOrder("unload", "a@1", 3)).toBe(200);
  expect(await sendOrder("load", "c@1", 3)).toBe(500);
  expect(engine.record().loaded).toEqual(["b@1"]);
  expect((await chat()).status).toBe(404);
});

test("evicting a version in use is executed and recorded", async () => {
  await sendOrder("load", "a@1");
  engine.setFaults({ slow_token_ms: 1_000 });
  const pending = chat().catch(() => "reset");
  await expect.poll(() => engine.record().requests.length).toBe(1);
  await sendOrder("unload", "a@1");
  expect(await pending).toBe("reset");
  const { orders, requests, evicted_in_use } = engine.record();
  expect(orders.at(-1)).toMatchObject({ result: "evicted_in_use", in_use: 1 });
  expect(requests[0]?.outcome).toBe("evicted");
  expect(evicted_in_use).toBe(1);
});

test("response faults apply only to the next requests", async () => {
  await sendOrder("load", "a@1");
  const fault = { after_tokens: 2, count: 1 };
  engine.setFaults({ cut_without_end: fault });
  const cut = await (await chat({ stream: true })).text();
  expect(cut).not.toContain("[DONE]");
  engine.setFaults({ reset_mid_stream: fault });
  await expect(chat({ stream: true }).then((r) => r.text())).rejects.toThrow();
  engine.setFaults({ crossed_next: 1 });
  const headers = { "x-request-id": "r2" };
  const crossed = await chat({ headers });
  expect(crossed.headers.get("x-request-id")).toBe("r1");
  await (await chat()).text();
  expect(engine.record().requests.map((r) => r.outcome)).toEqual([
    "cut",
    "reset",
    "crossed",
    "complete",
  ]);
});

test("a deadline, a disconnecting client and a restart end requests", async () => {
  await sendOrder("load", "a@1");
  engine.setFaults({ slow_token_ms: 60_000 });
  const late = await chat({ headers: { "x-deadline-ms": "5" } });
  expect(late.status).toBe(504);
  const outcomes = () => engine.record().requests.map((r) => r.outcome);
  const controller = new AbortController();
  const abandoned = fetch(`${engine.url}/v1/completions`, {
    method: "POST",
    body: '{"model":"a@1","prompt":"x"}',
    signal: controller.signal,
  }).catch(() => "left");
  await expect.poll(() => outcomes().length).toBe(2);
  controller.abort();
  await abandoned;
  await expect.poll(() => outcomes()[1]).toBe("cancelled");
  const interrupted = chat().catch(() => "lost");
  await expect.poll(() => outcomes().length).toBe(3);
  engine.restartEmpty();
  expect(await interrupted).toBe("lost");
  expect(outcomes()).toEqual(["deadline", "cancelled", "restarted"]);
  expect(engine.record().loaded).toEqual([]);
});

test("a late response is sent complete, after its deadline", async () => {
  await sendOrder("load", "a@1");
  engine.setFaults({ late: { ms: 60, count: 1 } });
  const headers = { "x-deadline-ms": "5", "x-workspace": "w" };
  const res = await chat({ stream: true, headers });
  expect(await res.text()).toContain("[DONE]");
  const [request] = engine.record().requests;
  expect(request).toMatchObject({ outcome: "complete", workspace: "w" });
  const { start, end } = request ?? {};
  expect((end?.mono_ms ?? 0) - (start?.mono_ms ?? 0)).toBeGreaterThan(50);
});

test("a frozen engine sends no response until it resumes", async () => {
  await sendOrder("load", "a@1");
  engine.setFaults({ freeze: true });
  const pending = chat().then((res) => res.status);
  const first = await Promise.race([
    pending,
    new Promise((done) => setTimeout(done, 100, "silent")),
  ]);
  expect(first).toBe("silent");
  engine.setFaults({ freeze: false });
  expect(await pending).toBe(200);
});
