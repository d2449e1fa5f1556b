/** Records of an engine stand-in, which tests evaluate.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { BatchTotals } from "./batch.ts";
import type { Timestamp } from "./timestamp.ts";

/** How a request ended, or `running`. */
export type RequestOutcome =
  | "running"
  | "complete"
  | "refused"
  | "bad_request"
  | "not_loaded"
  | "cancelled"
  | "deadline"
  | "evicted"
  | "reset"
  | "cut"
  | "crossed"
  | "restarted";

/** One request. The record is updated while the request runs. */
export interface EngineRequestRecord {
  /** Sequence number in order of arrival. */
  readonly id: number;
  readonly boot_id: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  /** The `x-workspace` header. */
  readonly workspace: string;
  /** The requested version: `model` in the body. */
  version: string;
  /** True once at least one token has been generated on that version. */
  ran: boolean;
  priority: "interactive" | "batch";
  stream: boolean;
  prompt_tokens: number;
  /** Prompt tokens found in the prefix cache. */
  cached_tokens: number;
  /** Number of generated output tokens. */
  tokens: number;
  readonly start: Timestamp;
  admitted: Timestamp | undefined;
  first_token: Timestamp | undefined;
  end: Timestamp | undefined;
  outcome: RequestOutcome;
}

/** One order to load or evict. `result` is updated when the order completes. */
export interface OrderRecord extends Timestamp {
  readonly order: "load" | "evict";
  readonly name: string;
  readonly epoch: number;
  /** Highest epoch of all earlier orders. */
  readonly highest_epoch: number;
  /** True if `epoch` is lower than `highest_epoch`. */
  readonly stale: boolean;
  result:
    | "received"
    | "loaded"
    | "no_slot"
    | "failed"
    | "evicted"
    | "evicted_in_use"
    | "not_loaded"
    | "fenced";
  /** Requests of the version that ran or waited when it was evicted. */
  in_use: number;
}

/** State of an engine and everything that it received. */
export interface EngineRecord {
  readonly boot_id: string;
  /** Ids of all starts, oldest first. */
  readonly boots: readonly string[];
  readonly loaded: readonly string[];
  readonly requests: readonly EngineRequestRecord[];
  readonly orders: readonly OrderRecord[];
  /** Number of evictions of a version that was in use. */
  readonly evicted_in_use: number;
  readonly batch: BatchTotals;
}
