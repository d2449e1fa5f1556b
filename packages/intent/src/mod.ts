/** Intent records, which let a call that must not be repeated be sent at most
 * once.
 *
 * @module
 */
export { RECORDED_BODY_MAX_BYTES, RETENTION_MS } from "./constants.ts";
export * from "./events.ts";
export type {
  IntentError,
  IntentStoreUnavailableError,
  KeyReusedError,
} from "./intent_error.ts";
export {
  type AlreadyTakenCall,
  IntentLog,
  type IntentLogDeps,
  type IntentOutcome,
  type ReplayedCall,
  type TakeRequest,
} from "./intent_log.ts";
export type { IntentKey, IntentResponse } from "./intent_record.ts";
export type { SweepReport } from "./intent_sweeper.ts";
export { TakenIntent } from "./taken_intent.ts";
