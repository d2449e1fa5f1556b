/** Validators of the messages between instances.
 *
 * @module
 */
import { createValidator } from "@banyanlb/core";
import {
  rate_messages_schema,
  type ReserveAsk,
  type ReserveReply,
  type SettleBatch,
  type SlotLevels,
} from "./generated/rate_messages.ts";

/** Validates a request for tokens. */
export const validateReserveRequest = createValidator<ReserveAsk>(
  rate_messages_schema,
  "reserve_ask",
);

/** Validates the reply to a request for tokens. */
export const validateReserveReply = createValidator<ReserveReply>(
  rate_messages_schema,
  "reserve_reply",
);

/** Validates a batch of settlements. */
export const validateSettleBatch = createValidator<SettleBatch>(
  rate_messages_schema,
  "settle_batch",
);

/** Validates the bucket levels of a graceful handover. */
export const validateSlotLevels = createValidator<SlotLevels>(
  rate_messages_schema,
  "slot_levels",
);
