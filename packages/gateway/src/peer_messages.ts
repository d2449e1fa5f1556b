/** Messages between instances. Field names are short to keep messages small.
 *
 * @module
 */
import type { Digest, Member, RecordList } from "@banyanlb/serving";

/** Kinds of records that peers pull from each other. A deployment may lack the
 * last ones. */
export const SHARED_KINDS = [
  "configuration",
  "engines",
  "versions",
  "assignment",
  "evacuations",
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

/** An adapter that a request needs on an engine. */
export interface AdapterRequest {
  readonly adapter: string;
  readonly version: number;
  /** The engine was expected to hold the adapter, but refused a request because
   * it did not. */
  readonly early?: boolean;
  /** The sender does not wait for a reply. */
  readonly quiet?: boolean;
  /** The request has no other engine: it waits although the engine does not
   * reply. */
  readonly patient?: boolean | undefined;
  /** Time that the request has left for the load, in milliseconds: nobody waits
   * longer. */
  readonly waitMs?: number | undefined;
}

/** Requests that the owner of an engine load an adapter on it. */
export interface LoadRequest extends AdapterRequest {
  readonly t: "load";
  readonly n: number;
  readonly engine: string;
  readonly model: string;
}

/** The owner's reply to a `LoadRequest`. */
export interface LoadReply {
  readonly t: "loaded";
  readonly n: number;
  readonly ok: boolean;
}

/** Tells the owner of an engine of a service that requests ask for a model which no
 * engine holds. Builds before issue 58 ignore it. */
export interface ModelWanted {
  readonly t: "want";
  readonly service: string;
  readonly model: string;
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
  /** The stream that goes on with them. */
  readonly resumes?: string | undefined;
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
  | ModelWanted
  | ConfirmRequest
  | ConfirmReply
  | PullRequest
  | PullReply
  | TakeRequest
  | TakeReply
  | TakeReturn;
