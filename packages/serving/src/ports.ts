/** Interfaces between the gateway and the deployment's platform. The package
 * `platform` implements them.
 *
 * @module
 */
import type { EngineReport } from "./types.ts";

/** One stored object. Revisions also order the changes of a store that was
 * restored from a copy, see `storeRevision`. */
export interface StoredRecord {
  readonly name: string;
  readonly revision: number;
  readonly value: unknown;
  /** The store has lost this record, and holds an older one: the record counts
   * as of `revision` until it is written again. */
  readonly isLost?: true;
}

/** A record that was removed, and the revision of its removal. */
export interface RecordRemoval {
  readonly name: string;
  readonly revision: number;
}

/** All records of a kind, complete as of a revision. */
export interface RecordList {
  readonly records: readonly StoredRecord[];
  readonly revision: number;
  /** Records that were removed after `revision`. */
  readonly removals?: readonly RecordRemoval[];
}

/** One change of a record. */
export interface RecordChange {
  readonly removed: boolean;
  readonly record: StoredRecord;
}

/** Why a call to the store failed.
 *
 * `unknown`: the call may have taken effect, or may do so seconds later. */
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
  | "assignment"
  | "holds"
  | "streams"
  | "evacuations";

/** The deployment's store of records. Calls reject with `StoreCallError`.
 *
 * The store may come back from an older copy, and then is in a new era. A call
 * with a revision of a former era fails: a watch with `history_gone`, a write
 * with `conflict`. */
export abstract class RecordStore {
  readonly #eraListeners = new Set<(era: number) => void>();
  #era: number | undefined;

  /** The newest era of which an answer has arrived; undefined before the
   * first. */
  get era(): number | undefined {
    return this.#era;
  }

  /** Calls `listener` whenever the store is found to be in a new era. Returns the
   * function that ends this.
   *
   * @example
   * ```ts
   * const stop = store.onEraChange(() => follower.reconnect());
   * ```
   */
  onEraChange(listener: (era: number) => void): () => void {
    this.#eraListeners.add(listener);
    return () => void this.#eraListeners.delete(listener);
  }

  /** Records the era of an answer. The first one is no change. */
  protected recordEra(era: number): void {
    const former = this.#era;
    if (former !== undefined && era <= former) return;
    this.#era = era;
    if (former === undefined) return;
    for (const listener of this.#eraListeners) listener(era);
  }

  /** All records of a kind, by a linearizable read. `timeoutMs`, if given, is
   * the timeout of each call that the list takes. */
  abstract list(
    kind: RecordKind,
    options?: { readonly timeoutMs: number },
  ): Promise<RecordList>;

  /** One record, by a linearizable read; undefined if there is none. */
  abstract get(
    kind: RecordKind,
    name: string,
  ): Promise<StoredRecord | undefined>;

  /** Waits for changes after `revision`, for at most `waitMs`. */
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

  /** Creates a record if `revision` is undefined; otherwise replaces the record
   * if `revision` is its current one. */
  abstract put(
    kind: RecordKind,
    record: {
      readonly name: string;
      readonly value: unknown;
      readonly revision: number | undefined;
    },
  ): Promise<StoredRecord>;

  /** Removes the record if `revision` is its current one. */
  abstract remove(
    kind: RecordKind,
    record: { readonly name: string; readonly revision: number },
  ): Promise<void>;

  /** Closes the connections to the store. */
  abstract close(): void;
}

/** An order to one engine. */
export interface EngineOrder {
  readonly action: "load" | "unload";
  readonly model: string;
  readonly adapter: string | undefined;
  /** Undefined for the newest version. */
  readonly version: number | undefined;
  /** Number of orders that the engine accepted before this one; the engine
   * refuses the order if its own count differs. */
  readonly orderCount: number;
  /** The instance that sends the order. */
  readonly holder: string;
  /** Fencing token: never lower than one sent to this engine before. */
  readonly fence: number;
}

/** Result of an order. */
export type OrderResponse =
  | "accepted"
  | "complete"
  | "refused"
  | "other_engine"
  | "unknown";

/** Whether an engine still runs.
 *
 * `ended`: nothing accepts connections at its address, or another engine does.
 * `unknown`: no response; the engine may be cut off. */
export type EngineProbe = "running" | "ended" | "unknown";

/** Address of an engine; `id` identifies the engine that should be reached
 * there. */
export interface EngineAddress {
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

/** Sends orders to engines and reads their reports. */
export abstract class EngineControl {
  /** Sends an order. Never rejects: without a response it resolves to
   * `unknown`. */
  abstract order(
    engine: EngineAddress,
    order: EngineOrder,
    timeoutMs: number,
  ): Promise<OrderResponse>;

