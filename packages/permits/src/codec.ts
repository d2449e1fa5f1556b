/** Encodes messages about permits for the wire and decodes them.
 *
 * @module
 */
import {
  createValidator,
  type LoadHint,
  type Validator,
  type Violation,
} from "@banyanlb/core";
import type { Result } from "neverthrow";
import {
  permit_messages_schema,
  type WireAsk,
  type WireHandoff,
  type WireHeldPermit,
  type WireHint,
  type WireRelease,
  type WireReleaseAck,
  type WireReleaseBatch,
  type WireReply,
  type WireReport,
  type WireReportAsk,
} from "./generated/permit_messages.ts";
import type {
  HeldPermit,
  PermitAcquireRequest,
  PermitRefusalKind,
  PermitRelease,
  PermitReply,
  ReleaseOutcome,
  ReportRequest,
  TargetHandoff,
} from "./types.ts";

/** Releases that one session sends together. */
export interface ReleaseBatch {
  readonly session: string;
  readonly releases: readonly PermitRelease[];
}

type Decoded<T> = Result<T, readonly Violation[]>;

const REFUSAL_CODES = {
  busy: "b",
  not_owner: "n",
  leaving: "l",
  load_failed: "f",
  unavailable: "u",
} as const satisfies Readonly<Record<PermitRefusalKind, string>>;

const OUTCOME_CODES = {
  canceled: "c",
  failed: "f",
  not_loaded: "m",
  unused: "u",
} as const satisfies Readonly<
  Record<Exclude<ReleaseOutcome, "done">, string>
>;

const REFUSAL_KINDS = invert<PermitRefusalKind>(REFUSAL_CODES);
const OUTCOMES = invert<ReleaseOutcome>(OUTCOME_CODES);

const validateAcquireRequest = validatorOf<WireAsk>("ask");
const validateReply = validatorOf<WireReply>("reply");
const validateReleaseBatch = validatorOf<WireReleaseBatch>("release_batch");
const validateReleaseAck = validatorOf<WireReleaseAck>("release_ack");
const validateReportRequest = validatorOf<WireReportAsk>("report_ask");
const validateReport = validatorOf<WireReport>("report");
const validateHandoff = validatorOf<WireHandoff>("handoff");

/** Encodes a permit request.
 *
 * @example
 * ```ts
 * decodeAcquireRequest(encodeAcquireRequest(request)).isOk(); // true
 * ```
 */
export function encodeAcquireRequest(request: PermitAcquireRequest): WireAsk {
  return {
    i: request.id,
    s: request.session,
    t: request.target,
    ...optional("v", request.version),
    w: request.workspace,
    ...optional("g", request.weight === 1 ? undefined : request.weight),
    ...(request.class === "batch" ? { b: 1 as const } : {}),
    k: request.tokens,
    d: Math.floor(request.deadline_ms),
    ...optional("q", request.wait_ms),
    ...optional("e", request.epoch),
    ...optional("r", request.releases?.map(encodeRelease)),
  };
}

/** Decodes a permit request. */
export function decodeAcquireRequest(
  value: unknown,
): Decoded<PermitAcquireRequest> {
  return validateAcquireRequest(value).map((wire) => ({
    id: wire.i,
    session: wire.s,
    target: wire.t,
    version: wire.v,
    workspace: wire.w,
    weight: wire.g ?? 1,
    class: wire.b === 1 ? "batch" : "interactive",
    tokens: wire.k,
    deadline_ms: wire.d,
    ...optional("wait_ms", wire.q),
    ...optional("epoch", wire.e),
    ...optional("releases", wire.r?.map(decodeRelease)),
  }));
}

/** Encodes a reply. The permit's id is left out: it is that of the request. */
export function encodeReply(reply: PermitReply): WireReply {
  const common = {
    ...optional("e", reply.epoch),
    ...optional("h", reply.hint && encodeHint(reply.hint)),
    ...optional("x", reply.untaken),
  };
  if (reply.kind === "granted") {
    return {
      o: "g",
      d: Math.floor(reply.deadline_ms),
      u: Math.floor(reply.use_within_ms),
      ...common,
    };
  }
  const code = REFUSAL_CODES[reply.kind];
  return { o: code, r: Math.ceil(reply.retry_after_ms), ...common };
}

/** Decodes the reply to the permit request with the id `request_id`. */
export function decodeReply(
  value: unknown,
  request_id: string,
): Decoded<PermitReply> {
  return validateReply(value).map((wire) => {
    const common = {
      ...optional("hint", wire.h && decodeHint(wire.h)),
      ...optional("untaken", wire.x),
    };
    if (wire.o === "g") {
      return {
        kind: "granted",
        permit_id: request_id,
        epoch: wire.e ?? 0,
        deadline_ms: wire.d ?? 0,
        use_within_ms: wire.u ?? 0,
        ...common,
      };
    }
    return {
      kind: REFUSAL_KINDS[wire.o]!,
      retry_after_ms: wire.r ?? 0,
      ...optional("epoch", wire.e),
      ...common,
    };
  });
}

