/** The interface for sending orders to an engine and reading its reports.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Target, Version } from "./generated/stored.ts";

/** Why an order or a report failed. */
export interface EngineError {
  /** `rejected`: the engine refused the order, e.g. without a free adapter
   * slot. `fenced`: the engine has seen a higher fencing token. `failed`: the
   * engine tried to load the version and failed. `unknown`: no response; the
   * order may still take effect. */
  readonly kind: "rejected" | "fenced" | "failed" | "unknown";
  readonly message: string;
}

/** The state that an engine reports. It lags behind by up to the engine's
 * report interval. */
export interface EngineReport {
  /** The loaded versions, as `ADAPTER@VERSION`. */
  readonly loaded: readonly string[];
  /** Number of running requests by version (`ADAPTER@VERSION`). */
  readonly running: Readonly<Record<string, number>>;
  /** Number of requests that wait inside the engine. */
  readonly waiting: number;
  /** Age of the report in milliseconds. */
  readonly age_ms: number;
  /** Changes with each start of the engine, which begins without adapters. */
  readonly boot_id: string;
}

/** Fencing token and timeout of an order. */
export interface OrderOptions {
  /** The fencing token. */
  readonly epoch: number;
  readonly timeout_ms: number;
}

/** Client of one engine protocol. */
export abstract class EngineClient {
  /** Orders the engine to load a version. Idempotent. */
  abstract load(
    target: Target,
    version: Version,
    options: OrderOptions,
  ): ResultAsync<void, EngineError>;

  /** Orders the engine to unload a version. Idempotent. */
  abstract evict(
    target: Target,
    version_name: string,
    options: OrderOptions,
  ): ResultAsync<void, EngineError>;

  /** Reads the engine's report. */
  abstract report(
    target: Target,
    timeout_ms: number,
  ): ResultAsync<EngineReport, EngineError>;

  /** Releases connections. */
  abstract close(): Promise<void>;
}
