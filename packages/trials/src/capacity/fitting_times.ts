/** Finds times of control messages that keep to the limits.
 *
 * @module
 */
import { MS_PER_S } from "./constants.ts";
import type { ControlTimes, PlanLimits, PlanSize } from "./plan_size.ts";
import type { RoleInputs } from "./role_inputs.ts";
import { controlTotal, type ModelOptions, nodeCosts } from "./role_model.ts";
import { type StoreLoad, storeLoad } from "./store_load.ts";

/** Part of a node's bytes that the instance list may take. */
const LIST_BYTES_RATIO = 0.1;

/** Part of a region's link that the fleet object may take while members join
 * and leave without a pause. */
const FLEET_LINK_RATIO = 0.4;

/** Store writes may use this part of the limit; calls that must run at most
 * once need the rest. */
const STORE_WRITE_RATIO = 0.25;

/** A change must be in force within the limit although a poll just began, was
 * lost, and is repeated. */
const POLLS_WITHIN_LIMIT = 3;

/** Time kept for the way of a change to the last node. */
const DELIVERY_MS = 2_000;

/** One way to meet the limits: the times, and what is still over. */
export interface ControlTimesCost {
  readonly times: ControlTimes;
  readonly bytes_per_s: number;
  readonly core: number;
  readonly store: StoreLoad;
  /** Bytes a second that the requests alone cost. */
  readonly request_bytes_per_s: number;
}

/** Shortest time between transfers of `bytes` within a budget. */
export function minTransferIntervalMs(
  bytes: number,
  bytes_per_s: number,
): number {
  return bytes / bytes_per_s * MS_PER_S;
}

/** Longest wait of a poll with which a change, or the refusal for lack of
 * evidence, is in force within the limit. */
export function maxConfigWaitMs(limits: PlanLimits): number {
  return Math.floor((limits.in_force_ms - DELIVERY_MS) / POLLS_WITHIN_LIMIT);
}

/** Shortest term whose renewals fit into the store's writes. */
export function minLeaseTermMs(size: PlanSize, limits: PlanLimits): number {
  const writes_per_s = limits.store_writes_per_s * STORE_WRITE_RATIO;
  return Math.ceil(size.nodes * 3 * MS_PER_S / writes_per_s);
}

/** Inline changes and part names that a shorter manifest would hold. */
const SHORT_MANIFEST_BYTES = 5_000;

/** Part of the permits and tokens that are local if steering knows the model
 * and prefers owners and share holders; assumed. */
const STEERED_LOCAL_RATIO = 0.8;

/** What the design's named changes would lead to. */
export interface ChangedDesign {
  readonly inputs: RoleInputs;
  readonly options: ModelOptions;
}

/** The inputs after the changes that the page names: a shorter manifest, and
 * steering by model. */
export function applyDesignChanges(
  inputs: RoleInputs,
  context: { readonly options: ModelOptions; readonly times: ControlTimes },
): ChangedDesign {
  return {
    inputs: { ...inputs, manifest_bytes: SHORT_MANIFEST_BYTES },
    options: {
      ...context.options,
      times: context.times,
      local_permit_ratio: STEERED_LOCAL_RATIO,
      local_token_ratio: STEERED_LOCAL_RATIO,
    },
  };
}

function roundUpToSecond(ms: number): number {
  return Math.ceil(ms / MS_PER_S) * MS_PER_S;
}

/** Times that the size calls for, with what they lead to. */
export function fitControlTimes(
  size: PlanSize,
  inputs: RoleInputs,
  context: { readonly options: ModelOptions; readonly limits: PlanLimits },
): ControlTimesCost {
  const { limits, options } = context;
  const budget_bytes_per_s = limits.control_bytes_per_s;
  const { fleet_change_link_ms } = storeLoad(size, inputs, options);
  const times: ControlTimes = {
    ...options.times,
    lease_term_ms: roundUpToSecond(
      Math.max(options.times.lease_term_ms, minLeaseTermMs(size, limits)),
    ),
    config_wait_ms: maxConfigWaitMs(limits),
    list_interval_ms: roundUpToSecond(
      Math.max(
        options.times.list_interval_ms,
        minTransferIntervalMs(
          inputs.list_bytes,
          budget_bytes_per_s * LIST_BYTES_RATIO,
        ),
      ),
    ),
    fleet_coalesce_ms: roundUpToSecond(
      Math.max(
        options.times.fleet_coalesce_ms,
        fleet_change_link_ms / FLEET_LINK_RATIO,
      ),
    ),
  };
  return evaluateOptions(size, inputs, { ...options, times });
}

/** What a node and the store spend with given options. */
export function evaluateOptions(
  size: PlanSize,
  inputs: RoleInputs,
  options: ModelOptions,
): ControlTimesCost {
  const rows = nodeCosts(size, inputs, options);
  const total = controlTotal(rows, inputs);
  const store = storeLoad(size, inputs, options);
  const request_rows = rows.filter((row) => /^(entry|owner)/.test(row.role));
  return {
    times: options.times,
    bytes_per_s: total.bytes_per_s,
    core: total.core,
    store,
    request_bytes_per_s: request_rows.reduce(
      (sum, r) => sum + r.bytes_per_s,
      0,
    ),
  };
}
