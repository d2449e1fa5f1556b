/** Parses OpenAI chat and text completion requests.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import {
  chatPrompt,
  DEFAULT_MAX_TOKENS,
  type Generation,
} from "./expected_text.ts";

/** The API of a request: chat completions or text completions. */
export type ApiKind = "chat" | "text";

/** A parsed completion request. */
export interface GenerationRequest {
  readonly api: ApiKind;
  readonly generation: Generation;
  readonly stream: boolean;
}

interface OpenAiBody {
  readonly model?: unknown;
  readonly prompt?: unknown;
  readonly messages?: unknown;
  readonly max_tokens?: unknown;
  readonly max_completion_tokens?: unknown;
  readonly stream?: unknown;
}

function readPrompt(body: OpenAiBody, api: ApiKind): string | undefined {
  if (api === "text") {
    return typeof body.prompt === "string" ? body.prompt : undefined;
  }
  if (!Array.isArray(body.messages)) return undefined;
  return chatPrompt(body.messages);
}

/** Parses a request body. Returns `undefined` if model or prompt is missing. */
export function readGenerationRequest(
  value: unknown,
  api: ApiKind,
): GenerationRequest | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const body = value as OpenAiBody;
  const prompt = readPrompt(body, api);
  if (typeof body.model !== "string" || prompt === undefined) return undefined;
  const token_limit = body.max_tokens ?? body.max_completion_tokens;
  const max_tokens = typeof token_limit === "number"
    ? token_limit
    : DEFAULT_MAX_TOKENS;
  return {
    api,
    generation: { version: body.model, prompt, max_tokens },
    stream: body.stream === true,
  };
}

/** Returns one header as a string; empty if it is missing. */
export function readHeader(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === "string" ? value : "";
}

/** Returns the time limit of `x-deadline-ms` in milliseconds, `undefined` if
 * there is none. */
export function readDeadlineMs(
  headers: IncomingHttpHeaders,
): number | undefined {
  const text = readHeader(headers, "x-deadline-ms");
  const ms = Number(text);
  return text === "" || !Number.isFinite(ms) ? undefined : Math.max(0, ms);
}
