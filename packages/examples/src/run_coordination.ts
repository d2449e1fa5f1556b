/** Runs all examples one after another with one store.
 *
 * @module
 */
import type { Clock } from "@banyanlb/core";
import { showIntent } from "./intent_example.ts";
import { showLease } from "./lease_example.ts";
import { showOwnership } from "./ownership_example.ts";
import { showPublishedSet } from "./published_example.ts";
import { showRate } from "./rate_example.ts";
import { createExampleContext, type Print } from "./example_context.ts";

export type { Print } from "./example_context.ts";

/** Runs the examples and prints their results. Without `clock`, uses the
 * process's clock.
 *
 * @example
 * ```ts
 * await runCoordination((line) => console.log(line));
 * ```
 */
export async function runCoordination(
  print: Print,
  clock?: Clock,
): Promise<void> {
  const context = createExampleContext(print, clock);
  await showLease(context);
  await showOwnership(context);
  await showRate(context);
  await showIntent(context);
  await showPublishedSet(context);
  await context.store.close();
}
