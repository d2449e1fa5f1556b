/** Policies that choose targets and order queues.
 *
 * @module
 */
export type { AffinityOptions } from "./affinity_policy.ts";
export { AffinityPolicy } from "./affinity_policy.ts";
export {
  ConsistentHashPolicy,
  LeastConnectionsPolicy,
  RandomPolicy,
} from "./baselines.ts";
export { FairQueue } from "./fair_queue.ts";
export { FifoQueue } from "./fifo_queue.ts";
