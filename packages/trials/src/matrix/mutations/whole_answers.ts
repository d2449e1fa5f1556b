/** Mutations that break the completeness of responses.
 *
 * @module
 */
import type { Mutation } from "./mutation.ts";

const property = "whole_answers";

/** Mutations of the property. */
export const whole_answers_mutations: readonly Mutation[] = [
  {
    name: "end_without_marker",
    property,
    package: "@banyanlb/daemon",
    file: "relay.js",
    find: 'throw new BrokenAnswerError("the stream ended without its end ' +
      'marker");',
    replace: 'res.write("data: [DONE]\\n\\n");',
  },
  {
    name: "crossed_answer_relayed",
    property,
    package: "@banyanlb/daemon",
    file: "relay.js",
    find: "if (id === undefined || id === request_id)",
    replace: "if (true)",
  },
  {
    name: "sent_completion_claimed_not_run",
    property,
    package: "@banyanlb/daemon",
    file: "request_scope.js",
    find: "this.#is_sent = true;",
    replace: "",
  },
];
