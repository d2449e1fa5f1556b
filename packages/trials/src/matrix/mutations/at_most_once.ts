/** Mutations that break at-most-once execution and correct "not run" claims.
 *
 * @module
 */
import type { Mutation } from "./mutation.ts";

const property = "at_most_once";

/** Mutations of the property. */
export const at_most_once_mutations: readonly Mutation[] = [
  {
    name: "intent_conflict_ignored",
    property,
    package: "@banyanlb/intent",
    file: "intent_log.js",
    find: 'if (error.kind === "throttled" || error.kind === "invalid")',
    replace: 'if (error.kind === "conflict") ' +
      'return ok(this.#createTaken(attempt, "0"));\n' +
      'if (error.kind === "throttled" || error.kind === "invalid")',
  },
  {
    name: "sent_call_claimed_not_run",
    property,
    package: "@banyanlb/daemon",
    file: "request_scope.js",
    find: "this.#is_sent = true;",
    replace: "",
  },
];
