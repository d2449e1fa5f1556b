/** Log events 400-499: rate and burst limits.
 *
 * @module
 */
import type { LogEvent } from "@banyanlb/core";

/** Settlements were dropped after failed deliveries or because the queue was
 * full; their unused tokens are lost. */
export const RATE_SETTLEMENTS_DROPPED: LogEvent = {
  id: 400,
  severity: "warn",
  text: "token settlements dropped; check the connection to the holder",
};

/** A holder did not reply to a request for tokens. */
export const RATE_HOLDER_UNREACHABLE: LogEvent = {
  id: 401,
  severity: "warn",
  text: "holder of rate shares did not reply; it is skipped for one second",
};

/** A holder's reply does not match its schema. */
export const RATE_REPLY_INVALID: LogEvent = {
  id: 402,
  severity: "error",
  text: "holder of rate shares sent an invalid reply; compare both versions",
};
