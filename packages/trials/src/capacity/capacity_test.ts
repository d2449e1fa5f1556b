import { describe, expect, test } from "vitest";
import { fitLine, valueAt } from "./fit.ts";
import {
  applyDesignChanges,
  fitControlTimes,
  maxConfigWaitMs,
  minLeaseTermMs,
  minTransferIntervalMs,
} from "./control_times.ts";
import { CURRENT_TIMES, PLAN_LIMITS, PLAN_SIZE } from "./plan_size.ts";
import { partCountFor, type RoleInputs } from "./role_inputs.ts";
import {
  controlTotal,
  type ModelOptions,
  nodeCosts,
  requestBytes,
} from "./role_model.ts";
import { storeLoad } from "./store_load.ts";
import { failureScenarios } from "./failure_scenarios.ts";
import { fitSlope, Slopes } from "./slope.ts";

const INPUTS: RoleInputs = {
  basis: {},
  renewal_bytes: 500,
  session_read_bytes: 400,
  manifest_poll_bytes: 300,
  exchange_bytes: 200,
  fleet_bytes: 100_000,
  manifest_bytes: 20_000,
  list_bytes: 80_000,
  permit_bytes: 600,
  permit_rate_bytes: 1_000,
  entry_s: 0.002,
  entry_far_s: 0.003,
  owner_s: 0.001,
  owner_far_s: 0.0015,
  token_s: 0.00005,
  plan_ms: 5,
  fleet_read_ms: 2,
  shares_ms: 20,
  apply_ms: 1,
  rank_ms: 1,
  idle_core: 0.004,
  resident_bytes: 300_000_000,
  resident_peer_bytes: 400_000_000,
  peak_bytes: 400_000_000,
  snapshot_bytes: 130_000_000,
  start_ms: 5_000,
  start_peer_ms: 4_000,
  start_bytes: 70_000_000,
  start_part_reads: 256,
  serve_start_s: 1,
  in_force_ms: 200,
  take_over_ms: 7_000,
  join_fleet_writes: 3,
  leave_fleet_writes: 3,
  kill_fleet_writes: 1,
};

const OPTIONS: ModelOptions = {
  times: CURRENT_TIMES,
  local_permit_ratio: 0,
  local_token_ratio: 0.5,
  plans_at_every_interval: true,
};

describe("fit", () => {
  test("fits the least-squares line to points with noise", () => {
    const points = [
      { x: 1, y: 1 },
      { x: 2, y: 3 },
      { x: 3, y: 2 },
      { x: 4, y: 4 },
    ];
    const fit = fitLine(points);
    expect(fit.slope).toBeCloseTo(0.8);
    expect(fit.intercept).toBeCloseTo(0.5);
    expect(fit.r2).toBeCloseTo(0.64);
    expect(valueAt(fit, 10)).toBeCloseTo(8.5);
  });

  test("rejects a fit of two distinct sizes, even with three points", () => {
    const points = [{ x: 1, y: 1 }, { x: 2, y: 2 }, { x: 2, y: 3 }];
    expect(() => fitLine(points)).toThrow("3 sizes");
  });

  test("reports sizes beyond the measured ones as extrapolated", () => {
    const points = [9, 30, 60].map((x) => ({ x, y: x }));
    const slopes = new Slopes([
      fitSlope({ name: "s", what: "", per: "", unit: "", points }),
    ]);
    expect(slopes.basisAt("s", 60)).toBe("measured");
    expect(slopes.basisAt("s", 40)).toBe("fitted");
    expect(slopes.basisAt("s", 350)).toBe("extrapolated");
    expect(() => slopes.get("t")).toThrow("not measured");
  });
});

