/** After how much silence another engine is asked to go on.
 *
 * @module
 */
import type { Route } from "@banyanlb/serving";

/** Multiple of the route's target latency after which an engine that has sent
 * no response counts as unresponsive. */
const FIRST_BYTE_TIMEOUT_RATIO = 1.3;

/** Lower bound of that timeout in milliseconds, for services without models,
 * whose target latencies are short. */
const FIRST_BYTE_TIMEOUT_MIN_MS = 400;

/** Upper bound of the timeout of a new connection, in milliseconds. Engines
 * accept connections within a few milliseconds; a machine without power never
 * replies. */
const CONNECT_TIMEOUT_MAX_MS = 700;

/** Time without a byte after which another engine is asked to go on with a
 * running stream, in milliseconds. */
export const STALL_TIMEOUT_MS = 1400;

/** Time without a response after which another engine is asked, in
 * milliseconds. */
export function firstByteTimeoutMs({ targetLatencyMs }: Route): number {
  return Math.max(
    FIRST_BYTE_TIMEOUT_MIN_MS,
    targetLatencyMs * FIRST_BYTE_TIMEOUT_RATIO,
  );
}

/** Time without a connection after which another engine is asked, in
 * milliseconds. */
export function connectTimeoutMs(route: Route): number {
  return Math.min(CONNECT_TIMEOUT_MAX_MS, firstByteTimeoutMs(route));
}
