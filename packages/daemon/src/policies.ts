/** Creates the policies that are selected in the settings.
 *
 * @module
 */
import type { Clock, PermitQueue, TargetPolicy } from "@banyanlb/core";
import {
  AffinityPolicy,
  ConsistentHashPolicy,
  FairQueue,
  FifoQueue,
  LeastConnectionsPolicy,
  RandomPolicy,
} from "@banyanlb/policy";
import type { FullSettings } from "./settings.ts";

/** Creates the policy that selects a target for each request. `entryCount`
 * returns the number of live instances. */
export function createTargetPolicy(
  settings: FullSettings,
  options: { readonly clock: Clock; readonly entryCount: () => number },
): TargetPolicy {
  switch (settings.target_policy) {
    case "random":
      return new RandomPolicy();
    case "least_connections":
      return new LeastConnectionsPolicy();
    case "consistent_hash":
      return new ConsistentHashPolicy();
    default:
      return new AffinityPolicy({ region: settings.region, ...options });
  }
}

/** Returns a factory for the permit queues of owned targets. */
export function createQueueFactory(
  policy: FullSettings["queue_policy"],
): () => PermitQueue {
  return policy === "fifo" ? () => new FifoQueue() : () => new FairQueue();
}
