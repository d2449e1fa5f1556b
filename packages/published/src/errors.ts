/** Errors of publishing.
 *
 * @module
 */
import type { StoreError, Violation } from "@banyanlb/core";
import type { ConfigKind } from "./kinds.ts";

/** An object that was changed since the generation that an edit is based on. */
export interface ObjectConflict {
  readonly kind: ConfigKind;
  readonly name: string;
  /** Generation that the edit is based on; `null`: the object was to be
   * created. */
  readonly base: number | null;
  /** Generation that last changed the object; `null`: the object does not
   * exist. */
  readonly current: number | null;
}

/** Another publish changed the same objects first. Nothing was published. */
export interface EditConflictError {
  readonly kind: "conflict";
  readonly message: string;
  readonly objects: readonly ObjectConflict[];
}

/** The configuration would violate a rule after the change. Nothing was
 * published. */
export interface RejectedError {
  readonly kind: "rejected";
  readonly message: string;
  readonly violations: readonly Violation[];
}

/** The store certainly did not apply the change. Nothing was published. */
export interface NotPublishedError {
  readonly kind: "not_published";
  readonly message: string;
}

/** It is unknown whether the store applied the change. */
export interface OutcomeUnknownError {
  readonly kind: "outcome_unknown";
  readonly message: string;
}

/** Any error of publishing. Every message states the remedy. */
export type PublishError =
  | EditConflictError
  | RejectedError
  | NotPublishedError
  | OutcomeUnknownError;

function describeConflict(conflict: ObjectConflict): string {
  const id = `${conflict.kind}/${conflict.name}`;
  if (conflict.current === null) return `${id} was removed`;
  if (conflict.base === null) {
    return `${id} exists since generation ${conflict.current}`;
  }
  return `${id} was changed in generation ${conflict.current}, ` +
    `the edit is based on ${conflict.base}`;
}

/** Builds the error for edits whose base was changed by another publish. */
export function editConflict(
  objects: readonly ObjectConflict[],
): EditConflictError {
  const list = objects.map(describeConflict).join("; ");
  return {
    kind: "conflict",
    message: `${list}. The published objects stand and nothing of this ` +
      "change was published; get them, merge your edit and apply again",
    objects,
  };
}

/** Builds the error for a change that breaks rules. */
export function rejected(violations: readonly Violation[]): RejectedError {
  return {
    kind: "rejected",
    message: `${violations.length} violations, nothing was published; ` +
      "correct them and apply again",
    violations,
  };
}

/** Builds the error for a change that the store certainly did not apply. */
export function notPublished(cause: StoreError): NotPublishedError {
  return {
    kind: "not_published",
    message: `the store answered ${cause.kind} (${cause.message}), ` +
      "nothing was published; apply again later",
  };
}

/** Builds the error for a change that may have been published. */
export function outcomeUnknown(detail: string): OutcomeUnknownError {
  return {
    kind: "outcome_unknown",
    message: `${detail}; the change may have been published: get the ` +
      "objects, compare, and apply again only if they differ",
  };
}
