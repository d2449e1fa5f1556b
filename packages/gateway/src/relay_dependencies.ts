/** The dependencies of the request path.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import type {
  BodyRoom,
  CallerProtocol,
  EngineChooser,
  MemberTable,
  RetryBudget,
  Route,
  RouteTable,
  SelectionContext,
} from "@banyanlb/serving";
import type { AdapterLoader } from "./adapter_loader.ts";
import type { AdapterUsageCounts } from "./adapter_usage.ts";
import type { EngineConnections } from "./engine_connections.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { LimitKeeper } from "./limit_keeper.ts";
import type { CrashProtection } from "./quarantine/crash_protection.ts";
import type { RequestPasser } from "./reach/request_passer.ts";
import type { StreamVersionDependencies } from "./software_versions/stream_version.ts";
import type { WorkspaceRates } from "./workspace_rates.ts";

/** The configuration that applied to a request, as log lines report it. */
export interface ConfigurationInUse {
  /** Its version; undefined if this instance has none yet. */
  readonly configuration: number | undefined;
  /** Time since the configuration was last shown to be the newest, in
   * milliseconds. */
  readonly configurationAgeMs: number;
}

/** Dependencies that the relay uses for every request. */
export interface RelayDependencies extends StreamVersionDependencies {
  readonly protocol: CallerProtocol;
  readonly routeTable: () => RouteTable | undefined;
  /** Time since a reply of the store or of a peer last showed the
   * configuration, in milliseconds. */
  readonly configurationAgeMs: (now: number) => number;
  readonly chooser: EngineChooser;
  readonly loader: AdapterLoader;
  readonly connections: EngineConnections;
  readonly members: MemberTable;
  readonly rates: Pick<WorkspaceRates, "take">;
  readonly retryBudgetOf: (service: string) => RetryBudget;
  readonly versionOf: (model: string, adapter: string) => number;
  readonly oldestVersionOf: (model: string, adapter: string) => number;
  readonly selectionContextAt: (now: number) => SelectionContext;
  readonly use: AdapterUsageCounts;
  readonly limits: LimitKeeper;
  /** Room for the bodies of requests. */
  readonly bodyRoom: BodyRoom;
  readonly crashProtection: Pick<CrashProtection, "guard" | "held">;
  /** Passes requests on whose engines are out of reach. */
  readonly passer?: RequestPasser;
  /** Whether a request on this route can end before this process exits. */
  readonly hasTimeFor: (route: Route) => boolean;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}
