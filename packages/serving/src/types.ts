/** Types for engines, configuration and members.
 *
 * @module
 */

/** How a route's requests may be repeated. */
export type RouteKind = "stream" | "safe" | "unsafe";

/** One service of a route, with its weight. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** One route of the published configuration. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly timeoutMs: number;
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may be resumed at another engine. */
  readonly resumable: boolean;
  /** The only regions in which requests may be served; undefined for any. */
  readonly homeRegions?: readonly string[] | undefined;
}

/** A base model that engines of a service may hold. */
export interface BaseModel {
  readonly name: string;
  readonly sizeMb: number;
  readonly loadMs: number;
  readonly adapterSizeMb: number;
}

/** Properties that all engines of a service with models share. */
export interface EngineClass {
  readonly slots: number;
  readonly weightMemoryMb: number;
  readonly adapterSlots: number;
  readonly models: readonly BaseModel[];
}

/** One service of the published configuration. */
export interface Service {
  readonly name: string;
  /** Connections that one engine accepts from all callers together. */
  readonly maxConnections: number;
  /** Undefined for services without models. */
  readonly engineClass: EngineClass | undefined;
  /** Undefined for services whose engines bear any load from their start. */
  readonly warmUp?: WarmUpTerms | undefined;
}

/** What the engines of a service bear while they are cold. */
export interface WarmUpTerms {
  /** How long an engine is cold after its start, in milliseconds. */
  readonly durationMs: number;
  /** Requests a second that a cold engine bears from all instances together. */
  readonly requestsPerSecond: number;
}

/** A workspace and its limits. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
  /** Whether the rate counts tokens; otherwise it counts requests. */
  readonly countsTokens: boolean;
  /** Tokens charged for a request that declares no count. */
  readonly defaultTokens: number;
  /** Units a second; 0 for no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
  /** The only regions in which requests may be served; undefined for any. */
  readonly homeRegions?: readonly string[] | undefined;
}

/** Limits on what callers may send. */
export interface CallerLimits {
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
}

/** The published configuration. Replaced as a whole, never changed. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly workspaces: readonly Workspace[];
  readonly limits: CallerLimits;
}

/** An adapter that an engine reports. */
export interface HeldAdapter {
  readonly name: string;
  readonly version: number;
}

/** A base model that an engine reports, with its adapters. */
export interface HeldModel {
  readonly name: string;
  readonly adapters: readonly HeldAdapter[];
}

/** One start of an engine, as the engine list shows it. */
export interface Engine {
  /** Changes with each start, even if the id stays. */
  readonly key: string;
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** The version of the engine's software; undefined if the list does not show
   * it. What two versions write does not fit together. */
  readonly softwareVersion?: string | undefined;
  readonly slots: number;
  readonly leaving: boolean;
  /** Time until a leaving engine is stopped, in milliseconds; undefined if the
   * engine list does not show it. */
  readonly remainingMs: number | undefined;
  /** How long the engine stays cold from the time of its entry, in milliseconds;
   * undefined if the entry does not say. */
  readonly coldMs?: number | undefined;
  /** The revision of the entry. */
  readonly revision?: number;
  readonly models: readonly HeldModel[];
}

/** An engine's report of its own state. */
export interface EngineReport {
  readonly startedAtMs: number | undefined;
  /** Number of orders accepted since the engine's start. */
  readonly orderCount: number;
  readonly models: readonly HeldModel[];
  /** Adapters that are being fetched, with their models. */
  readonly fetching: readonly (HeldAdapter & { readonly model?: string })[];
  readonly running: number;
  readonly waiting: number;
  /** How long the engine stays cold, in milliseconds; undefined if the report
   * does not say. */
  readonly coldMs?: number | undefined;
}

/** The newest announced version of an adapter. */
export interface AnnouncedVersion {
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
}

/** One gateway instance. */
export interface Member {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** Address for other instances, host:port. */
  readonly peerAddress: string;
  /** Address for callers, host:port. */
  readonly callerAddress: string;
  /** Differs with each start of the instance's process. */
  readonly incarnation: string;
  /** Processor power, in cores of the usual speed. */
  readonly cores: number;
}

/** Joins the names of a model and an adapter to a key for caches and tables. */
export function adapterKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}
