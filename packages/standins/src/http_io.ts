/** Reading requests and writing answers.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { MAX_BODY_BYTES } from "./constants.ts";

/** Reads a whole body. Rejects if the connection ends or it is too long. */
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

/** Parses JSON; `undefined` if it is none. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** What an answer consists of. */
export interface HttpResponse {
  readonly status: number;
  /** JSON text. */
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Writes a whole answer. */
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

/** Writes a JSON answer. */
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
