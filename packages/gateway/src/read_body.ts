/** Reads a caller's body whole: a request can be sent again only with it.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** Memory for bodies of all requests together, in bytes. */
const BUFFERED_BODIES_MAX_BYTES = 64 * 1024 * 1024;

let bufferedBytes = 0;

/** Why a body was not read. */
export type BodyFailure = "too_large" | "no_memory" | "broken";

/** Reads the body. The memory counts until `release`. */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined | BodyFailure> {
  const length = req.headers["content-length"];
  const hasBody = length !== undefined ||
    req.headers["transfer-encoding"] !== undefined;
  if (!hasBody) return Promise.resolve(undefined);
  if (Number(length ?? 0) > maxBytes) return Promise.resolve("too_large");
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    req.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      bufferedBytes += chunk.length;
      if (sizeBytes > maxBytes) resolve("too_large");
      else if (bufferedBytes > BUFFERED_BODIES_MAX_BYTES) resolve("no_memory");
      else chunks.push(chunk);
    });
    req.on("end", () => resolve(Buffer.concat(chunks)));
    req.on("error", () => resolve("broken"));
    req.on("close", () => {
      bufferedBytes -= sizeBytes;
      resolve("broken");
    });
  });
}
