/** Mutations that break ownership and the budget of loads.
 *
 * @module
 */
import type { Mutation } from "./mutation.ts";

const property = "ownership";

/** Mutations of the property. */
export const ownership_mutations: readonly Mutation[] = [
  {
    name: "lease_never_lapses",
    property,
    package: "@banyanlb/lease",
    file: "session_lease.js",
    find: "    remaining() {",
    replace: "    remaining() { return 60_000;",
  },
  {
    name: "load_budget_ignored",
    property,
    package: "@banyanlb/daemon",
    file: "rate_load_budget.js",
    find: "if (result.isErr()) {",
    replace: "if (false) {",
  },
];
