/** The deterministic text that the engine stand-in generates, so that tests can
 * check each response byte for byte.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { CHARS_PER_TOKEN } from "./constants.ts";

const MIN_NATURAL_TOKENS = 8;
const NATURAL_TOKEN_RANGE = 249;
const SYLLABLES = ["ba", "de", "gi", "ko", "lu", "ma", "ne", "pi"] as const;
const SYLLABLES_PER_TOKEN = 2;
const SYLLABLE_BITS = 3;

/** Token limit of a request that sets no `max_tokens`. */
export const DEFAULT_MAX_TOKENS = 16;

/** The inputs that determine the generated text. */
export interface Generation {
  /** Name of the version on the engine, `ADAPTER@VERSION`. */
  readonly version: string;
  readonly prompt: string;
  readonly max_tokens: number;
}

/** One message of a chat request. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

function hashGeneration(generation: Generation): Buffer {
  const { version, prompt } = generation;
  return createHash("sha256").update(`${version}\n${prompt}`).digest();
}

function xorshift32(state: number): number {
  let next = state;
  next ^= next << 13;
  next ^= next >>> 17;
  next ^= next << 5;
  return next >>> 0;
}

function toToken(state: number): string {
  let token = " ";
  for (let i = 0; i < SYLLABLES_PER_TOKEN; i++) {
    const index = (state >>> (i * SYLLABLE_BITS)) % SYLLABLES.length;
    token += SYLLABLES[index];
  }
  return token;
}

/** Returns all tokens of the response, in order. Version and prompt determine a
 * length of 8 to 256 tokens, which `max_tokens` limits.
 *
 * @example
 * ```ts
 * const generation = { version: "a@1", prompt: "hi", max_tokens: 4 };
 * expectedTokens(generation).length; // 4
 * ```
 */
export function expectedTokens(generation: Generation): readonly string[] {
  const hash = hashGeneration(generation);
  const natural_length = MIN_NATURAL_TOKENS +
    (hash.readUInt32BE(0) % NATURAL_TOKEN_RANGE);
  const count = Math.min(natural_length, generation.max_tokens);
  let state = hash.readUInt32BE(4) || 1;
  const tokens: string[] = [];
  while (tokens.length < count) {
    state = xorshift32(state);
    tokens.push(toToken(state));
  }
  return tokens;
}

/** Returns the complete text that an engine generates.
 *
 * @example
 * ```ts
 * const generation = { version: "a@1", prompt: "hi", max_tokens: 4 };
 * expectedText(generation) === expectedText({ ...generation }); // true
 * ```
 */
export function expectedText(generation: Generation): string {
  return expectedTokens(generation).join("");
}

/** Joins the messages of a chat into one prompt.
 *
 * @example
 * ```ts
 * chatPrompt([{ role: "user", content: "hi" }]); // "user: hi\n"
 * ```
 */
export function chatPrompt(messages: readonly ChatMessage[]): string {
  return messages.map((m) => `${m.role}: ${m.content}\n`).join("");
}

/** Returns the number of tokens that a prompt counts as. */
export function countPromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARS_PER_TOKEN);
}