/** Encodes a batch of releases. */
export function encodeReleaseBatch(batch: ReleaseBatch): WireReleaseBatch {
  return { s: batch.session, r: batch.releases.map(encodeRelease) };
}

/** Decodes a batch of releases. */
export function decodeReleaseBatch(value: unknown): Decoded<ReleaseBatch> {
  return validateReleaseBatch(value).map((wire) => ({
    session: wire.s,
    releases: wire.r.map(decodeRelease),
  }));
}

/** Encodes the ids of the releases that an owner did not process. */
export function encodeReleaseAck(untaken: readonly string[]): WireReleaseAck {
  return untaken.length === 0 ? {} : { x: untaken };
}

/** Decodes the ids of the releases that an owner did not process. */
export function decodeReleaseAck(value: unknown): Decoded<readonly string[]> {
  return validateReleaseAck(value).map((wire) => wire.x ?? []);
}

/** Encodes a new owner's report request. */
export function encodeReportRequest(request: ReportRequest): WireReportAsk {
  return { t: request.target, e: request.epoch };
}

/** Decodes a new owner's report request. */
export function decodeReportRequest(value: unknown): Decoded<ReportRequest> {
  return validateReportRequest(value).map((wire) => ({
    target: wire.t,
    epoch: wire.e,
  }));
}

/** Encodes an entry's report of its permits in use. */
export function encodeReport(permits: readonly HeldPermit[]): WireReport {
  return { p: permits.map(encodeHeldPermit) };
}

/** Decodes an entry's report of its permits in use. */
export function decodeReport(value: unknown): Decoded<readonly HeldPermit[]> {
  return validateReport(value).map((wire) => wire.p.map(decodeHeldPermit));
}

/** Encodes a handoff. */
export function encodeHandoff(handoff: TargetHandoff): WireHandoff {
  return {
    t: handoff.target,
    e: handoff.epoch,
    p: handoff.permits.map(encodeHeldPermit),
    l: handoff.loaded,
    x: handoff.versions_in_doubt,
    m: handoff.unreported_sessions,
  };
}

/** Decodes a handoff. */
export function decodeHandoff(value: unknown): Decoded<TargetHandoff> {
  return validateHandoff(value).map((wire) => ({
    target: wire.t,
    epoch: wire.e,
    permits: wire.p.map(decodeHeldPermit),
    loaded: wire.l,
    versions_in_doubt: wire.x,
    unreported_sessions: wire.m ?? [],
  }));
}

function encodeRelease(release: PermitRelease): WireRelease {
  const code = release.outcome === "done"
    ? undefined
    : OUTCOME_CODES[release.outcome];
  return {
    i: release.id,
    t: release.target,
    ...optional("o", code),
    ...optional("k", release.tokens),
  };
}

function decodeRelease(wire: WireRelease): PermitRelease {
  return {
    id: wire.i,
    target: wire.t,
    outcome: wire.o === undefined ? "done" : OUTCOMES[wire.o]!,
    ...optional("tokens", wire.k),
  };
}

/** Encodes a permit. Rounds the remaining time up, because a permit may safely
 * expire too late but not too early. */
function encodeHeldPermit(permit: HeldPermit): WireHeldPermit {
  return {
    i: permit.id,
    s: permit.session,
    ...optional("v", permit.version),
    w: permit.workspace,
    k: permit.tokens,
    d: Math.ceil(permit.remaining_ms),
  };
}

function decodeHeldPermit(wire: WireHeldPermit): HeldPermit {
  return {
    id: wire.i,
    session: wire.s,
    version: wire.v,
    workspace: wire.w,
    tokens: wire.k,
    remaining_ms: wire.d,
  };
}

function encodeHint(hint: LoadHint): WireHint {
  return [
    hint.running,
    hint.max_running,
    hint.waiting,
    Number(hint.loaded),
    Number(hint.has_available_slot),
  ];
}

function decodeHint(wire: WireHint): LoadHint {
  const [running, max_running, waiting, loaded, available_slot] = wire;
  return {
    running,
    max_running,
    waiting,
    loaded: loaded === 1,
    has_available_slot: available_slot === 1,
  };
}

function optional<K extends string, V>(
  name: K,
  value: V | undefined,
): { readonly [P in K]?: V } {
  if (value === undefined) return {};
  return { [name]: value } as { readonly [P in K]: V };
}

function invert<K extends string>(
  codes: Readonly<Partial<Record<K, string>>>,
): Readonly<Record<string, K>> {
  const pairs = Object.entries(codes) as [K, string][];
  return Object.fromEntries(pairs.map(([kind, code]) => [code, kind]));
}

function validatorOf<T>(definition: string): Validator<T> {
  return createValidator<T>(permit_messages_schema, definition);
}
