/** Calls to the holders of shares on other instances.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type {
  ReserveAsk,
  ReserveReply,
  SettleBatch,
} from "./generated/rate_messages.ts";

/** A call to a peer failed; the peer may have executed it. */
export interface RatePeerError {
  readonly kind: "no_answer";
  readonly message: string;
}

/** Calls to other instances. Each call ends within `PEER_TIMEOUT_MS`. */
export abstract class RatePeers {
  /** Requests tokens from a holder's shares. */
  abstract reserve(
    holder: string,
    request: ReserveAsk,
  ): ResultAsync<ReserveReply, RatePeerError>;

  /** Delivers settlements. Repeated deliveries have no effect. */
  abstract settle(
    holder: string,
    batch: SettleBatch,
  ): ResultAsync<void, RatePeerError>;
}
