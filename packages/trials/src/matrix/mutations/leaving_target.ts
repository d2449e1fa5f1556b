/** Mutations that break the detection of leaving targets.
 *
 * @module
 */
import type { Mutation } from "./mutation.ts";

const property = "leaving_target";

/** Mutations of the property. */
export const leaving_target_mutations: readonly Mutation[] = [
  {
    name: "target_changes_not_followed",
    property,
    package: "@banyanlb/published",
    file: "follower.js",
    find: "if (manifest.generation === this.generation)",
    replace: "if (this.generation > 0)",
  },
  {
    name: "list_not_believed",
    property,
    package: "@banyanlb/daemon",
    file: "instance_list_watch.js",
    find:
      "return this.#listed_leaving.has(name) || this.#reported_until.has(name);",
    replace: "return false;",
  },
];
