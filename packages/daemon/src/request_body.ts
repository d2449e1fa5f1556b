/** Reads request bodies of callers.
 *
 * @module
 */
import { Refusal } from "@banyanlb/core";
import type { IncomingMessage } from "node:http";

/** Reads a whole body. Throws a {@linkcode Refusal} if it is larger than
 * `max_bytes` or ends early. */
export async function readBody(
  req: IncomingMessage,
  max_bytes: number,
): Promise<Buffer> {
  const tooLarge = () =>
    new Refusal("body_too_large", {
      message: `the body is larger than ${max_bytes} bytes`,
      not_run: true,
    });
  if (Number(req.headers["content-length"] ?? 0) > max_bytes) throw tooLarge();
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req) {
      size += chunk.length;
      if (size > max_bytes) throw tooLarge();
      chunks.push(chunk);
    }
  } catch (cause) {
    if (cause instanceof Refusal) throw cause;
    throw new Refusal("bad_request", {
      message: "the body ended before its announced length",
      not_run: true,
    });
  }
  return Buffer.concat(chunks);
}
