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

/** A call to a peer failed; it may have taken effect there. */
export interface RatePeerError {
  readonly kind: "no_answer";
  readonly message: string;
}

/** Calls to other instances. Each ends within `PEER_TIMEOUT_MS`. */
export abstract class RatePeers {
  /** Asks a holder for tokens of its shares. */
  abstract reserve(
    holder: string,
    request: ReserveAsk,
  ): ResultAsync<ReserveReply, RatePeerError>;

  /** Delivers settlements. Repeats have no effect at the holder. */
  abstract settle(
    holder: string,
    batch: SettleBatch,
  ): ResultAsync<void, RatePeerError>;
}
