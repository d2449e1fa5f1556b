/** The state of an attempt that is in progress.
 *
 * @module
 */
import type { EngineView } from "@banyanlb/serving";
import type { AttemptSettler } from "../attempt_outcome.ts";
import type { EngineRequest } from "../engine_connections.ts";
import type { Handover } from "./handover.ts";

/** An attempt that is in progress. */
export interface RunningAttempt {
  readonly view: EngineView;
  readonly request: EngineRequest;
  readonly startedAt: number;
  readonly settle: AttemptSettler;
  /** The engine that had the request when the attempt began, if one had. */
  readonly rival: EngineView | undefined;
  /** The last hand-over of the request to another engine. */
  handover: Handover | undefined;
  /** Whether the engine's bytes are kept back, since another engine has the
   * request as well. */
  isHeld: boolean;
  /** Goes on after a hand-over that has failed. */
  onResume: () => void;
  /** Whether another engine may keep the request. */
  isContested: boolean;
  /** Whether another engine loads the request's adapter. */
  isLoading: boolean;
  /** Called when a further engine could be asked, since this one sends
   * nothing. */
  onSilent: () => void;
  /** Called when the engine has begun an answer that can be forwarded. */
  onAccepted: () => void;
}
