/** Relays responses of targets to callers. A caller gets a complete response or
 * one that is recognizably incomplete.
 *
 * @module
 */
import { isAnswerStatus, Refusal } from "@banyanlb/core";
import type { ServerResponse } from "node:http";
import { once } from "node:events";
import { CompletionStream, type Usage } from "./completion_stream.ts";
import type { TargetResponse } from "./target_client.ts";

/** Maximum size of a response that is buffered and checked before it is
 * relayed. */
const BUFFERED_RESPONSE_MAX_BYTES = 16 * 1024 * 1024;

/** Longest wait for the end of the body after the end marker. */
const BODY_END_TIMEOUT_MS = 1_000;

/** Maximum bytes read after the end marker. */
const BODY_END_MAX_BYTES = 4_096;

/** Usage of a relayed completion; `undefined` if the engine reported none. */
export interface RelayedCompletion {
  readonly usage: Usage | undefined;
}

/** Conditions under which a relay may continue. */
export interface RelayGuard {
  /** Aborts the relay. */
  readonly signal: AbortSignal;
  /** Throws if no more bytes may be sent to the caller. The bytes are written in
   * the same turn of the event loop. */
  readonly checkWriteAllowed: () => void;
}

/** Options of a relay. */
export interface RelayOptions extends RelayGuard {
  /** Called before the first byte is sent to the caller. */
  readonly onFirstByte?: () => void;
}

/** Thrown if a response cannot be relayed completely. */
export class BrokenAnswerError extends Error {
  /** True if the response, or a part of it, belongs to another request. */
  readonly crossed: boolean;

  constructor(message: string, crossed = false) {
    super(`${message}; the target's log may tell why`);
    this.name = "BrokenAnswerError";
    this.crossed = crossed;
  }
}

/** Writes a chunk and waits while the caller's connection is congested. Throws
 * if the guard ends the relay. */
async function writeChunk(
  res: ServerResponse,
  chunk: string | Uint8Array,
  guard: RelayGuard,
): Promise<void> {
  guard.signal.throwIfAborted();
  if (chunk.length === 0) return;
  guard.checkWriteAllowed();
  if (res.write(chunk)) return;
  await once(res, "drain", { signal: guard.signal });
}

/** Throws a {@linkcode BrokenAnswerError} and drops the response if it is no
 * answer to the request: its status is none of an answer, or it carries the id of
 * another request. */
export function checkResponse(
  response: TargetResponse,
  request_id: string,
): void {
  if (!isAnswerStatus(response.statusCode)) {
    response.body.destroy();
    throw new BrokenAnswerError(
      `the target sent status ${response.statusCode}, which is no answer`,
    );
  }
  const id = response.headers["x-request-id"];
  if (id === undefined || id === request_id) return;
  response.body.destroy();
  throw new BrokenAnswerError("the answer belongs to another request", true);
}

/** Relays a streamed completion. Ends the response to the caller only after the
 * engine's end marker was received; throws {@linkcode BrokenAnswerError} if it
 * is missing or events of another response are mixed in. */
export async function relayCompletionStream(
  response: TargetResponse,
  res: ServerResponse,
  options: RelayOptions & { readonly keeps_usage: boolean },
): Promise<RelayedCompletion> {
  const stream = new CompletionStream({
    keeps_usage: options.keeps_usage,
  });
  const chunks = response.body.iterator({ destroyOnReturn: false });
  for await (const chunk of chunks) {
    const events = stream.feed(chunk);
    if (stream.crossed) {
      response.body.destroy();
      throw new BrokenAnswerError("events of two answers are mixed", true);
    }
    if (events !== "" && !res.headersSent) {
      options.onFirstByte?.();
      res.writeHead(response.statusCode, {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
      });
    }
    await writeChunk(res, events, options);
    if (stream.ended) break;
  }
  if (!stream.ended) {
    throw new BrokenAnswerError("the stream ended without its end marker");
  }
  res.end();
  drainBody(response);
  return { usage: stream.usage };
}

/** Reads the rest of a body after its end marker, so that the connection can be
 * reused. Closes the connection if the body does not end. */
function drainBody(response: TargetResponse): void {
  const signal = AbortSignal.timeout(BODY_END_TIMEOUT_MS);
  response.body.dump({ limit: BODY_END_MAX_BYTES, signal }).catch(() => {
    response.body.destroy();
  });
}

/** Reads a whole response body into memory. Throws {@linkcode BrokenAnswerError}
 * if it is larger than `BUFFERED_RESPONSE_MAX_BYTES`. */
export async function readWholeResponse(
  response: TargetResponse,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of response.body) {
    size += chunk.length;
    if (size > BUFFERED_RESPONSE_MAX_BYTES) {
      throw new BrokenAnswerError("the answer is too large");
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Relays a completion that is not streamed, once the whole body is received
 * and is valid JSON. Throws {@linkcode BrokenAnswerError} if it is not. */
export async function relayWholeCompletion(
  response: TargetResponse,
  res: ServerResponse,
  options: RelayOptions,
): Promise<RelayedCompletion> {
  const bytes = await readWholeResponse(response);
  let usage: Usage | undefined;
  try {
    usage = JSON.parse(bytes.toString("utf8")).usage ?? undefined;
  } catch {
    throw new BrokenAnswerError("the answer is not complete JSON");
  }
  options.signal.throwIfAborted();
  options.checkWriteAllowed();
  options.onFirstByte?.();
  res.writeHead(response.statusCode, {
    "content-type": "application/json",
    "content-length": bytes.length,
  });
  res.end(bytes);
  return { usage };
}

const FORWARDED_HEADERS = ["content-type", "content-length", "location"];

/** Relays the response of a plain service chunk by chunk. Throws if the body
 * ends early; the caller's connection is then destroyed, so that the response
 * cannot be taken for complete. */
export async function relayServiceResponse(
  response: TargetResponse,
  res: ServerResponse,
  options: RelayOptions,
): Promise<void> {
  const headers = FORWARDED_HEADERS.flatMap((name) => {
    const value = response.headers[name];
    return value === undefined ? [] : [[name, value] as const];
  });
  options.onFirstByte?.();
  res.writeHead(response.statusCode, {
    ...Object.fromEntries(headers),
  });
  for await (const chunk of response.body) {
    await writeChunk(res, chunk, options);
  }
  res.end();
}

/** Creates the refusal for a response that could not be relayed completely. */
export function createIncompleteRefusal(cause: Error): Refusal {
  return new Refusal("answer_incomplete", {
    message: cause.message,
    not_run: false,
  });
}
