/** Prints what a simulated fleet admits of a workspace's limit, and what the
 * limit costs callers below it.
 *
 * Usage, after a build: node scripts/rate_price.mjs
 */
import {
  admittedTable,
  priceTable,
} from "../packages/serving/dist/testing/rate_price.js";

console.log("Most units in a window, of those that the rule allows:");
console.log(admittedTable());
console.log("Steady state: used of the limit, and refused needlessly:");
console.log(priceTable());
