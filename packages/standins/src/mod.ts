/** Small stand-ins for the platform, the engines and the network.
 *
 * @module
 */
export type { BatchOptions, BatchTotals } from "./batch.ts";
export {
  buildNetworkConfig,
  buildObjects,
  type DeploymentName,
  type DeploymentObjects,
  loadDeployment,
  type ObjectOptions,
  type PlacedInstance,
  type PlaintextKey,
  planEntryInstances,
  type PlannedRoute,
  type PlannedTarget,
  planTargets,
} from "./deployment.ts";
export { ENGINE_DEFAULTS, type EngineOptions } from "./engine_options.ts";
export type {
  EngineRecord,
  EngineRequestRecord,
  OrderRecord,
  RequestOutcome,
} from "./engine_record.ts";
export { EngineStandIn } from "./engine_stand_in.ts";
export {
  chatPrompt,
  countPromptTokens,
  expectedText,
  expectedTokens,
  type Generation,
} from "./expected_text.ts";
export type {
  Deployment,
  Domain,
  EngineAction,
  EngineFaults,
  Link,
  ListFaults,
  NetworkConfig,
  NetworkFaults,
  Path,
  Selector,
  ServiceFaults,
  Source,
  StoreFaults,
  WeightsFaults,
  WeightsLimits,
} from "./generated/control.ts";
export { HttpStandIn, type ListenOptions } from "./http_stand_in.ts";
export {
  type ExitStatus,
  LaunchedProcess,
  Launcher,
  type LaunchOptions,
  type ReadyLine,
} from "./launcher.ts";
export { type ListOptions, ListStandIn } from "./list_stand_in.ts";
export { type NetworkOptions, NetworkStandIn } from "./network_stand_in.ts";
export type { HistoryRow } from "./object_table.ts";
export { type CacheEvent, prefixHashes } from "./prefix_cache.ts";
export { type ServiceCall, ServiceStandIn } from "./service_stand_in.ts";
export { type StoreOptions, StoreStandIn } from "./store_stand_in.ts";
export { monotonicMs, type Timestamp } from "./timestamp.ts";
export type { PairTraffic } from "./traffic_counts.ts";
export {
  type LoadRecord,
  type WeightsOptions,
  WeightsStandIn,
} from "./weights_stand_in.ts";
