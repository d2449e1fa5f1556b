/** Reads HTTP requests and writes HTTP responses.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { MAX_BODY_BYTES } from "./constants.ts";

/** Reads a complete request body. Rejects if the connection closes first or the
 * body exceeds `MAX_BODY_BYTES`. */
export async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_BODY_BYTES) throw new Error("body is too long");
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
}

/** Parses JSON. Returns `undefined` if the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Content of an HTTP response. */
export interface HttpResponse {
  readonly status: number;
  /** JSON text; none if missing. */
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Sends a complete response, unless the connection is closed. */
export function sendResponse(
  res: ServerResponse,
  response: HttpResponse,
): void {
  if (res.destroyed) return;
  const body = response.body ?? "";
  res.writeHead(response.status, {
    ...response.headers,
    ...(body === "" ? {} : { "content-type": "application/json" }),
    ...(response.status === 204
      ? {}
      : { "content-length": String(Buffer.byteLength(body)) }),
  });
  res.end(body);
}

/** Sends a JSON response. */
export function sendJson(
  res: ServerResponse,
  status: number,
  options: { readonly value: unknown },
): void {
  sendResponse(res, { status, body: JSON.stringify(options.value) });
}

/** Resets the connection of a request. */
export function resetConnection(req: IncomingMessage): void {
  req.socket.resetAndDestroy();
}
