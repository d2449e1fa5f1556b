/** Buffers the whole body of a caller's request, so that the request can be
 * sent to an engine more than once.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { ByteBudget, ByteCollector } from "@banyanlb/serving";

/** Limit on the buffered bodies of all requests together, in bytes. */
const BUFFERED_BODIES_MAX_BYTES = 64 * 1024 * 1024;

const bufferedBodies = new ByteBudget(BUFFERED_BODIES_MAX_BYTES);

/** Why a body was not read. */
export type BodyFailure = "too_large" | "no_memory" | "broken";

/** Reads the body; undefined if the request has none. Its bytes count against
 * the limit until the request emits `close`. */
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
    const body = new ByteCollector();
    let sizeBytes = 0;
    req.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      const hasRoom = bufferedBodies.take(chunk.length);
      if (sizeBytes > maxBytes) resolve("too_large");
      else if (!hasRoom) resolve("no_memory");
      else body.push(chunk);
    });
    req.on("end", () => resolve(body.concat()));
    req.on("error", () => resolve("broken"));
    req.on("close", () => {
      bufferedBodies.release(sizeBytes);
      resolve("broken");
    });
  });
}
