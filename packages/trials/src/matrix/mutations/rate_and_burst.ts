/** Mutations that break the rate and burst limits over all instances.
 *
 * @module
 */
import type { Mutation } from "./mutation.ts";

const property = "rate_and_burst";

/** Mutations of the property. */
export const rate_and_burst_mutations: readonly Mutation[] = [
  {
    name: "share_starts_full",
    property,
    package: "@banyanlb/rate",
    file: "share_bucket.js",
    find: "#history = new LevelHistory(0);",
    replace: "#history = new LevelHistory(1e6);",
  },
  {
    name: "tokens_never_charged",
    property,
    package: "@banyanlb/daemon",
    file: "model_attempt.js",
    find: "reservation.settle(result?.used ?? reservation.tokens);",
    replace: "reservation.settle(0);",
  },
];
