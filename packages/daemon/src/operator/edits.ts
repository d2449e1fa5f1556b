/** Configuration changes requested by operators.
 *
 * @module
 */
import type { ConfigObject } from "@banyanlb/core";
import {
  checkObject,
  type Edits,
  isConfigKind,
  type PublishError,
  type PutEdit,
  type RemoveEdit,
} from "@banyanlb/published";
import { err, ok, type Result } from "neverthrow";
import { setTimeout } from "node:timers/promises";
import type {
  EditsMessage,
  PublishFailure,
  PublishReply,
  ViolationRow,
} from "../generated/operator_messages.ts";
import type { OperatorBackend } from "./backend.ts";

/** Maximum number of attempts to publish an edit that this instance creates
 * from its own snapshot. */
const MAX_EDIT_ATTEMPTS = 5;

/** Pause between two attempts, in milliseconds. */
const EDIT_RETRY_MS = 200;

/** Converts an operator's message into edits. Fails with all violations if an
 * object is malformed or its kind is unknown. */
export function parseEdits(
  message: EditsMessage,
): Result<Edits, PublishFailure> {
  const violations: ViolationRow[] = [];
  const put: PutEdit[] = [];
  const remove: RemoveEdit[] = [];
  for (const { object, base } of message.put) {
    const checked = checkObject(object);
    if (checked.isOk()) put.push({ object: checked.value, base });
    else violations.push(...checked.error.map(prefixPathWith(object)));
  }
  for (const { kind, name, base } of message.remove) {
    if (isConfigKind(kind)) remove.push({ kind, name, base });
    else violations.push({ path: `${kind}/${name}`, message: "unknown kind" });
  }
  if (violations.length === 0) return ok({ put, remove });
  return err({
    kind: "rejected",
    message: "objects are malformed, nothing was published; correct them",
    violations,
  });
}

function prefixPathWith(ref: { readonly kind: string; readonly name: string }) {
  return (row: ViolationRow): ViolationRow => ({
    path: `${ref.kind}/${ref.name}${row.path}`,
    message: row.message,
  });
}

/** Creates the reply that reports a publish error. */
export function toFailureReply(error: PublishError): PublishReply {
  return { error: { ...error } };
}

/** Publishes a change requested by an operator. */
export async function publishEdits(
  backend: OperatorBackend,
  message: EditsMessage,
): Promise<PublishReply> {
  const edits = parseEdits(message);
  if (edits.isErr()) return { error: edits.error };
  const published = await backend.publish(edits.value);
  if (published.isErr()) return toFailureReply(published.error);
  return { generation: published.value.generation };
}

/** Checks a change requested by an operator without publishing it. */
export function checkEdits(
  backend: OperatorBackend,
  message: EditsMessage,
): PublishReply {
  const edits = parseEdits(message);
  if (edits.isErr()) return { error: edits.error };
  const checked = backend.check(edits.value);
  return checked.isOk() ? {} : toFailureReply(checked.error);
}

/** Withdraws an API key: removes its object, whatever its current version. */
export function withdrawKey(
  backend: OperatorBackend,
  name: string,
): Promise<PublishReply> {
  return publishWithRetry(backend, (source) => {
    const base = source.snapshot()?.versionOf("key", name);
    if (base === undefined) return notFound("key", name);
    return ok({ put: [], remove: [{ kind: "key", name, base }] });
  });
}

/** Drains a target: marks its object as leaving. */
export function drainTarget(
  backend: OperatorBackend,
  name: string,
): Promise<PublishReply> {
  return publishWithRetry(backend, (source) => {
    const target = source.snapshot()?.get("target", name);
    const base = source.snapshot()?.versionOf("target", name);
    if (target === undefined || base === undefined) {
      return notFound("target", name);
    }
    const object: ConfigObject = { ...target, leaving: true };
    return ok({ put: [{ object, base }], remove: [] });
  });
}

function notFound(kind: string, name: string): Result<never, PublishFailure> {
  return err({
    kind: "not_found",
    message: `there is no ${kind} ${name}; list them with get ${kind}`,
  });
}

/** Publishes an edit that applies to any version of its object. After a
 * conflict, creates the edit again from the current snapshot and retries, at
 * most {@linkcode MAX_EDIT_ATTEMPTS} times. */
async function publishWithRetry(
  backend: OperatorBackend,
  createEdits: (backend: OperatorBackend) => Result<Edits, PublishFailure>,
): Promise<PublishReply> {
  let reply: PublishReply = {};
  for (let attempt = 0; attempt < MAX_EDIT_ATTEMPTS; attempt++) {
    const edits = createEdits(backend);
    if (edits.isErr()) return { error: edits.error };
    const published = await backend.publish(edits.value);
    if (published.isOk()) return { generation: published.value.generation };
    reply = toFailureReply(published.error);
    if (published.error.kind !== "conflict") return reply;
    await setTimeout(EDIT_RETRY_MS);
  }
  return reply;
}
