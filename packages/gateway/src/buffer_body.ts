/** Reads whole bodies of engines' responses.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { ResponseBuffer } from "./response_buffer.ts";
import { trackCompletion } from "./response_completion.ts";

/** What becomes of a body. */
export interface BodyListeners {
  /** Whether nobody waits for the body any more. */
  readonly isEnded: () => boolean;
  readonly onBody: (body: Buffer) => void;
  /** Called if the body is too large or incomplete. */
  readonly onFailure: (reason: string) => void;
}

/** Reads a whole body within the limits. Its room is kept until the caller has
 * received the response `res`.
 *
 * @example
 * ```ts
 * bufferBody(response, res, { isEnded, onBody: (body) => res.end(body), onFailure });
 * ```
 */
export function bufferBody(
  response: IncomingMessage,
  res: ServerResponse,
  { isEnded, onBody, onFailure }: BodyListeners,
): void {
  const buffer = new ResponseBuffer();
  const isComplete = trackCompletion(response);
  const fail = (reason: string) => {
    buffer.release();
    onFailure(reason);
  };
  res.once("close", () => buffer.release());
  response.on("data", (chunk: Buffer) => {
    if (!isEnded() && !buffer.push(chunk)) fail("response_too_large");
  });
  response.on("error", () => fail("connection_lost"));
  response.on("end", () => {
    if (isEnded()) return;
    if (isComplete()) onBody(buffer.concat());
    else fail("connection_lost");
  });
}
