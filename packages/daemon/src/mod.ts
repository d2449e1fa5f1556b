/** The daemon process of an instance: serves callers, peers and operators.
 *
 * @module
 */
export {
  createOperatorRoot,
  OperatorBackend,
  type OperatorRouter,
} from "./operator/mod.ts";
export {
  createPeerLink,
  PeerConnection,
  type PeerConnectionOptions,
  PeerUnreachableError,
} from "./peer_connection.ts";
export type { InstanceRouter } from "./instance_router.ts";
export { Instance, type InstancePorts } from "./instance.ts";
export {
  formatFaults,
  type FullSettings,
  loadSettings,
  parseSettings,
  type SettingsFault,
} from "./settings.ts";
export type { Settings } from "./generated/settings.ts";
export { type SteeringAddress, type SteeringResponse } from "./steering.ts";
export type {
  EditsMessage,
  ObjectRow,
  ObjectsReply,
  OperatorRef,
  PublishFailure,
  PublishReply,
} from "./generated/operator_messages.ts";
export type { PeerContext } from "./trpc.ts";
