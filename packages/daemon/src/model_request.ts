/** Parser for chat and text completion requests.
 *
 * @module
 */
import { Refusal } from "@banyanlb/core";
import {
  DEFAULT_MAX_TOKENS,
  TEMPLATE_TOKENS_PER_MESSAGE,
} from "./constants.ts";

/** Paths of the supported OpenAI endpoints. */
export type CompletionPath = "/v1/chat/completions" | "/v1/completions";

/** A parsed completion request. */
export interface ModelRequest {
  readonly path: CompletionPath;
  /** Name of a route or `ADAPTER@VERSION`, as given by the caller. */
  readonly model: string;
  readonly stream: boolean;
  readonly max_tokens: number;
  /** Length of the prompt in UTF-8 bytes. */
  readonly prompt_bytes: number;
  /** Most tokens that the engine's chat template adds. */
  readonly template_tokens: number;
  /** Start of the prompt, for prefix affinity. */
  readonly prefix: string;
  /** The parsed body. It is sent to the target with another `model`. */
  readonly body: Readonly<Record<string, unknown>>;
}

type JsonObject = Readonly<Record<string, unknown>>;

const PREFIX_CHARS = 256;
const MAX_TOKENS_LIMIT = 1_000_000;

function refuseBadRequest(message: string): never {
  throw new Refusal("bad_request", { message, not_run: true });
}

function parseObject(bytes: Buffer): JsonObject {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString("utf8"));
  } catch {
    return refuseBadRequest("the body is not valid JSON");
  }
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return refuseBadRequest("the body is not a JSON object");
  }
  return value as JsonObject;
}

function readMaxTokens(body: JsonObject): number {
  const value = body["max_completion_tokens"] ?? body["max_tokens"] ??
    DEFAULT_MAX_TOKENS;
  const valid = Number.isInteger(value) && (value as number) >= 1 &&
    (value as number) <= MAX_TOKENS_LIMIT;
  if (!valid) return refuseBadRequest("max_tokens is not a positive integer");
  return value as number;
}

function readMessages(body: JsonObject): readonly unknown[] {
  const { messages } = body;
  if (!Array.isArray(messages) || messages.length === 0) {
    return refuseBadRequest("messages is not a non-empty array");
  }
  return messages;
}

function readPrompt(path: CompletionPath, body: JsonObject): string {
  if (path === "/v1/chat/completions") {
    return JSON.stringify(readMessages(body));
  }
  const { prompt } = body;
  if (typeof prompt !== "string") {
    return refuseBadRequest("prompt is not a string");
  }
  return prompt;
}

function refuseMultipleChoices(body: JsonObject): void {
  for (const name of ["n", "best_of"]) {
    const value = body[name];
    if (value === undefined || value === 1) continue;
    refuseBadRequest(`${name} other than 1 is not supported`);
  }
}

/** Parses the body of a completion request. Throws a {@linkcode Refusal}. */
export function parseModelRequest(
  path: CompletionPath,
  bytes: Buffer,
): ModelRequest {
  const body = parseObject(bytes);
  const { model, stream = false } = body;
  if (typeof model !== "string") {
    return refuseBadRequest("model is not a string");
  }
  if (typeof stream !== "boolean") {
    return refuseBadRequest("stream is not a boolean");
  }
  refuseMultipleChoices(body);
  const prompt = readPrompt(path, body);
  const messages = path === "/v1/completions" ? 1 : readMessages(body).length;
  return {
    path,
    model,
    stream,
    max_tokens: readMaxTokens(body),
    prompt_bytes: Buffer.byteLength(prompt),
    template_tokens: messages * TEMPLATE_TOKENS_PER_MESSAGE,
    prefix: prompt.slice(0, PREFIX_CHARS),
    body,
  };
}
