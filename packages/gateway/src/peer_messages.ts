/** Messages between instances. Field names are short: their bytes count.
 *
 * @module
 */
import type { Member, RecordList } from "@banyanlb/serving";

/** Kinds of records that peers pass on to each other. */
export const SHARED_KINDS = [
  "configuration",
  "engines",
  "versions",
  "assignment",
] as const;

/** One of these kinds. */
export type SharedKind = typeof SHARED_KINDS[number];

/** First message on a connection. */
export interface Hello {
  readonly t: "hello";
  readonly member: Member;
}

/** An adapter held: name, version, milliseconds until it can serve. */
export type HeldRow = readonly [string, number, number];

/** What one instance tells the others a few times a second. Fields that are
 * left out are false, empty or unchanged. */
export interface Digest {
  readonly t: "digest";
  /** The tick of this digest, and the newest one received from the peer. */
  readonly seq: number;
  readonly ack: number;
  /** Ticks until the next digest at most; 1 if left out. */
  readonly every?: number;
  readonly ready: boolean;
  /** Callers use the sender; the sender orders at engines. */
  readonly serves?: true;
  readonly orders?: true;
  /** The store does not answer the sender. */
  readonly cut?: true;
  /** Part of the sender's time for which it is busy, in percent. */
  readonly busy?: number;
  readonly leaving?: true;
  readonly tenure: string | undefined;
  /** The newest revision known of each shared kind. */
  readonly revs: readonly number[];
  /** Requests at engines: the sender's own, or those of all instances but the
   * receiver where the sender sums them up. Engines left out have none. */
  readonly flight?: Readonly<Record<string, number>>;
  /** Units used by workspaces since this process started, where changed. */
  readonly used?: Readonly<Record<string, number>>;
  /** How long the sender has run, in milliseconds. */
  readonly up: number;
  /** The level of each workspace's rate, for a peer that was found just now. */
  readonly levels?: Readonly<Record<string, number>>;
  /** Adapters of the engines at which the sender orders, if they changed. */
  readonly held?: Readonly<Record<string, readonly HeldRow[]>>;
  /** Those of these engines that give no answer. */
  readonly down?: readonly string[];
  /** Fetches under way at these engines; 0 if left out. */
  readonly fetches?: number;
  /** Use of adapters at engines of the receiver: started, running. */
  readonly use?: Readonly<
    Record<string, Readonly<Record<string, readonly [number, number]>>>
  >;
}

/** Asks the owner of an engine to have an adapter there. */
export interface LoadRequest {
  readonly t: "load";
  readonly n: number;
  readonly engine: string;
  readonly model: string;
  readonly adapter: string;
  readonly version: number;
  /** The adapter was said to be there and was not. */
  readonly early?: boolean;
  /** Nobody waits for the answer. */
  readonly quiet?: boolean;
}

/** The owner's answer. */
export interface LoadReply {
  readonly t: "loaded";
  readonly n: number;
  readonly ok: boolean;
}

/** Asks for all records of a kind. */
export interface PullRequest {
  readonly t: "pull";
  readonly n: number;
  readonly kind: SharedKind;
}

/** All records of a kind, as the peer has them. */
export interface PullReply {
  readonly t: "pulled";
  readonly n: number;
  readonly list: RecordList | undefined;
}

/** Any message. */
export type PeerMessage =
  | Hello
  | Digest
  | LoadRequest
  | LoadReply
  | PullRequest
  | PullReply;
