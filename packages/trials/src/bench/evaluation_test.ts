import { expect, test } from "vitest";
import { nominalStepMs, simulateSingleQueue } from "./single_queue.ts";
import { boundColdStarts } from "./cold_start_bound.ts";
import { LoadHistory } from "./load_history.ts";
import { fairShares } from "./fair_share.ts";
import { evaluateRate } from "./rate_evaluation.ts";

const limits = {
  loads_per_s: 4,
  at_once: 1,
  load_ms: 250,
  full_speed_in_flight: 8,
};

function versionUses(text: string, gap_ms: number) {
  return [...text].map((version, i) => ({ version, at_ms: i * gap_ms }));
}

test("the bound evicts the adapter whose next request is furthest", () => {
  // With two slots, c must replace b, because a is requested before b.
  const bound = boundColdStarts(versionUses("abcab", 1_000), {
    slots: 2,
    limits,
  });
  expect(bound.loads).toBe(4);
  expect(bound.stalls_ms).toEqual([250, 250, 250, 0, 250]);
});

test("the bound keeps to the store's rate and reuses a load", () => {
  const rows = [..."abca"].map((version) => ({ version, at_ms: 0 }));
  const bound = boundColdStarts(rows, { slots: 8, limits });
  expect(bound.stalls_ms).toEqual([250, 500, 750, 250]);
});

test("a request stalls until the load on its target has ended", () => {
  const order = {
    order: "load",
    name: "a@1",
    result: "loaded",
    mono_ms: 1_010,
  };
  const records = new Map([["t", { orders: [order] }]]) as never;
  const history = new LoadHistory(records, new Map([["a@1", [1_300]]]));
  const use = { target: "t", version: "a@1" };
  const stallMs = (at_ms: number, started_ms: number) =>
    history.stallMs(use, { at_ms, started_ms });
  expect(stallMs(1_000, 1_320)).toBe(300);
  expect(stallMs(1_200, 1_320)).toBe(100);
  expect(stallMs(1_400, 1_410)).toBe(0);
  expect(history.loads).toBe(1);
});

test("a refusal is wrong only if a central bucket has the tokens", () => {
  const workspace = { name: "w", rate_tokens_per_s: 100, burst_tokens: 300 };
  const request = (at_ms: number, refused: boolean) => ({
    workspace: "w",
    at_ms,
    reserved: 200,
    used: 200,
    refund_at_ms: at_ms + 100,
    refused,
  });
  const evaluation = evaluateRate(workspace, [
    request(0, false),
    request(500, true),
    request(1_000, true),
    request(1_100, true),
  ]);
  expect(evaluation.refused_centrally).toBe(2);
  expect(evaluation.wrongly_refused).toBe(1);
});

test("unused tokens are refunded when the request ends", () => {
  const workspace = { name: "w", rate_tokens_per_s: 1, burst_tokens: 300 };
  const request = (at_ms: number) => ({
    workspace: "w",
    at_ms,
    reserved: 200,
    used: 50,
    refund_at_ms: at_ms + 100,
    refused: true,
  });
  expect(evaluateRate(workspace, [request(0), request(50)]).wrongly_refused)
    .toBe(1);
  expect(evaluateRate(workspace, [request(0), request(150)]).wrongly_refused)
    .toBe(2);
});

test("a demand below the fair share is met in full", () => {
  const demands = [
    { name: "large", tokens: 900 },
    { name: "small", tokens: 10 },
    { name: "middle", tokens: 400 },
  ];
  const shares = fairShares(demands, 610);
  expect(Object.fromEntries(shares)).toEqual({
    small: 10,
    middle: 300,
    large: 300,
  });
});

test("the simulation batches requests of one adapter in shared steps", () => {
  const batch = {
    max_running: 2,
    step_ms: 8,
    step_ms_per_request: 1,
    step_ms_per_adapter: 1,
    prefill_ms_per_token: 0,
  };
  const request = {
    at_ms: 0,
    version: "a",
    class: "interactive",
    prompt_tokens: 10,
    output_tokens: 5,
  } as const;
  const fleet = { engines: 2, adapter_slots: 2, batch, limits };
  const sums = simulateSingleQueue([request, request], fleet);
  expect(sums).toEqual({ tokens: 10, step_ms: 5 * (8 + 2 + 1) });
  const totals = { steps: 5, step_requests: 10, step_adapters: 5 };
  expect(nominalStepMs(totals, batch)).toBe(sums.step_ms);
  // The engine runs two requests at once; the third starts when they end.
  const three_sums = simulateSingleQueue([request, request, request], fleet);
  expect(three_sums.tokens).toBe(15);
});
