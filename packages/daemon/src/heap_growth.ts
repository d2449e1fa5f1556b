/** Limit on the garbage that accumulates in the process's heap.
 *
 * @module
 */
import { setFlagsFromString } from "node:v8";

/** Heap growth at which the next full collection starts, in percent of the heap
 * in use after the previous collection. */
const HEAP_GROWING_PERCENT = 30;

/** Makes full garbage collections start early, so that reading a large
 * configuration leaves little garbage in memory. Unlike a limit on the heap
 * size, this setting never terminates the process. Call it at startup, before
 * large allocations. */
export function limitHeapGrowth(): void {
  setFlagsFromString(`--heap-growing-percent=${HEAP_GROWING_PERCENT}`);
}
