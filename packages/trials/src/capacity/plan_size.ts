/** The planned size and its limits.
 *
 * @module
 */

/** Sizes and daily events that the system is designed for. */
export interface PlanSize {
  readonly nodes: number;
  readonly engines: number;
  readonly requests_per_s: number;
  readonly tokens_per_s: number;
  readonly adapters: number;
  readonly models: number;
  /** Part of the adapters that wake up or fall idle within an hour. */
  readonly wake_ratio_per_hour: number;
  readonly regions: number;
  readonly failure_domains: number;
  readonly changes_per_day: number;
  readonly failures_per_day: number;
  readonly restarts_per_day: number;
  /** Workspaces; assumed, since the plan names no number. */
  readonly workspaces: number;
  /** Capacity between two regions each way; assumed to be today's. */
  readonly region_bits_per_s: number;
  /** Slots of each region in the fleet's table. */
  readonly slots_per_region: number;
}

/** What a node may spend on control, and what the store takes. */
export interface PlanLimits {
  /** Part of a core for control on each node. */
  readonly control_core: number;
  readonly control_bytes: number;
  readonly control_bytes_per_s: number;
  readonly store_writes_per_s: number;
  readonly store_reads_per_s: number;
  readonly in_force_ms: number;
}

/** The plan of the next two years. */
export const PLAN_SIZE: PlanSize = {
  nodes: 350,
  engines: 1_700,
  requests_per_s: 1_100,
  tokens_per_s: 500_000,
  adapters: 170_000,
  models: 3,
  wake_ratio_per_hour: 0.096,
  regions: 5,
  failure_domains: 11,
  changes_per_day: 3_700,
  failures_per_day: 11,
  restarts_per_day: 100,
  workspaces: 500,
  region_bits_per_s: 20_000_000,
  slots_per_region: 350,
};

/** The limits of the plan. */
export const PLAN_LIMITS: PlanLimits = {
  control_core: 0.017,
  control_bytes: 256_000_000,
  control_bytes_per_s: 4_000,
  store_writes_per_s: 400,
  store_reads_per_s: 2_000,
  in_force_ms: 14_000,
};

/** Times that decide how often control messages are sent. */
export interface ControlTimes {
  readonly lease_term_ms: number;
  /** Wait of one long poll of the manifest. */
  readonly config_wait_ms: number;
  /** Wait of one long poll of the fleet. */
  readonly fleet_wait_ms: number;
  /** Time between reads of the instance list. */
  readonly list_interval_ms: number;
  /** Time between visits of other members' sessions. */
  readonly visit_interval_ms: number;
  /** Changes of the fleet within this time cost a reader one transfer. */
  readonly fleet_coalesce_ms: number;
}

/** Time between two reads of the instance list for each of its rows, as the
 * daemon has it. */
const LIST_READ_MS_PER_ROW = 20;

/** The times that the daemon uses today. */
export const CURRENT_TIMES: ControlTimes = {
  lease_term_ms: 6_000,
  config_wait_ms: 700,
  fleet_wait_ms: 30_000,
  list_interval_ms: LIST_READ_MS_PER_ROW *
    (PLAN_SIZE.nodes + PLAN_SIZE.engines),
  visit_interval_ms: 10_000,
  fleet_coalesce_ms: 1_000,
};
