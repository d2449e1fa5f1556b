/** Derives control message intervals that keep the limits of the plan.
 *
 * @module
 */
import { MS_PER_S } from "./constants.ts";
import type { ControlTimes, PlanLimits, PlanSize } from "./plan_size.ts";
import type { RoleInputs } from "./role_inputs.ts";
import { controlTotal, type ModelOptions, nodeCosts } from "./role_model.ts";
import { type StoreLoad, storeLoad } from "./store_load.ts";

/** Ratio of a node's control bytes that reads of the instance list may use. */
const LIST_BYTES_RATIO = 0.1;

/** Ratio of a region's link that transfers of the fleet object may use while
 * members join and leave continuously. */
const FLEET_LINK_RATIO = 0.4;

/** Ratio of the store's write limit that lease renewals may use; calls that
 * must run at most once need the remainder. */
const STORE_WRITE_RATIO = 0.25;

/** Poll waits that must fit into the in-force limit: a change must be in force
 * in time although a poll had just begun, was lost, and is repeated. */
const POLLS_WITHIN_LIMIT = 3;

/** Time reserved for the delivery of a change to the last node. */
const DELIVERY_MS = 2_000;

/** Control times and the cost of a node and the store that results. */
export interface ControlTimesCost {
  readonly times: ControlTimes;
  readonly bytes_per_s: number;
  /** Processor time for control, as a ratio of a core. */
  readonly core: number;
  readonly store: StoreLoad;
  /** Bytes a second of control that is caused by callers' requests. */
  readonly request_bytes_per_s: number;
}

/** Shortest interval between transfers of `bytes` that keeps `bytes_per_s`. */
export function minTransferIntervalMs(
  bytes: number,
  bytes_per_s: number,
): number {
  return bytes / bytes_per_s * MS_PER_S;
}

/** Longest wait of a poll of the configuration with which a change is in force,
 * or an instance refuses because its evidence is too old, within the limit. */
export function maxConfigWaitMs(limits: PlanLimits): number {
  return Math.floor((limits.in_force_ms - DELIVERY_MS) / POLLS_WITHIN_LIMIT);
}

/** Shortest lease term whose renewals keep their part of the store's writes. */
export function minLeaseTermMs(size: PlanSize, limits: PlanLimits): number {
  const writes_per_s = limits.store_writes_per_s * STORE_WRITE_RATIO;
  return Math.ceil(size.nodes * 3 * MS_PER_S / writes_per_s);
}

/** Bytes of inline changes and part names in a shorter manifest. */
const SHORT_MANIFEST_BYTES = 5_000;

/** Ratio of permits and tokens that the entry grants itself if steering takes
 * the model into account and prefers owners and share holders; assumed. */
const STEERED_LOCAL_RATIO = 0.8;

/** Inputs and options of the model with the design changes applied. */
export interface ChangedDesign {
  readonly inputs: RoleInputs;
  readonly options: ModelOptions;
}

/** Applies the design changes that the capacity page proposes: a shorter
 * manifest, and steering by model. */
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

/** Derives the control times for a size, and computes their cost. */
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

/** Computes the cost of a node and the store with the given options. */
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