describe("role model", () => {
  test("counts the bytes of a request for the entry and for the owner", () => {
    const rows = nodeCosts(PLAN_SIZE, INPUTS, OPTIONS);
    const entry = rows.find((row) => row.role.startsWith("entry"));
    const owner = rows.find((row) => row.role.startsWith("owner"));
    const per_s = 1_100 / 350 * 800;
    expect(requestBytes(INPUTS, OPTIONS)).toBe(800);
    expect(entry?.bytes_per_s).toBeCloseTo(per_s);
    expect(owner?.bytes_per_s).toBeGreaterThan(per_s);
  });

  test("counts an entry's bytes as control, but not its processor time", () => {
    const rows = nodeCosts(PLAN_SIZE, INPUTS, OPTIONS);
    const total = controlTotal(rows, INPUTS);
    const all = rows.reduce((sum, row) => sum + row.core, 0);
    const entry = rows.find((row) => row.role.startsWith("entry"));
    expect(total.core).toBeCloseTo(all - (entry?.core ?? 0));
    const bytes = rows.reduce((sum, row) => sum + row.bytes_per_s, 0);
    expect(total.bytes_per_s).toBeCloseTo(bytes);
  });

  test("each node renews three times a lease term", () => {
    const load = storeLoad(PLAN_SIZE, INPUTS, OPTIONS);
    const renewals = 350 * 3 / 6;
    expect(load.writes_per_s).toBeGreaterThan(renewals);
    expect(load.writes_per_s).toBeLessThan(renewals + 1);
  });

  test("the number of parts doubles until no part has too many objects", () => {
    expect(partCountFor(1_000)).toBe(16);
    expect(partCountFor(170_000)).toBe(256);
  });

  test("a lost failure domain moves the targets of 32 nodes", () => {
    const figures = failureScenarios(PLAN_SIZE, {
      inputs: INPUTS,
      options: OPTIONS,
      limits: PLAN_LIMITS,
    });
    const lost_domain = figures.find((row) =>
      row.day.startsWith("a failure") && row.what.startsWith("questions")
    );
    expect(lost_domain?.value).toBeCloseTo(32 * 1_700 / 350 * 318);
  });
});

describe("changed design", () => {
  test("permits and tokens granted locally cost no bytes", () => {
    const { inputs, options } = applyDesignChanges(INPUTS, {
      options: OPTIONS,
      times: CURRENT_TIMES,
    });
    const partly_local = {
      ...options,
      local_permit_ratio: 0.7,
      local_token_ratio: 0.7,
    };
    expect(requestBytes(inputs, partly_local)).toBeCloseTo(0.3 * 1_000);
    const today = requestBytes(INPUTS, OPTIONS);
    expect(requestBytes(inputs, options)).toBeLessThan(today / 2);
    const fully_local = {
      ...options,
      local_permit_ratio: 1,
      local_token_ratio: 1,
    };
    expect(requestBytes(inputs, fully_local)).toBe(0);
    expect(inputs.manifest_bytes).toBeLessThan(INPUTS.manifest_bytes);
  });
});

describe("fitting times", () => {
  test("a lost and repeated poll stays within the in-force limit", () => {
    const wait_ms = maxConfigWaitMs(PLAN_LIMITS);
    expect(3 * wait_ms).toBeLessThan(PLAN_LIMITS.in_force_ms);
  });

  test("the lease term keeps renewals within a quarter of the writes", () => {
    const term_ms = minLeaseTermMs(PLAN_SIZE, PLAN_LIMITS);
    expect(350 * 3 / (term_ms / 1_000)).toBeLessThanOrEqual(100);
  });

  test("fitted times need fewer bytes and store calls than today's", () => {
    const context = { options: OPTIONS, limits: PLAN_LIMITS };
    const fitted = fitControlTimes(PLAN_SIZE, INPUTS, context);
    const today = storeLoad(PLAN_SIZE, INPUTS, OPTIONS);
    const rows = nodeCosts(PLAN_SIZE, INPUTS, OPTIONS);
    expect(fitted.store.reads_per_s).toBeLessThan(today.reads_per_s / 2);
    expect(fitted.store.writes_per_s).toBeLessThan(today.writes_per_s);
    expect(fitted.bytes_per_s)
      .toBeLessThan(controlTotal(rows, INPUTS).bytes_per_s);
    expect(minTransferIntervalMs(80_000, 400)).toBe(200_000);
  });
});
