/** Computes load and duration figures for scenarios in which many components
 * fail or restart at once.
 *
 * @module
 */
import { BITS_PER_BYTE, MS_PER_S } from "./constants.ts";
import type { PlanLimits, PlanSize } from "./plan_size.ts";
import type { RoleInputs } from "./role_inputs.ts";
import type { ModelOptions } from "./role_model.ts";

/** Instances in one rack or behind one switch; assumed. */
const NODES_PER_RACK = 16;

/** Instances that restart at the same time; assumed. */
const RESTART_BURST_NODES = 100;

/** Store reads that each instance sends when the store is available again: the
 * manifest, two watched sessions, and the fleet's long poll if it broke off. */
const NODE_READS_AFTER_OUTAGE = 4;

/** Grace period after an outage, as a ratio of the lease term: holders renew
 * within it before any session may be ended. */
const RECOVERY_GRACE_RATIO = 2 / 3;

/** Delay before a reader repeats a failed poll of the configuration. */
const POLL_RETRY_MS = 200;

/** Bytes of one member's permit report to a new owner, framing included. */
const PERMIT_REPORT_BYTES = 500;

/** Evidence requests a second that an instance sends to peers while it can't
 * reach the store. */
const EVIDENCE_REQUESTS_PER_S = 8;

/** Bytes of one evidence request and its reply, framing included. */
const EVIDENCE_EXCHANGE_BYTES = 350;

const PERCENT = 100;

/** One figure of a failure scenario, a row of the page's table. */
export interface ScenarioFigure {
  readonly day: string;
  readonly what: string;
  readonly value: number;
  readonly unit: string;
  /** Limit of the plan or of the store; `undefined` if there is none. */
  readonly limit: number | undefined;
  readonly mechanism: string;
}

/** Measured inputs, model options and limits for the figures. */
export interface ScenarioInputs {
  readonly inputs: RoleInputs;
  readonly options: ModelOptions;
  readonly limits: PlanLimits;
}

function linkSeconds(bytes: number, size: PlanSize): number {
  return bytes * BITS_PER_BYTE / size.region_bits_per_s;
}

function restartFigures(
  size: PlanSize,
  parts: ScenarioInputs,
): readonly ScenarioFigure[] {
  const { inputs, limits, options } = parts;
  const day = "100 restarts at once";
  const { start_bytes, start_part_reads } = inputs;
  const starts_per_region = RESTART_BURST_NODES / size.regions;
  const part_reads = RESTART_BURST_NODES * start_part_reads;
  const mechanism = "a starting instance reads from a peer of its region, " +
    "and from the store what no peer has";
  return [
    {
      day,
      what: "reads of parts if no instance finds a peer",
      value: part_reads / limits.store_reads_per_s,
      unit: "s of all the store's reads",
      limit: undefined,
      mechanism,
    },
    {
      day,
      what: "one region's link if no instance finds a peer",
      value: linkSeconds(starts_per_region * start_bytes, size),
      unit: "s",
      limit: undefined,
      mechanism,
    },
    {
      day,
      what: "start of one instance from the store",
      value: inputs.start_ms / MS_PER_S,
      unit: "s",
      limit: undefined,
      mechanism,
    },
    {
      day,
      what: "start of one instance from a peer",
      value: inputs.start_peer_ms / MS_PER_S,
      unit: "s",
      limit: undefined,
      mechanism,
    },
    {
      day,
      what: "processor time that serving one start costs a peer",
      value: inputs.serve_start_s,
      unit: "s",
      limit: undefined,
      mechanism,
    },
    {
      day,
      what: "a region's link while the fleet changes without a pause",
      value: linkSeconds(size.nodes / size.regions * inputs.fleet_bytes, size) /
        (options.times.fleet_coalesce_ms / MS_PER_S) * PERCENT,
      unit: "% of 20 Mbit/s",
      limit: PERCENT,
      mechanism: "readers fetch the object at most once a coalescing time",
    },
  ];
}

