/** Times that determine how old the configuration in force may be.
 *
 * @module
 */
import {
  EVIDENCE_INTERVAL_MS,
  FRESH_LIMIT_MS,
  GUARD_CHECK_INTERVAL_MS,
  MIN_POLL_WAIT_MS,
  OUTAGE_RENEWAL_MS,
  RENEWAL_TIMEOUT_MS,
  REPLY_MARGIN_MS,
} from "./constants.ts";

/** Times of one instance's freshness checks, all derived from the limit. */
export interface FreshnessTimes {
  /** Age of the evidence from which an instance refuses to serve. */
  readonly limit_ms: number;
  /** Age of the last successful poll from which evidence is requested from
   * peers, and from which a reported contact no longer shows that the store is
   * reached. */
  readonly contact_lost_ms: number;
  /** Time that one long poll of the manifest waits for a change. */
  readonly poll_wait_ms: number;
  /** Time limit of one poll of the manifest. */
  readonly poll_timeout_ms: number;
  /** Time between two evidence requests while an outage is attested. */
  readonly outage_request_interval_ms: number;
}

/** Derives the times from the maximum age of the evidence, in milliseconds. A
 * poll and a subsequent evidence request must fit into the limit one after the
 * other.
 *
 * @example
 * ```ts
 * freshnessTimes(2_500).poll_wait_ms; // 700
 * ```
 */
export function freshnessTimes(limit_ms = FRESH_LIMIT_MS): FreshnessTimes {
  const contact_lost_ms = limit_ms - REPLY_MARGIN_MS;
  return {
    limit_ms,
    contact_lost_ms,
    poll_wait_ms: Math.max(
      MIN_POLL_WAIT_MS,
      contact_lost_ms - REPLY_MARGIN_MS,
    ),
    poll_timeout_ms: limit_ms,
    outage_request_interval_ms: Math.max(
      EVIDENCE_INTERVAL_MS,
      limit_ms - OUTAGE_RENEWAL_MS - RENEWAL_TIMEOUT_MS -
        GUARD_CHECK_INTERVAL_MS,
    ),
  };
}
