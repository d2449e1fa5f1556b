/** All mutations by name.
 *
 * @module
 */
import { at_most_once_mutations } from "./at_most_once.ts";
import { configuration_mutations } from "./configuration.ts";
import { graceful_shutdown_mutations } from "./graceful_shutdown.ts";
import { isolation_mutations } from "./isolation.ts";
import { leaving_target_mutations } from "./leaving_target.ts";
import type { Mutation } from "./mutation.ts";
import { ownership_mutations } from "./ownership.ts";
import { rate_and_burst_mutations } from "./rate_and_burst.ts";
import { right_adapter_mutations } from "./right_adapter.ts";
import { whole_answers_mutations } from "./whole_answers.ts";
import { store_outage_mutations } from "./store_outage.ts";
import { withdrawn_key_mutations } from "./withdrawn_key.ts";

/** All mutations. */
export const mutations: readonly Mutation[] = [
  ...at_most_once_mutations,
  ...rate_and_burst_mutations,
  ...right_adapter_mutations,
  ...whole_answers_mutations,
  ...withdrawn_key_mutations,
  ...store_outage_mutations,
  ...configuration_mutations,
  ...leaving_target_mutations,
  ...graceful_shutdown_mutations,
  ...isolation_mutations,
  ...ownership_mutations,
];

/** Returns the mutation of a name. Throws if there is none. */
export function findMutation(name: string): Mutation {
  const found = mutations.find((mutation) => mutation.name === name);
  if (found !== undefined) return found;
  const names = mutations.map((mutation) => mutation.name).join(", ");
  throw new Error(`no mutation ${name}; one of ${names}`);
}
