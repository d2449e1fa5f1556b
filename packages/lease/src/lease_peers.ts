/** How a holder reaches its successors.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { PromiseAsk, PromiseReply } from "./generated/lease_messages.ts";

/** Why no reply came. */
export interface PeerError {
  readonly kind: "unreachable" | "invalid";
  readonly message: string;
}

/** Sends asks to successors. An implementation limits the time of a call. */
export abstract class LeasePeers {
  /** Asks a successor for a promise. Lost asks and replies are harmless. */
  abstract requestPromise(
    successor_id: string,
    request: PromiseAsk,
  ): ResultAsync<PromiseReply, PeerError>;
}
