/** Requests from a session's holder to its successors.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { PromiseAsk, PromiseReply } from "./generated/lease_messages.ts";

/** Why a request has no valid reply. */
export interface PeerError {
  readonly kind: "unreachable" | "invalid";
  readonly message: string;
}

/** Sends requests to successors. Implementations must limit the duration of a
 * call. */
export abstract class LeasePeers {
  /** Requests a promise from a successor. A lost request or reply does no
   * harm. */
  abstract requestPromise(
    successor_id: string,
    request: PromiseAsk,
  ): ResultAsync<PromiseReply, PeerError>;
}
