/** Answers of the gateway's own: refusals and failures.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/** Seconds after which a refused caller may return: about one request's
 * duration, spread so that callers do not return together. */
const RETRY_AFTER_SECONDS = 0.4;
const RETRY_AFTER_JITTER_SECONDS = 0.8;

/** When a caller that was refused for lack of room should come back. */
export function retryAfterSeconds(): number {
  return RETRY_AFTER_SECONDS + Math.random() * RETRY_AFTER_JITTER_SECONDS;
}

/** An answer of our own. */
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
      : { "retry-after": options.waitSeconds.toFixed(2) }),
  });
  res.end(body);
}
