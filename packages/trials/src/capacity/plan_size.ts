/** Planned size of the system, its limits, and intervals of control messages.
 *
 * @module
 */

/** Sizes and event rates that the system is designed for. */
export interface PlanSize {
  readonly nodes: number;
  readonly engines: number;
  readonly requests_per_s: number;
  readonly tokens_per_s: number;
  readonly adapters: number;
  readonly models: number;
  /** Ratio of the adapters that become active or idle within an hour. */
  readonly wake_ratio_per_hour: number;
  readonly regions: number;
  readonly failure_domains: number;
  readonly changes_per_day: number;
  readonly failures_per_day: number;
  readonly restarts_per_day: number;
  /** Assumed, since the plan specifies no number of workspaces. */
  readonly workspaces: number;
  /** Link capacity between two regions in each direction; assumed to stay as it
   * is today. */
  readonly region_bits_per_s: number;
  /** Slots of each region in the fleet object. */
  readonly slots_per_region: number;
}

/** Limits of a node's control cost, of the store's calls and of delays. */
export interface PlanLimits {
  /** Processor time for control on each node, as a ratio of a core. */
  readonly control_core: number;
  /** Resident memory of each node. */
  readonly control_bytes: number;
  readonly control_bytes_per_s: number;
  readonly store_writes_per_s: number;
  readonly store_reads_per_s: number;
  /** Time from the publication of a change until it is in force on the last
   * instance. */
  readonly in_force_ms: number;
}

/** Planned size for the next two years. */
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

/** Durations that determine how often control messages are sent. */
export interface ControlTimes {
  readonly lease_term_ms: number;
  /** Longest wait of one long poll of the manifest. */
  readonly config_wait_ms: number;
  /** Longest wait of one long poll of the fleet object. */
  readonly fleet_wait_ms: number;
  /** Interval between reads of the instance list. */
  readonly list_interval_ms: number;
  /** Interval between checks of another member's session. */
  readonly visit_interval_ms: number;
  /** Coalescing time: a reader fetches the fleet object once for all changes
   * within it. */
  readonly fleet_coalesce_ms: number;
}

/** Interval between reads of the instance list for each of its rows, as in the
 * daemon. */
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
