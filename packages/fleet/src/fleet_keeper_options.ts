/** Dependencies and options of a fleet keeper.
 *
 * @module
 */
import type {
  Clock,
  EventLog,
  Member,
  Metrics,
  ObjectStore,
} from "@banyanlb/core";
import type { TableOptions } from "./fleet_change.ts";
import type { FleetView } from "./fleet_view.ts";

/** Dependencies of a fleet keeper. */
export interface KeeperDeps {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** This member, and the slot table that the first member creates. The size of
 * the table never changes, because the shares of workspaces depend on it. */
export interface KeeperOptions extends TableOptions {
  readonly self: Member;
}

/** Called with the new view and the previous view, if there was one. */
export type FleetListener = (
  view: FleetView,
  previous: FleetView | undefined,
) => void;
