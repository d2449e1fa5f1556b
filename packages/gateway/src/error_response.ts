/** Responses that the gateway itself creates: refusals and failures.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/** Seconds after which a refused caller may retry: about the duration of one
 * request, with jitter so that callers do not all retry at the same moment. */
const RETRY_AFTER_SECONDS = 0.4;
const RETRY_AFTER_JITTER_SECONDS = 0.8;

/** Seconds after which a caller that was refused for lack of capacity should
 * retry. */
export function retryAfterSeconds(): number {
  return RETRY_AFTER_SECONDS + Math.random() * RETRY_AFTER_JITTER_SECONDS;
}

/** Writes a wait with two decimals, rounded up: a caller that returns too early is
 * refused again. */
export function formatWait(seconds: number): string {
  return (Math.ceil(seconds * 100) / 100).toFixed(2);
}

/** Sends an error response with the reason as its type. Does nothing if a
 * response has already begun. */
export function sendErrorResponse(
  res: ServerResponse,
  status: number,
  options: {
    readonly id: string | undefined;
    readonly reason: string;
    readonly waitSeconds?: number;
  },
): void {
  if (res.headersSent || res.destroyed) return;
  const body = JSON.stringify({
    error: { type: options.reason, not_run: status < 500 || status === 503 },
  });
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    ...(options.waitSeconds === undefined
      ? {}
      : { "retry-after": formatWait(options.waitSeconds) }),
  });
  res.end(body);
}
