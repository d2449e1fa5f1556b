/** Mutations that break the enforcement of withdrawn keys.
 *
 * @module
 */
import type { Mutation } from "./mutation.ts";

const property = "withdrawn_key";

/** Mutations of the property. */
export const withdrawn_key_mutations: readonly Mutation[] = [
  {
    name: "withdrawn_requests_go_on",
    property,
    package: "@banyanlb/daemon",
    file: "instance.js",
    find: "this.#endWithdrawnRequests(snapshot);",
    replace: "",
  },
  {
    name: "stale_instance_serves",
    property,
    package: "@banyanlb/published",
    file: "freshness_guard.js",
    find: 'return { serve: false, reason: "stale_configuration" };',
    replace: 'return { serve: true, reason: "contact" };',
  },
];
