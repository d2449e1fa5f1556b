/** Buffers the whole body of a caller's request, so that the request can be
 * sent to an engine more than once.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type BodyRoom, ByteCollector } from "@banyanlb/serving";

/** Why a body was not read. */
export type BodyFailure = "too_large" | "no_memory" | "late" | "broken";

/** Limits on a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly room: BodyRoom;
  /** The workspace whose room it takes. */
  readonly workspace: string;
  /** When the request must have its answer, by the monotonic clock. */
  readonly deadline: number;
}

/** Reads the body; undefined if the request has none. It takes room until the
 * response to the request emits `close`: until then it may be sent again. A body
 * for which there is no room is refused at once if its length is known. */
export function readBody(
  req: IncomingMessage,
  res: ServerResponse,
  { maxBytes, room, workspace, deadline }: BodyLimits,
): Promise<Buffer | undefined | BodyFailure> {
  const length = req.headers["content-length"];
  const hasBody = length !== undefined ||
    req.headers["transfer-encoding"] !== undefined;
  if (!hasBody) return Promise.resolve(undefined);
  const knownBytes = Number(length ?? 0);
  if (knownBytes > maxBytes) return Promise.resolve("too_large");
  if (!room.has(workspace, knownBytes)) return Promise.resolve("no_memory");
  return new Promise((resolve) => {
    const body = new ByteCollector();
    const onData = (chunk: Buffer) => {
      if (body.sizeBytes + chunk.length > maxBytes) fail("too_large");
      else if (!room.take(workspace, chunk.length)) fail("no_memory");
      else body.push(chunk);
    };
    const timer = setTimeout(
      () => fail("late"),
      Math.max(0, deadline - performance.now()),
    );
    const release = (bytes: number) => room.release(workspace, bytes);
    const fail = (failure: BodyFailure) => {
      clearTimeout(timer);
      // What still arrives is skipped.
      req.removeListener("data", onData);
      req.resume();
      release(body.sizeBytes);
      body.clear();
      resolve(failure);
    };
    req.on("data", onData);
    req.on("end", () => {
      clearTimeout(timer);
      const whole = body.concat();
      body.clear();
      if (res.closed) release(whole.length);
      else res.once("close", () => release(whole.length));
      resolve(whole);
    });
    req.on("error", () => fail("broken"));
    // Also emitted after `end`, when there is nothing left to release.
    req.on("close", () => fail("broken"));
  });
}
