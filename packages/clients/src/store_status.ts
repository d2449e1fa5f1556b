/** Maps HTTP statuses of the platform's services to errors.
 *
 * @module
 */
import type { StoreError } from "@banyanlb/core";
import { DEFAULT_RETRY_AFTER_MS } from "./constants.ts";
import {
  type HttpRequest,
  type HttpResponse,
  readRetryAfter,
} from "./json_http_client.ts";

/** Describes a response in error messages. */
export function describeResponse(response: HttpResponse): string {
  return `status ${response.status}`;
}

/** Maps a response's status to an error; `undefined` for 2xx.
 *
 * After 404, 409, 412 and 429 the request had no effect. 408 and 5xx may come
 * from a proxy that has forwarded the request, so it may have taken effect.
 *
 * @example
 * ```ts
 * classifyStatus(request, { status: 503, headers: {}, body: undefined })?.kind;
 * // "unavailable"
 * ```
 */
export function classifyStatus(
  request: HttpRequest,
  response: HttpResponse,
): StoreError | undefined {
  const { status } = response;
  if (status >= 200 && status < 300) return undefined;
  const message = `${request.method} ${request.url}: ` +
    describeResponse(response);
  if (status === 404) return { kind: "not_found", message };
  if (status === 409 || status === 412) return { kind: "conflict", message };
  if (status === 429) return throttledError(response, message);
  if (status === 408 || status >= 500) return { kind: "unavailable", message };
  return {
    kind: "invalid",
    message: `${message}; check that the URL is the object API's`,
  };
}

function throttledError(response: HttpResponse, message: string): StoreError {
  const retry_after_ms = readRetryAfter(response.headers) ??
    DEFAULT_RETRY_AFTER_MS;
  return {
    kind: "throttled",
    message: `${message}; repeat after ${retry_after_ms} ms`,
    retry_after_ms,
  };
}
