import { describe, expect, test } from "vitest";
import type { ChangeView } from "../change_loop.ts";
import type { TimedResponse } from "../keep_alive_connection.ts";
import type { Probe } from "../prober.ts";
import { checkConfiguration } from "./configuration_check.ts";
import { checkLoads } from "./order_and_load_check.ts";
import { checkCutRequests } from "./shutdown_check.ts";
import { checkAnswersAfter } from "./withdrawal_check.ts";

function responseAt(at_ms: number, text: string, status = 200): TimedResponse {
  const parts = [{ at_ms, text }];
  return { sent_ms: at_ms, ended_ms: at_ms, status, parts, ended: true };
}

function probeAt(at_ms: number, names: readonly string[]): Probe {
  const data = names.map((id) => ({ id }));
  return { instance: 0, answer: responseAt(at_ms, JSON.stringify({ data })) };
}

function accepted(number: number, replied_ms: number): ChangeView {
  const mark = `t-${number}-x`;
  return { mark, number, outcome: "accepted", replied_ms, is_invalid: false };
}

const options = {
  tag: "t",
  propagation_limit_ms: 3_000,
  nameOf: () => "entry-1",
};

describe("checks", () => {
  test("finds a token after the cutoff, but not an error event", () => {
    const token = 'data: {"choices":[]}\n\n';
    const error = 'data: {"error":{}}\n\n';
    expect(checkAnswersAfter([responseAt(11, token)], 10)).toHaveLength(1);
    expect(checkAnswersAfter([responseAt(11, error)], 10)).toEqual([]);
    expect(checkAnswersAfter([responseAt(11, token, 401)], 10)).toEqual([]);
  });

  test("finds late, partial and reverted changes", () => {
    const views = [accepted(1, 0), accepted(2, 1_000)];
    const first = ["t-1-x.a", "t-1-x.b"];
    const second = ["t-2-x.a", "t-2-x.b"];
    const in_order = [probeAt(3_999, first), probeAt(4_000, second)];
    expect(checkConfiguration(in_order, views, options)).toEqual([]);
    const late = [probeAt(4_000, first)];
    expect(checkConfiguration(late, views, options)).toHaveLength(1);
    const partial = [probeAt(4_000, ["t-2-x.a"])];
    expect(checkConfiguration(partial, views, options)).toHaveLength(1);
    const reverted = [probeAt(1_500, second), probeAt(1_600, first)];
    expect(checkConfiguration(reverted, views, options)).toHaveLength(1);
  });

  test("finds a race with two accepted changes and one with none", () => {
    const two = [accepted(1, 0), { ...accepted(1, 0), mark: "t-1-y" }];
    expect(checkConfiguration([], two, options)).toHaveLength(1);
    const none = two.map((v) => ({ ...v, outcome: "conflict" as const }));
    expect(checkConfiguration([], none, options)).toHaveLength(1);
  });

  test("counts a stream without its end marker as cut off, but not a refusal", () => {
    const cut = { name: "it", answer: responseAt(0, "data: {}\n\n") };
    expect(checkCutRequests([cut], false)).toHaveLength(1);
    const error = 'data: {"error":{"type":"stale_configuration"}}\n\n';
    const stale = { name: "it", answer: responseAt(0, error) };
    expect(checkCutRequests([stale], false)).toEqual([]);
    expect(checkCutRequests([stale], true)).toHaveLength(1);
    const refused = { name: "it", answer: responseAt(0, "{}", 503) };
    expect(checkCutRequests([refused], false)).toEqual([]);
    expect(checkCutRequests([refused], true)).toHaveLength(1);
  });

  test("finds loads above rate and burst", () => {
    const start = { mono_ms: 0, wall_ms: 0 };
    const loads = Array.from({ length: 9 }, () => ({
      path: "p",
      start,
      in_flight: 1,
    }));
    const limits = { rate_tokens_per_s: 4, burst_tokens: 8 };
    expect(checkLoads(loads.slice(1), limits)).toEqual([]);
    expect(checkLoads(loads, limits)).toHaveLength(1);
  });
});
