/** Mutations that break serving during an outage of the store.
 *
 * @module
 */
import type { Mutation } from "./mutation.ts";

/** Mutations of the property. */
export const store_outage_mutations: readonly Mutation[] = [
  {
    name: "outage_evidence_ignored",
    property: "store_outage",
    package: "@banyanlb/published",
    file: "freshness_guard.js",
    find: "if (this.#outage_at >= cutoff)",
    replace: "if (false)",
  },
];
