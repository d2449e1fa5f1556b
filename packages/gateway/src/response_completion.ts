/** Detects incomplete responses from engines.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** Observes a response whose headers have been received. The returned function
 * must be called after the response's `end` event and returns whether the
 * response is complete.
 *
 * A response that has neither `Content-Length` nor `Transfer-Encoding` ends
 * when its connection is closed by the engine. When the last bytes and
 * a reset arrive together, libuv reports the end of the stream and drops the
 * error, so the HTTP parser treats the response as complete. A socket that was
 * reset has no remote address any more; one that was closed in order still has
 * it.
 *
 * @example
 * ```ts
 * const isComplete = trackCompletion(response);
 * response.on("end", () => isComplete());
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
