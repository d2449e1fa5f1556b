/** Computes the cost of each role of a node at a planned size.
 *
 * @module
 */
import { DAY_S, MS_PER_S } from "./constants.ts";
import type { ControlTimes, PlanSize } from "./plan_size.ts";
import type { RoleInputs } from "./role_inputs.ts";

/** Lease renewals, and reads of each watched session, in one lease term. */
const RENEWALS_PER_TERM = 3;

/** Mean number of sessions that a node watches as a successor. */
const WATCHED_SESSIONS = 2;

/** Reads in each check of another member's session. */
const READS_PER_VISIT = 2;

/** Plans of slot moves a second if one is computed at every interval. */
const PLANS_PER_S = 2;

/** Interval between load reports of a target, in seconds. */
const LOAD_REPORT_INTERVAL_S = 10;

/** Bytes of one load report and its reply, headers and framing included. */
const LOAD_REPORT_BYTES = 600;

/** Parameters of the model that the planned size doesn't determine. */
export interface ModelOptions {
  readonly times: ControlTimes;
  /** Ratio of the requests whose permit the entry grants itself. */
  readonly local_permit_ratio: number;
  /** Ratio of the requests whose tokens come from the entry's own shares. */
  readonly local_token_ratio: number;
  /** Whether moves are planned at each interval even if nothing has changed. */
  readonly plans_at_every_interval: boolean;
}

/** Cost of one role on one node. */
export interface RoleCost {
  readonly role: string;
  /** Memory of the role's state. */
  readonly state_bytes: number;
  /** Messages a second; a request and its reply count as one. */
  readonly messages_per_s: number;
  /** Bytes a second in both directions, headers and framing included. */
  readonly bytes_per_s: number;
  /** Processor time, as a ratio of a core. */
  readonly core: number;
  /** Whether the processor time counts against the limit for control. */
  readonly control: boolean;
  readonly mechanism: string;
  readonly breaks_first: string;
}

/** Writes of the fleet object when a member joins: one by the member, and at
 * most one for each slot that another member hands over to it. */
function joinFleetWrites(size: PlanSize, inputs: RoleInputs): number {
  const slots_per_node = size.slots_per_region * size.regions / size.nodes;
  return Math.max(inputs.join_fleet_writes, 1 + slots_per_node);
}

/** Writes of the fleet object a day. */
export function fleetChangesPerDay(
  size: PlanSize,
  inputs: RoleInputs,
): number {
  const join_writes = joinFleetWrites(size, inputs);
  const per_restart = join_writes + inputs.leave_fleet_writes;
  const per_failure = inputs.kill_fleet_writes + join_writes;
  return size.restarts_per_day * per_restart +
    size.failures_per_day * per_failure;
}

/** Polls of the manifest a second by one node. */
export function manifestPollsPerS(times: ControlTimes): number {
  return MS_PER_S / times.config_wait_ms;
}

/** Lease renewals a second by one node. */
export function renewalsPerS(times: ControlTimes): number {
  return RENEWALS_PER_TERM * MS_PER_S / times.lease_term_ms;
}

/** Reads of sessions a second by one node. */
export function sessionReadsPerS(times: ControlTimes): number {
  const visits_per_s = MS_PER_S / times.visit_interval_ms;
  return WATCHED_SESSIONS * renewalsPerS(times) +
    READS_PER_VISIT * visits_per_s;
}

function entryCost(
  size: PlanSize,
  inputs: RoleInputs,
  options: ModelOptions,
): RoleCost {
  const requests = size.requests_per_s / size.nodes;
  const tokens = size.tokens_per_s / size.nodes;
  const remote_ratio = 1 - options.local_token_ratio;
  const entry_s = inputs.entry_s * options.local_token_ratio +
    inputs.entry_far_s * remote_ratio;
  return {
    role: "entry: callers and streams",
    state_bytes: 0,
    messages_per_s: requests *
      (2 * (1 - options.local_permit_ratio) + 2 * remote_ratio),
    bytes_per_s: requests * requestBytes(inputs, options),
    core: requests * (entry_s + inputs.rank_ms / MS_PER_S) +
      tokens * inputs.token_s,
    control: false,
    mechanism: "permit, reservation and their returns on one open WebSocket",
    breaks_first: "bytes of control for each request",
  };
}

/** Bytes of control between the entry and owners for one request. */
export function requestBytes(
  inputs: RoleInputs,
  options: ModelOptions,
): number {
  const rate_bytes = inputs.permit_rate_bytes - inputs.permit_bytes;
  return inputs.permit_bytes * (1 - options.local_permit_ratio) +
    rate_bytes * (1 - options.local_token_ratio);
}

function ownerCost(
  size: PlanSize,
  inputs: RoleInputs,
  options: ModelOptions,
): RoleCost {
  const requests = size.requests_per_s / size.nodes;
  const reports = size.engines / size.nodes / LOAD_REPORT_INTERVAL_S;
  const remote_ratio = 1 - options.local_token_ratio;
  const owner_s = inputs.owner_s * options.local_token_ratio +
    inputs.owner_far_s * remote_ratio;
  return {
    role: "owner: permits, loads, token shares",
    state_bytes: 0,
    messages_per_s:
      requests * (2 * (1 - options.local_permit_ratio) + 2 * remote_ratio) +
      reports,
    bytes_per_s: requests * requestBytes(inputs, options) +
      reports * LOAD_REPORT_BYTES,
    core: requests * owner_s,
    control: true,
    mechanism: "grants from memory; one load report a target each 10 s",
    breaks_first: "bytes of control for each request",
  };
}

