/** Passing a target's answer on to the caller, whole or visibly broken.
 *
 * @module
 */
import { Refusal } from "@banyanlb/core";
import type { ServerResponse } from "node:http";
import { once } from "node:events";
import { CompletionStream, type Usage } from "./completion_stream.ts";
import type { TargetResponse } from "./target_client.ts";

/** Largest answer that is checked as a whole before it is passed on. */
const BUFFERED_RESPONSE_MAX_BYTES = 16 * 1024 * 1024;

/** Longest time for a body to end after its end marker. */
const BODY_END_TIMEOUT_MS = 1_000;

/** Most bytes read after the end marker. */
const BODY_END_MAX_BYTES = 4_096;

/** What a relayed answer cost. */
export interface RelayedCompletion {
  readonly usage: Usage | undefined;
}

/** What ends a relay. */
export interface RelayGuard {
  readonly signal: AbortSignal;
  /** Throws if nothing more may be passed on in this turn. */
  readonly checkWriteAllowed: () => void;
}

/** Options of a relay. */
export interface RelayOptions extends RelayGuard {
  /** Called before the first byte is passed on. */
  readonly onFirstByte?: () => void;
}

/** Thrown if an answer cannot be passed on whole. */
export class BrokenAnswerError extends Error {
  readonly crossed: boolean;

  constructor(message: string, crossed = false) {
    super(`${message}; the target's log may tell why`);
    this.name = "BrokenAnswerError";
    this.crossed = crossed;
  }
}

/** Writes with back-pressure. Throws what ends the relay. */
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

/** Throws unless the answer carries this request's id. */
export function checkResponseId(
  response: TargetResponse,
  request_id: string,
): void {
  const id = response.headers["x-request-id"];
  if (id === undefined || id === request_id) return;
  response.body.destroy();
  throw new BrokenAnswerError("the answer belongs to another request", true);
}

/** Relays a streamed completion. Ends the caller's stream only after the
 * engine's own end marker. Throws {@linkcode BrokenAnswerError}. */
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

/** Reads the rest of a body after its end marker, so that the connection can
 * be kept. A body that does not end has its connection closed. */
function drainBody(response: TargetResponse): void {
  const signal = AbortSignal.timeout(BODY_END_TIMEOUT_MS);
  response.body.dump({ limit: BODY_END_MAX_BYTES, signal }).catch(() => {
    response.body.destroy();
  });
}

/** Reads a whole answer of bounded size. */
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

/** Relays a completion that is not streamed, after checking it whole. */
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

/** Relays any other answer as it comes. An answer that breaks off destroys
 * the caller's connection, so that it cannot look whole. */
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

/** The refusal that a broken answer turns into. */
export function createIncompleteRefusal(cause: Error): Refusal {
  return new Refusal("answer_incomplete", {
    message: cause.message,
    not_run: false,
  });
}
