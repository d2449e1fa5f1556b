/** What the gateway needs from the deployment's platform. The folder `platform/`
 * implements these.
 *
 * @module
 */
import type { EngineReport } from "./types.ts";

/** One stored object. */
export interface StoredRecord {
  readonly name: string;
  readonly revision: number;
  readonly value: unknown;
}

/** A full list of a kind, as of a revision. */
export interface RecordList {
  readonly records: readonly StoredRecord[];
  readonly revision: number;
}

/** One change of a kind. */
export interface RecordChange {
  readonly removed: boolean;
  readonly record: StoredRecord;
}

/** Why a call to the store failed.
 *
 * `unknown`: it may have been done, or may be done seconds later. */
export type StoreFailure =
  | "conflict"
  | "not_found"
  | "history_gone"
  | "rejected"
  | "unknown";

/** A failed call to the store. */
export class StoreCallError extends Error {
  readonly failure: StoreFailure;

  constructor(failure: StoreFailure, detail: string) {
    super(`store call failed (${failure}): ${detail}`);
    this.failure = failure;
  }
}

/** Kinds of records that the gateway uses. */
export type RecordKind =
  | "configuration"
  | "engines"
  | "versions"
  | "members"
  | "assignment";

/** The deployment's store of records. Calls reject with `StoreCallError`. */
export abstract class RecordStore {
  /** All records of a kind, read linearizably. */
  abstract list(kind: RecordKind): Promise<RecordList>;

  /** One record, read linearizably; undefined if there is none. */
  abstract get(
    kind: RecordKind,
    name: string,
  ): Promise<StoredRecord | undefined>;

  /** Waits for changes after `revision`, for `waitMs` at most. */
  abstract watch(
    kind: RecordKind,
    options: {
      readonly revision: number;
      readonly waitMs: number;
      readonly signal: AbortSignal;
    },
  ): Promise<
    { readonly changes: readonly RecordChange[]; readonly revision: number }
  >;

  /** Creates a record, or replaces it if `revision` is its revision. */
  abstract put(
    kind: RecordKind,
    record: {
      readonly name: string;
      readonly value: unknown;
      readonly revision: number | undefined;
    },
  ): Promise<StoredRecord>;

  /** Removes a record of this revision. */
  abstract remove(
    kind: RecordKind,
    record: { readonly name: string; readonly revision: number },
  ): Promise<void>;

  /** Ends its connections. */
  abstract close(): void;
}

/** An order to one engine. */
export interface EngineOrder {
  readonly action: "load" | "unload";
  readonly model: string;
  readonly adapter: string | undefined;
  /** Undefined: the newest. */
  readonly version: number | undefined;
  /** Orders accepted before this one, as the engine must confirm. */
  readonly orderCount: number;
  /** The ordering instance. */
  readonly holder: string;
  /** Never lower than one used at this engine before. */
  readonly fence: number;
}

/** Answers to orders. */
export type OrderResponse =
  | "accepted"
  | "complete"
  | "refused"
  | "other_engine"
  | "unknown";

/** Where an engine is, and which start of it is meant. */
export interface EngineAddress {
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

/** Orders to engines and reports from them. */
export abstract class EngineControl {
  /** Sends an order. Never rejects: no answer is an answer. */
  abstract order(
    engine: EngineAddress,
    order: EngineOrder,
    timeoutMs: number,
  ): Promise<OrderResponse>;

  /** Asks an engine what it holds. Undefined if it gave no proper answer. */
  abstract report(engine: EngineAddress): Promise<EngineReport | undefined>;

  /** Ends its connections. */
  abstract close(): void;
}

/** What a caller's request says, whatever its headers are called. */
export interface CallerRequest {
  /** Undefined: the request is malformed without it. */
  readonly id: string | undefined;
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** Declared tokens, prompt and output together. */
  readonly tokens: number | undefined;
  readonly lastEventId: string | undefined;
}

/** What is added when a request is passed on. */
export interface ForwardedFields {
  readonly deadlineMs: number;
  readonly engineId: string;
  readonly workspace: string | undefined;
  /** The adapter's version that must serve. */
  readonly version: number | undefined;
  /** 0 is served first, 9 last. */
  readonly urgency: number;
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number | undefined;
}

/** What an engine's answer head says. */
export interface ResponseHead {
  readonly id: string | undefined;
  readonly isSealed: boolean;
  /** The engine states that the request did not run. */
  readonly wasNotExecuted: boolean;
}

/** A caller's question for addresses. */
export interface SteeringRequest {
  readonly zone: string;
  readonly region: string;
}

/** The protocol of callers and of the requests passed on to engines. */
export abstract class CallerProtocol {
  /** Reads a request's headers (name, value, name, value...). */
  abstract readRequest(rawHeaders: readonly string[]): CallerRequest;

  /** The headers for the engine. */
  abstract forwardHeaders(
    rawHeaders: readonly string[],
    fields: ForwardedFields,
  ): readonly string[];

  /** Reads an answer's head. */
  abstract readResponse(
    status: number,
    rawHeaders: readonly string[],
  ): ResponseHead;

  /** The answer's headers that the caller gets. */
  abstract responseHeaders(rawHeaders: readonly string[]): readonly string[];

  /** Reads a question for addresses; undefined if it is none. */
  abstract readSteeringRequest(target: string): SteeringRequest | undefined;

  /** The answer's body, with the time to keep it in seconds. */
  abstract writeSteeringResponse(
    addresses: readonly string[],
    keepSeconds: number,
  ): string;

  /** Whether `target` asks if this instance is ready. */
  abstract isReadinessRequest(target: string): boolean;
}