/** Cost of renewing the node's lease and of reading the sessions that it
 * watches as a successor. */
export function leaseCost(inputs: RoleInputs, times: ControlTimes): RoleCost {
  const renewals = renewalsPerS(times);
  const reads = sessionReadsPerS(times);
  return {
    role: "lease holder and successor",
    state_bytes: 0,
    messages_per_s: renewals + reads,
    bytes_per_s: renewals * inputs.renewal_bytes +
      reads * inputs.session_read_bytes,
    core: 0,
    control: true,
    mechanism: "one object a session, read by its successors only",
    breaks_first: "writes of the store: three a term for each node",
  };
}

/** Cost of polling the configuration and applying its changes. */
export function configCost(
  size: PlanSize,
  inputs: RoleInputs,
  times: ControlTimes,
): RoleCost {
  const changes = size.changes_per_day / DAY_S;
  const polls = manifestPollsPerS(times);
  return {
    role: "reader of the configuration",
    state_bytes: inputs.snapshot_bytes,
    messages_per_s: polls + changes,
    bytes_per_s: polls * inputs.manifest_poll_bytes +
      changes * (inputs.manifest_bytes + inputs.exchange_bytes),
    core: changes * (inputs.apply_ms + inputs.shares_ms) / MS_PER_S,
    control: true,
    mechanism: "long poll of the manifest; changes inline, parts by hash",
    breaks_first: "memory of the snapshot",
  };
}

/** Cost of polling the fleet object and of planning slot moves. */
export function fleetCost(
  size: PlanSize,
  inputs: RoleInputs,
  options: ModelOptions,
): RoleCost {
  const { fleet_wait_ms, fleet_coalesce_ms } = options.times;
  const polls = MS_PER_S / fleet_wait_ms;
  const writes_per_s = fleetChangesPerDay(size, inputs) / DAY_S;
  const fetches_per_s = Math.min(writes_per_s, MS_PER_S / fleet_coalesce_ms);
  const plans_per_s = options.plans_at_every_interval
    ? PLANS_PER_S
    : fetches_per_s;
  const change_ms = inputs.fleet_read_ms + inputs.shares_ms;
  return {
    role: "reader of the fleet and planner of slots",
    state_bytes: inputs.fleet_bytes,
    messages_per_s: polls + fetches_per_s,
    bytes_per_s: polls * inputs.exchange_bytes +
      fetches_per_s * (inputs.fleet_bytes + inputs.exchange_bytes),
    core: (fetches_per_s * change_ms + plans_per_s * inputs.plan_ms) / MS_PER_S,
    control: true,
    mechanism: "long poll of one fleet object; equal plans on all members",
    breaks_first: "bytes of the fleet object on each join, move and leave",
  };
}

/** Cost of polling the instance list. */
export function listCost(inputs: RoleInputs, options: ModelOptions): RoleCost {
  const { list_interval_ms } = options.times;
  const reads = MS_PER_S / list_interval_ms;
  return {
    role: "reader of the instance list",
    state_bytes: 0,
    messages_per_s: reads,
    bytes_per_s: reads * (inputs.list_bytes + inputs.exchange_bytes),
    core: 0,
    control: true,
    mechanism: "the whole list, at an interval that grows with its length; " +
      "the first reader of a change notifies the other members",
    breaks_first: "bytes: rows of all nodes and engines at each read",
  };
}

function processCost(inputs: RoleInputs): RoleCost {
  return {
    role: "process at rest, small fleet (timers, polls, renewals)",
    state_bytes: Math.max(0, inputs.resident_bytes - inputs.snapshot_bytes),
    messages_per_s: 0,
    bytes_per_s: 0,
    core: inputs.idle_core,
    control: true,
    mechanism: "one Node.js process",
    breaks_first: "resident memory",
  };
}

/** Computes the costs of all roles on one node. An entry's bytes are those of
 * control messages only; its processor time is that of handling requests.
 *
 * @example
 * ```ts
 * const rows = nodeCosts(PLAN_SIZE, inputs, options);
 * rows.filter((row) => row.control).reduce((sum, row) => sum + row.core, 0);
 * ```
 */
export function nodeCosts(
  size: PlanSize,
  inputs: RoleInputs,
  options: ModelOptions,
): readonly RoleCost[] {
  return [
    processCost(inputs),
    leaseCost(inputs, options.times),
    configCost(size, inputs, options.times),
    fleetCost(size, inputs, options),
    listCost(inputs, options),
    ownerCost(size, inputs, options),
    entryCost(size, inputs, options),
  ];
}

/** Control cost of a node. */
export interface ControlTotal {
  readonly core: number;
  readonly bytes_per_s: number;
  readonly resident_bytes: number;
}

/** Sums the control cost of a node: the bytes of all roles, and the processor
 * time of all roles except the entry. */
export function controlTotal(
  rows: readonly RoleCost[],
  inputs: RoleInputs,
): ControlTotal {
  return {
    core: rows.filter((row) => row.control)
      .reduce((sum, row) => sum + row.core, 0),
    bytes_per_s: rows.reduce((sum, row) => sum + row.bytes_per_s, 0),
    resident_bytes: inputs.resident_bytes,
  };
}
