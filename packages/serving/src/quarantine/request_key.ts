/** The key of a whole request, under which it is a suspect.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** What makes two requests the same: not their id, their deadline, or the
 * position in a stream from which they go on. */
export interface RequestIdentity {
  readonly method: string;
  readonly host: string;
  /** With its query. */
  readonly path: string;
  /** Name of the workspace whose key came with it. */
  readonly workspace: string | undefined;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** All parts of its prompt, as the caller listed them. */
  readonly prompt: string;
  readonly body: Uint8Array | undefined;
}

/** Tells the keys of requests from the ids of prompt parts, which are
 * hexadecimal. */
const PREFIX = "req-";

/** Length of a key's hash: enough for no two requests to share it, and short,
 * since instances report keys to each other. */
const HASH_DIGITS = 32;

/** The key of a request. It reveals nothing of the request's content.
 *
 * @example
 * ```ts
 * requestKeyOf({ ...identity, method: "GET", path: "/today?page=2" });
 * // "req-5f0c…"
 * ```
 */
export function requestKeyOf(
  { body, ...fields }: RequestIdentity,
): string {
  const { method, host, path, workspace, model, adapter, prompt } = fields;
  const hash = createHash("sha256").update(JSON.stringify(
    [method, host, path, workspace, model, adapter, prompt],
  ));
  // JSON has no zero byte, so the body cannot pass for a field.
  if (body !== undefined && body.length > 0) hash.update("\0").update(body);
  return PREFIX + hash.digest("hex").slice(0, HASH_DIGITS);
}

/** Whether a suspect is a whole request. */
export function isRequestKey(suspect: string): boolean {
  return suspect.startsWith(PREFIX);
}