  /** Requests a report of an engine's state. Undefined without a valid
   * response. */
  abstract report(engine: EngineAddress): Promise<EngineReport | undefined>;

  /** Asks whether an engine still runs. Never rejects. */
  abstract probe(engine: EngineAddress): Promise<EngineProbe>;

  /** Whether an engine answers on a new connection within `timeoutMs`. Never
   * rejects. */
  abstract answersAnew(
    engine: EngineAddress,
    timeoutMs: number,
  ): Promise<boolean>;

  /** Closes the connections to engines. */
  abstract close(): void;
}

/** The fields of a caller's request, independent of header names. */
export interface CallerRequest {
  /** Undefined if the header is missing; the request is then malformed. */
  readonly id: string | undefined;
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** Declared tokens, prompt and output together. */
  readonly tokens: number | undefined;
  readonly lastEventId: string | undefined;
  /** The id of the attempt that brought the first event of the stream that this
   * request goes on with; undefined for a new stream. */
  readonly resumes?: string | undefined;
  /** Ids of the parts of the prompt that other requests may share, in their
   * order. The last part of a prompt is the request's own and not listed. */
  readonly sharedParts: readonly string[];
  /** All parts of the prompt, as the caller listed them; empty if there are
   * none. */
  readonly prompt: string;
}

/** Fields that are added to a request when it is forwarded to an engine. */
export interface ForwardedFields {
  readonly deadlineMs: number;
  readonly engineId: string;
  readonly workspace: string | undefined;
  /** The version of the adapter that must serve the request. */
  readonly version: number | undefined;
  /** From 0, served first, to 9, served last. */
  readonly urgency: number;
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number | undefined;
}

/** The fields of an engine's response headers. */
export interface ResponseHead {
  readonly id: string | undefined;
  readonly isSealed: boolean;
  /** Whether the engine states that it did not execute the request. */
  readonly wasNotExecuted: boolean;
  /** The requests a second that the engine accepts at present from all instances
   * together; undefined if it names no limit. */
  readonly requestLimit: number | undefined;
  /** The requests a second that the engine may turn away, from all instances
   * together, before it ends; undefined if it is not brittle. */
  readonly brittleLimit?: number | undefined;
  /** Whether the engine says that it is leaving. */
  readonly isLeaving: boolean;
  /** Time for which the engine wants no request from this instance, in
   * milliseconds; undefined if it asks for no pause. */
  readonly pauseMs: number | undefined;
  /** How long the engine stays cold, in milliseconds; undefined if it does not
   * say. */
  readonly coldMs: number | undefined;
}

/** A caller's request for addresses of instances. */
export interface SteeringRequest {
  /** The host that the caller is about to call. */
  readonly host: string;
  readonly zone: string;
  readonly region: string;
}

/** The protocol of callers, and of requests that are forwarded to engines. */
export abstract class CallerProtocol {
  /** Reads a request's headers (name, value, name, value...). */
  abstract readRequest(rawHeaders: readonly string[]): CallerRequest;

  /** The headers of the request to the engine. */
  abstract forwardHeaders(
    rawHeaders: readonly string[],
    fields: ForwardedFields,
  ): readonly string[];

  /** The headers of a request that another instance serves for its caller, as the
   * caller sent them. */
  abstract passHeaders(
    rawHeaders: readonly string[],
    fields: Pick<ForwardedFields, "deadlineMs" | "bodyBytes">,
  ): readonly string[];

  /** Reads the status and headers of an engine's response. */
  abstract readResponse(
    status: number,
    rawHeaders: readonly string[],
  ): ResponseHead;

  /** The headers of the response to the caller. */
  abstract responseHeaders(rawHeaders: readonly string[]): readonly string[];

  /** Reads a request for addresses; undefined if `target` is not one. */
  abstract readSteeringRequest(target: string): SteeringRequest | undefined;

  /** The body of a response with addresses. Callers may keep them for
   * `keepSeconds`. */
  abstract writeSteeringResponse(
    addresses: readonly string[],
    keepSeconds: number,
  ): string;

  /** Whether `target` is a request for this instance's readiness. */
  abstract isReadinessRequest(target: string): boolean;
}
