/** Mutations that break the publishing of changes and their propagation.
 *
 * @module
 */
import type { Mutation } from "./mutation.ts";

const property = "configuration";

/** Mutations of the property. */
export const configuration_mutations: readonly Mutation[] = [
  {
    name: "edit_conflict_ignored",
    property,
    package: "@banyanlb/published",
    file: "edits.js",
    find: ".filter((row) => row.base !== row.current)",
    replace: ".filter(() => false)",
  },
  {
    name: "references_not_checked",
    property,
    package: "@banyanlb/published",
    file: "check.js",
    find: ".filter((ref) => !resolves(next, ref.kind, ref.name))",
    replace: ".filter(() => false)",
  },
  {
    name: "changes_not_followed",
    property,
    package: "@banyanlb/published",
    file: "follower.js",
    find: "if (manifest.generation === this.generation)",
    replace: "if (this.generation > 1)",
  },
];
