/** Faults of the object store.
 *
 * @module
 */
import type { StoreFaults } from "@banyanlb/standins";
import { type Fault, SimpleFault } from "./fault.ts";

const LOST_RESPONSES = 3;

/** A store fault that lasts longer than the lease term. */
function storeFault(
  name: string,
  options: { readonly set: StoreFaults; readonly lift: StoreFaults },
): Fault {
  return new SimpleFault({ name, hold_ms: 0 }, async (world) => {
    await world.cluster.store.setFaults(options.set);
    await world.sleep(world.longer_than_lease_ms);
    return () => world.cluster.store.setFaults(options.lift);
  });
}

/** Loses the responses to the next writes to objects of a kind; the writes take
 * effect. */
function loseResponses(kind: string): Fault {
  const count = LOST_RESPONSES;
  return storeFault(`lost_answer_${kind}`, {
    set: { lose_answer_next: { count, kind } },
    lift: { lose_answer_next: { count: 0 } },
  });
}

/** Outages, delays and lost responses of the store. */
export const store_faults: readonly Fault[] = [
  storeFault("store_refuses", {
    set: { outage: "refuse" },
    lift: { outage: "none" },
  }),
  storeFault("store_hangs", {
    set: { outage: "hang" },
    lift: { outage: "none" },
  }),
  storeFault("store_slow", {
    set: { delay_ms: 1_500 },
    lift: { delay_ms: 0 },
  }),
  storeFault("store_answers_slowly", {
    set: { answer_delay_ms: 1_500 },
    lift: { answer_delay_ms: 0 },
  }),
  ...["intent", "session", "fleet", "manifest"].map(loseResponses),
];
