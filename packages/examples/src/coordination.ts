/** Entry point of `npm run example`: runs the coordination examples one after
 * another in one process with an in-memory store.
 *
 * @module
 */
import { runCoordination } from "./run_coordination.ts";

await runCoordination((line) => console.log(line));
