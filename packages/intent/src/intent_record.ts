/** Conversion between calls, responses and stored intent records.
 *
 * @module
 */
import {
  createValidator,
  hashKey,
  type Intent,
  stored_schema,
  type StoreKey,
} from "@banyanlb/core";
import { RECORDED_BODY_MAX_BYTES } from "./constants.ts";

/** Identifies a call that must not be repeated. */
export interface IntentKey {
  readonly workspace: string;
  readonly route: string;
  readonly idempotency_key: string;
}

/** The complete response of a call. */
export interface IntentResponse {
  readonly status: number;
  readonly content_type: string;
  readonly body: Uint8Array;
}

/** Validates a record that was read from the store. */
export const validateIntent = createValidator<Intent>(stored_schema, "intent");

/** Returns the store key of a call's record. */
export function intentStoreKey(key: IntentKey): StoreKey {
  const parts = [key.workspace, key.route, key.idempotency_key];
  return { kind: "intent", name: hashKey(JSON.stringify(parts)) };
}

/** Returns the record of a finished call. If the body exceeds
 * {@linkcode RECORDED_BODY_MAX_BYTES}, the whole response is left out, so that
 * a partial response is never replayed as a complete one. */
export function toFinishedRecord(
  record: Intent,
  response: IntentResponse | undefined,
): Intent {
  const done: Intent = { ...record, state: "done" };
  if (response === undefined) return done;
  if (response.body.byteLength > RECORDED_BODY_MAX_BYTES) return done;
  const { status, content_type, body } = response;
  const body_base64 = Buffer.from(body).toString("base64");
  return { ...done, response: { status, content_type, body_base64 } };
}

/** Returns the recorded response of a finished call; `undefined` if there is
 * none. */
export function toResponse(record: Intent): IntentResponse | undefined {
  if (record.response === undefined) return undefined;
  const { status, content_type, body_base64 } = record.response;
  return { status, content_type, body: Buffer.from(body_base64, "base64") };
}
