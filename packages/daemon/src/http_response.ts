/** HTTP responses to callers.
 *
 * @module
 */
import type { Refusal } from "@banyanlb/core";
import type { ServerResponse } from "node:http";

const MS_PER_S = 1_000;

/** Sends a JSON response. */
export function sendJson(
  res: ServerResponse,
  status: number,
  options: {
    readonly body: unknown;
    readonly headers?: Readonly<Record<string, string>>;
  },
): void {
  const text = JSON.stringify(options.body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...options.headers,
  });
  res.end(text);
}

function retryHeaders(refusal: Refusal): Readonly<Record<string, string>> {
  if (refusal.retry_after_ms === undefined) return {};
  const seconds = Math.max(1, Math.ceil(refusal.retry_after_ms / MS_PER_S));
  return { "retry-after": String(seconds) };
}

/** Sends a refusal, or ends a response that has started so that the caller
 * detects that it is incomplete.
 *
 * An event stream ends with an `error` event and without its end marker. For any
 * other response the connection is destroyed before the end of the body. */
export function sendRefusal(res: ServerResponse, refusal: Refusal): void {
  if (res.destroyed || res.writableEnded) return;
  const text = refusal.toJson();
  if (!res.headersSent) {
    // A connection with unread body bytes cannot be reused.
    const close = res.req.complete ? {} : { connection: "close" };
    res.writeHead(refusal.status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      ...close,
      ...retryHeaders(refusal),
    });
    res.end(text);
    return;
  }
  const type = String(res.getHeader("content-type") ?? "");
  if (type.startsWith("text/event-stream")) {
    res.end(`event: error\ndata: ${text}\n\n`);
    return;
  }
  res.destroy();
}
