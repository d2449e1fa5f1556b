/** Sends a request to a target after checking the key, the permit, the token
 * reservation and the intent in the turn of the event loop in which the request
 * is written.
 *
 * @module
 */
import { Refusal, type Target } from "@banyanlb/core";
import type { EntryPermit } from "@banyanlb/permits";
import type { Reservation } from "@banyanlb/rate";
import type { Result } from "neverthrow";
import type { Caller } from "./admission.ts";
import type { RequestScope } from "./request_scope.ts";
import { requireSnapshot, type ServeContext } from "./serve_context.ts";
import type {
  TargetCall,
  TargetFailure,
  TargetResponse,
} from "./target_client.ts";

/** The rights without which a request must not be sent to a target. Each right
 * can expire or be withdrawn before the request is sent. */
export interface RequestRights {
  readonly caller: Caller;
  readonly permit: EntryPermit;
  readonly reservation: Reservation;
  /** Whether the intent of the call still allows sending it. Absent for a call
   * without an intent. */
  readonly isIntentUsable?: () => boolean;
}

/** Thrown if a right expired before the request was sent. */
export class LapsedRightError extends Error {
  readonly reason: "permit" | "reservation" | "intent";

  constructor(reason: "permit" | "reservation" | "intent") {
    super(`the ${reason} lapsed before the request left; get a new one`);
    this.name = "LapsedRightError";
    this.reason = reason;
  }
}

/** Throws a {@linkcode Refusal} unless the request's key, if it has one, is
 * still valid. */
export function requireValidKey(ctx: ServeContext, caller: Caller): void {
  const snapshot = requireSnapshot(ctx);
  if (caller.key_sha256 === undefined) return;
  if (snapshot.keyBySha256(caller.key_sha256) !== undefined) return;
  throw new Refusal("key_withdrawn", {
    message: "the key was withdrawn while the request waited",
    not_run: true,
  });
}

/** Checks every right. Returns the milliseconds within which the request must
 * have ended under its permit.
 * Throws a {@linkcode Refusal} or a {@linkcode LapsedRightError}. */
function checkRights(ctx: ServeContext, rights: RequestRights): number {
  requireValidKey(ctx, rights.caller);
  if (!rights.reservation.isUsable()) throw new LapsedRightError("reservation");
  if (rights.isIntentUsable?.() === false) throw new LapsedRightError("intent");
  const permit_use = ctx.ledger.use(rights.permit.id);
  if (!permit_use.usable) throw new LapsedRightError("permit");
  return permit_use.remaining_ms;
}

/** Headers that the daemon adds to every request to a target. */
function createSystemHeaders(
  rights: RequestRights,
  options: {
    readonly request_id: string;
    readonly class: string;
    readonly remaining_ms: number;
  },
): Readonly<Record<string, string>> {
  return {
    "x-request-id": options.request_id,
    "x-workspace": rights.permit.workspace,
    "x-priority": options.class,
    "x-deadline-ms": String(Math.max(1, Math.floor(options.remaining_ms))),
    "x-fencing-epoch": String(rights.permit.epoch),
  };
}

/** Sends a request to a target. Checks its rights before a connection is chosen
 * or opened, and again in the turn in which the request is written. Throws a
 * {@linkcode Refusal} or a {@linkcode LapsedRightError} if a check fails; nothing
 * was sent then. */
export async function dispatch(
  ctx: ServeContext,
  rights: RequestRights,
  options: {
    readonly scope: RequestScope;
    readonly target: Target;
    readonly request_id: string;
    readonly class: string;
    readonly call: Omit<TargetCall, "signal" | "checkBeforeSend">;
    /** Aborts the call. Default: the scope's signal. */
    readonly signal?: AbortSignal;
  },
): Promise<Result<TargetResponse, TargetFailure>> {
  const { scope, target, call } = options;
  scope.signal.throwIfAborted();
  const remaining_ms = checkRights(ctx, rights);
  const headers = {
    ...call.headers,
    ...createSystemHeaders(rights, { ...options, remaining_ms }),
  };
  return await ctx.targets.send(target, {
    ...call,
    headers,
    signal: options.signal ?? scope.signal,
    checkBeforeSend: () => {
      scope.signal.throwIfAborted();
      checkRights(ctx, rights);
      scope.markSent();
    },
  });
}
