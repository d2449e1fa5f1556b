/** Whether an answer came whole.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** Watches an answer from its head on; the returned function tells, after its
 * end, whether it is whole.
 *
 * An answer without a length ends with its connection. When its last bytes and
 * a reset arrive together, libuv reports the end of the stream and drops the
 * error, so the parser takes the answer for complete. A connection that was
 * reset has no peer any more, one that was closed in order still has.
 *
 * @example
 * ```ts
 * const isWhole = watchEnd(answer);
 * answer.on("end", () => isWhole());
 * ```
 */
export function trackCompletion(response: IncomingMessage): () => boolean {
  const { headers, socket } = response;
  const endsWithConnection = headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
  let wasReset = false;
  if (endsWithConnection) {
    socket.prependOnceListener("end", () => {
      wasReset = socket.remoteAddress === undefined;
    });
    socket.once("error", () => {
      wasReset = true;
    });
  }
  return () => response.complete && !wasReset;
}
