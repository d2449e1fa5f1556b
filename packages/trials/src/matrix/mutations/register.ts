/** Registers the module hook that applies a mutation. Node.js loads this
 * module before a daemon starts.
 *
 * @module
 */
import { register } from "node:module";

register("./loader.js", import.meta.url);
