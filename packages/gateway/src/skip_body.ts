/** Skips bodies whose content does not matter.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** How much of a body is skipped, in bytes, and for how long, in milliseconds,
 * so that the connection can be used again. */
const BODY_MAX_BYTES = 64 * 1024;
const BODY_TIMEOUT_MS = 200;

/** Skips a body so that its connection can be reused. Calls `callback` at the
 * end of the body, when the connection has failed, or when the body turns out to
 * be long or slow. */
export function skipBody(
  response: IncomingMessage,
  callback: () => void,
): void {
  let sizeBytes = 0;
  const finish = () => {
    clearTimeout(timer);
    callback();
  };
  const timer = setTimeout(finish, BODY_TIMEOUT_MS);
  response.on("data", (chunk: Buffer) => {
    sizeBytes += chunk.length;
    if (sizeBytes > BODY_MAX_BYTES) finish();
  });
  response.once("end", finish);
  response.once("error", finish);
  response.once("close", finish);
}