function lostNodesFigures(
  day: string,
  lost: number,
  parts: {
    readonly size: PlanSize;
    readonly inputs: RoleInputs;
    readonly options: ModelOptions;
    readonly limits: PlanLimits;
  },
): readonly ScenarioFigure[] {
  const { size, inputs, options, limits } = parts;
  const targets = lost * size.engines / size.nodes;
  const survivors = size.nodes - lost;
  const permit_requests = targets * survivors;
  const new_owners = Math.min(survivors, Math.ceil(targets));
  return [
    {
      day,
      what: "time until the first slots are reassigned",
      value: inputs.take_over_ms / MS_PER_S,
      unit: "s",
      limit: undefined,
      mechanism: "successors in other failure domains end the sessions",
    },
    {
      day,
      what: "writes at the store: ends of sessions and of members",
      value: lost * (1 + inputs.kill_fleet_writes),
      unit: "writes",
      limit: limits.store_writes_per_s,
      mechanism: "conditional updates; racing writers wait and repeat",
    },
    {
      day,
      what: "fleet object over one region's link, all changes",
      value: linkSeconds(
        survivors / size.regions * inputs.fleet_bytes *
          Math.min(
            lost * inputs.kill_fleet_writes,
            inputs.take_over_ms / options.times.fleet_coalesce_ms,
          ),
        size,
      ),
      unit: "s",
      limit: limits.in_force_ms / MS_PER_S,
      mechanism: "readers fetch the object at most once a coalescing time",
    },
    {
      day,
      what: "questions of new owners for permits",
      value: permit_requests,
      unit: "calls",
      limit: undefined,
      mechanism: "each new owner sends each member a request for each target",
    },
    {
      day,
      what: "bytes of permit reports at one new owner",
      value: permit_requests / new_owners * PERMIT_REPORT_BYTES,
      unit: "B",
      limit: undefined,
      mechanism: "each new owner sends each member a request for each target",
    },
  ];
}

function regionCutFigures(size: PlanSize): readonly ScenarioFigure[] {
  const day = "a region cut off";
  const mechanism = "an instance without the store requests evidence from " +
    "peers and refuses calls while it has none";
  return [
    {
      day,
      what: "nodes that refuse once their evidence is too old",
      value: size.nodes / size.regions,
      unit: "nodes",
      limit: undefined,
      mechanism,
    },
    {
      day,
      what: "evidence requests by each of these nodes",
      value: EVIDENCE_REQUESTS_PER_S * EVIDENCE_EXCHANGE_BYTES,
      unit: "B/s",
      limit: undefined,
      mechanism,
    },
  ];
}

function storeRecoveryFigures(
  size: PlanSize,
  options: ModelOptions,
  limits: PlanLimits,
): readonly ScenarioFigure[] {
  const day = "the store back after an outage";
  const grace_s = options.times.lease_term_ms * RECOVERY_GRACE_RATIO / MS_PER_S;
  const mechanism = "429 with Retry-After; sessions end only after a grace " +
    "period in which live holders renew";
  return [
    {
      day,
      what: "reads in the first second, each instance once",
      value: size.nodes * NODE_READS_AFTER_OUTAGE,
      unit: "1/s",
      limit: limits.store_reads_per_s,
      mechanism,
    },
    {
      day,
      what: "polls a second that fail at once while the store refuses",
      value: size.nodes * MS_PER_S / POLL_RETRY_MS,
      unit: "1/s",
      limit: limits.store_reads_per_s,
      mechanism,
    },
    {
      day,
      what: "renewals, if all are sent within the grace period",
      value: size.nodes / grace_s,
      unit: "1/s",
      limit: limits.store_writes_per_s,
      mechanism,
    },
  ];
}

/** Figures of all failure scenarios. */
export function failureScenarios(
  size: PlanSize,
  parts: ScenarioInputs,
): readonly ScenarioFigure[] {
  const { limits, options } = parts;
  const nodes_per_domain = Math.ceil(size.nodes / size.failure_domains);
  return [
    ...restartFigures(size, parts),
    ...lostNodesFigures("a failure domain lost", nodes_per_domain, {
      size,
      ...parts,
    }),
    ...lostNodesFigures("a rack lost", NODES_PER_RACK, { size, ...parts }),
    ...regionCutFigures(size),
    ...storeRecoveryFigures(size, options, limits),
  ];
}
