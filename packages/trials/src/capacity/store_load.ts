/** Computes the store's call rates and the bytes between regions.
 *
 * @module
 */
import { BITS_PER_BYTE, DAY_S, MS_PER_S } from "./constants.ts";
import type { PlanSize } from "./plan_size.ts";
import type { RoleInputs } from "./role_inputs.ts";
import {
  configCost,
  fleetChangesPerDay,
  fleetCost,
  leaseCost,
  listCost,
  manifestPollsPerS,
  type ModelOptions,
  renewalsPerS,
  requestBytes,
  sessionReadsPerS,
} from "./role_model.ts";

/** Load that the whole fleet puts on the store and on a region's link. */
export interface StoreLoad {
  readonly writes_per_s: number;
  readonly reads_per_s: number;
  /** Long polls that wait at the store at the same time. */
  readonly waiting_watches: number;
  /** Bytes a second on the link of one region that doesn't hold the store. */
  readonly cross_region_bytes_per_s: number;
  /** Transfer time of one change of the fleet or of the configuration to all
   * nodes of a region over its link. */
  readonly fleet_change_link_ms: number;
  readonly config_change_link_ms: number;
}

/** Ratio of the nodes that are outside a given region. */
function remoteRatio(size: PlanSize): number {
  return (size.regions - 1) / size.regions;
}

/** Computes the whole fleet's store calls and the bytes on a region's link. */
export function storeLoad(
  size: PlanSize,
  inputs: RoleInputs,
  options: ModelOptions,
): StoreLoad {
  const { times } = options;
  const { nodes } = size;
  const fleet_changes_per_s = fleetChangesPerDay(size, inputs) / DAY_S;
  const config_changes_per_s = size.changes_per_day / DAY_S;
  const platform_costs = [
    leaseCost(inputs, times),
    configCost(size, inputs, times),
    fleetCost(size, inputs, options),
    listCost(inputs, options),
  ];
  const node_bytes_per_s = platform_costs.reduce(
    (sum, row) => sum + row.bytes_per_s,
    0,
  );
  const nodes_per_region = nodes / size.regions;
  const remote_bytes_per_s = nodes_per_region * remoteRatio(size) *
    size.requests_per_s / nodes *
    requestBytes(inputs, options);
  const linkMs = (bytes: number) =>
    nodes_per_region * bytes * BITS_PER_BYTE / size.region_bits_per_s *
    MS_PER_S;
  return {
    writes_per_s: nodes * renewalsPerS(times) + fleet_changes_per_s +
      2 * config_changes_per_s,
    reads_per_s: nodes *
      (sessionReadsPerS(times) + manifestPollsPerS(times) +
        MS_PER_S / times.fleet_wait_ms + config_changes_per_s +
        fleet_changes_per_s),
    waiting_watches: 2 * nodes,
    // Targets are chosen in the caller's region; token shares are not.
    cross_region_bytes_per_s: nodes_per_region * node_bytes_per_s +
      remote_bytes_per_s * (1 - options.local_token_ratio) / 2,
    fleet_change_link_ms: linkMs(inputs.fleet_bytes),
    config_change_link_ms: linkMs(inputs.manifest_bytes),
  };
}
