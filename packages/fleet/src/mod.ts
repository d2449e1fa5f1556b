/** Membership and the slot table: who owns which targets and rate shares.
 *
 * @module
 */
export { SHARES_PER_WORKSPACE } from "./constants.ts";
export * as fleet_events from "./events.ts";
export type { TableOptions } from "./fleet_change.ts";
export type { FleetError } from "./fleet_error.ts";
export { FleetKeeper } from "./fleet_keeper.ts";
export { FleetView, type PlacedTarget } from "./fleet_view.ts";
export type {
  FleetListener,
  KeeperDeps,
  KeeperOptions,
} from "./fleet_keeper_options.ts";
export { packFleet, unpackFleet } from "./pack_fleet.ts";
export {
  planIdealHolders,
  planMoves,
  type PlannedFleet,
  type SlotMove,
} from "./slot_plan.ts";
