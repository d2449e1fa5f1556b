/** Messages between instances. Field names are short to keep messages small.
 *
 * @module
 */
import type {
  AnswerCounts,
  CrashReport,
  HoldRecord,
  LimitRecord,
  Member,
  RecordList,
} from "@banyanlb/serving";

/** Kinds of records that peers pull from each other. */
export const SHARED_KINDS = [
  "configuration",
  "engines",
  "versions",
  "assignment",
] as const;

/** One of `SHARED_KINDS`. */
export type SharedKind = typeof SHARED_KINDS[number];

/** First message on a connection: introduces the sender. */
export interface Hello {
  readonly t: "hello";
  readonly member: Member;
}

/** An adapter that an engine holds: name, version, and milliseconds until it
 * can serve. */
export type HeldRow = readonly [string, number, number];

/** The state that an instance reports to its peers a few times a second.
 * Omitted fields are false, empty or unchanged. */
export interface Digest {
  readonly t: "digest";
  /** The sender's tick of this digest, and the newest tick that it has received
   * from the receiver. */
  readonly seq: number;
  readonly ack: number;
  /** Maximum number of ticks until the next digest; 1 if omitted. */
  readonly every?: number;
  readonly ready: boolean;
  /** Whether callers send requests to the sender, and whether the sender sends
   * orders to engines. */
  readonly serves?: true;
  readonly orders?: true;
  /** The store does not reply to the sender. */
  readonly cut?: true;
  /** Time of the sender's small calls to the store, in milliseconds. */
  readonly storeMs?: number;
  /** Time from the arrival of the acknowledged digest to the sending of this
   * one, in milliseconds. */
  readonly ackHeldMs?: number;
  /** Percentage of time for which the sender is busy. */
  readonly busy?: number;
  readonly leaving?: true;
  /** The tenure under which the sender may own engines. */
  readonly tenure: string | undefined;
  /** The newest revision of each shared kind that the sender has received, in
   * the order of `SHARED_KINDS`. */
  readonly revs: readonly number[];
  /** Number of requests in flight by engine: the sender's own requests, or, if
   * the sender owns the engine and sums up loads, the requests of all instances
   * except the receiver. 0 for omitted engines. */
  readonly flight?: Readonly<Record<string, number>>;
  /** Units that the sender has left of its shares of workspaces' rates, if
   * changed. */
  readonly rooms?: Readonly<Record<string, number>>;
  /** Time since the sender's process started, in milliseconds. */
  readonly up: number;
  /** Units that an earlier process of the receiver last reported to have left of
   * its shares, 0 if it reported none; for a receiver that was found recently. */
  readonly formerRooms?: Readonly<Record<string, number>>;
  /** Adapters held by the engines that the sender owns, if changed. */
  readonly held?: Readonly<Record<string, readonly HeldRow[]>>;
  /** Engines that the sender owns and that do not reply to it. */
  readonly down?: readonly string[];
  /** Time to the first byte of engines whose path is slow for the sender, in
   * milliseconds. */
  readonly slow?: Readonly<Record<string, number>>;
  /** Adapters being fetched by the engines that the sender owns; 0 if
   * omitted. */
  readonly fetches?: number;
  /** Use of adapters on engines that the receiver owns, by engine and adapter:
   * requests started since the last digest, and requests running. */
  readonly use?: Readonly<
    Record<string, Readonly<Record<string, readonly [number, number]>>>
  >;
  /** Requests of the sender that were cut off at their beginning, by engine
   * that crashed, if changed. */
  readonly crashes?: Readonly<Record<string, CrashReport>>;
  /** Answers at the sender by suspected prompt part, if changed. */
  readonly answers?: Readonly<Record<string, AnswerCounts>>;
  /** Prompt parts that are held or were released, if changed. */
  readonly holds?: Readonly<Record<string, HoldRecord>>;
  /** Limits that engines name, by engine, if changed. */
  readonly limits?: Readonly<Record<string, LimitRecord>>;
}

/** Requests that the owner of an engine load an adapter on it. */
export interface LoadRequest {
  readonly t: "load";
  readonly n: number;
  readonly engine: string;
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
  /** The engine was expected to hold the adapter, but refused a request because
   * it did not. */
  readonly early?: boolean;
  /** The sender does not wait for a reply. */
  readonly quiet?: boolean;
}

/** The owner's reply to a `LoadRequest`. */
export interface LoadReply {
  readonly t: "loaded";
  readonly n: number;
  readonly ok: boolean;
}

/** Asks which records the receiver knows to be the newest. */
export interface ConfirmRequest {
  readonly t: "confirm";
  readonly n: number;
}

/** The records of one kind at the sender: their newest revision, their
 * fingerprint, and the time since they were known to be the newest, in
 * milliseconds; null if they never were. */
export type ConfirmedRow = readonly [
  revision: number,
  fingerprint: number,
  ageMs: number | null,
];

/** The reply to a `ConfirmRequest`, in the order of `SHARED_KINDS`. */
export interface ConfirmReply {
  readonly t: "confirmed";
  readonly n: number;
  readonly kinds: readonly ConfirmedRow[];
}

/** Requests all records of a kind. */
export interface PullRequest {
  readonly t: "pull";
  readonly n: number;
  readonly kind: SharedKind;
}

/** The reply to a `PullRequest`: all records of the kind in the peer's view;
 * undefined if it has none. */
export interface PullReply {
  readonly t: "pulled";
  readonly n: number;
  readonly list: RecordList | undefined;
  /** The list as compressed text, if it is long. */
  readonly packed?: string;
  /** Time since the list was known to be the newest, in milliseconds; null if
   * it never was. */
  readonly age?: number | null;
}

/** Asks for units of the receiver's share of a workspace's rate. */
export interface TakeRequest {
  readonly t: "take";
  readonly n: number;
  readonly workspace: string;
  readonly units: number;
  /** How long after the question the sender may use the units, in
   * milliseconds. */
  readonly validMs: number;
}

/** The reply to a `TakeRequest`: whether the units were lent, and how many the
 * sender has left. */
export interface TakeReply {
  readonly t: "taken";
  readonly n: number;
  readonly ok: boolean;
  readonly room: number;
}

/** Gives back the units that were lent for the request `n`. */
export interface TakeReturn {
  readonly t: "return";
  readonly n: number;
}

/** Any message between instances. */
export type PeerMessage =
  | Hello
  | Digest
  | LoadRequest
  | LoadReply
  | ConfirmRequest
  | ConfirmReply
  | PullRequest
  | PullReply
  | TakeRequest
  | TakeReply
  | TakeReturn;
