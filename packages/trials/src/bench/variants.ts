/** The policies that the benchmark compares.
 *
 * @module
 */
import type { Settings } from "@banyanlb/daemon";

/** A policy and the settings that select it. */
export interface Variant {
  readonly name: string;
  readonly settings: Partial<Settings>;
}

/** Name of the policy under development. */
export const THIS_VERSION = "this version";

/** The policy under development, and the baselines. */
export const VARIANTS: readonly Variant[] = [
  {
    name: THIS_VERSION,
    settings: { target_policy: "affinity", queue_policy: "fair" },
  },
  {
    name: "random target",
    settings: { target_policy: "random", queue_policy: "fair" },
  },
  {
    name: "least connections",
    settings: { target_policy: "least_connections", queue_policy: "fair" },
  },
  {
    name: "consistent hashing",
    settings: { target_policy: "consistent_hash", queue_policy: "fair" },
  },
  {
    name: "first come first served",
    settings: { target_policy: "affinity", queue_policy: "fifo" },
  },
];
