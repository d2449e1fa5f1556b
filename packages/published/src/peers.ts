/** Requests between instances about the configuration.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type {
  Evidence,
  FetchReply,
  FetchRequest,
} from "./generated/config_messages.ts";

/** The peer did not reply, or its reply was invalid. */
export interface PeerError {
  readonly kind: "unreachable";
  readonly message: string;
}

/** Client for the other instances. `member` is the id of a fleet member. */
export abstract class ConfigPeers {
  /** Requests the peer's evidence: its generation and the age of its last
   * contact with the store, direct or relayed. */
  abstract evidence(
    member: string,
    timeout_ms: number,
  ): ResultAsync<Evidence, PeerError>;

  /** Requests recent changes, or one bucket of the peer's snapshot. */
  abstract fetch(
    member: string,
    request: FetchRequest,
  ): ResultAsync<FetchReply, PeerError>;
}
