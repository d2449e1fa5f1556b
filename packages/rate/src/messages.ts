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

/** Checks an ask for tokens. */
export const validateReserveRequest = createValidator<ReserveAsk>(
  rate_messages_schema,
  "reserve_ask",
);

/** Checks the reply to an ask. */
export const validateReserveReply = createValidator<ReserveReply>(
  rate_messages_schema,
  "reserve_reply",
);

/** Checks a batch of settlements. */
export const validateSettleBatch = createValidator<SettleBatch>(
  rate_messages_schema,
  "settle_batch",
);

/** Checks the levels of a graceful handover. */
export const validateSlotLevels = createValidator<SlotLevels>(
  rate_messages_schema,
  "slot_levels",
);
