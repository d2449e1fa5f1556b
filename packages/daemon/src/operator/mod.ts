/** The operator interface of an instance.
 *
 * @module
 */
export { OperatorBackend } from "./backend.ts";
export {
  createOperatorRoot,
  createOperatorRouter,
  type OperatorRouter,
} from "./router.ts";
