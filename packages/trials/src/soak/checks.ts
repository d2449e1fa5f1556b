/** Checks a soak from outside, by the responses that callers received and the
 * events that engines recorded.
 *
 * @module
 */
import {
  type EngineRecord,
  eventText,
  plainText,
  STREAM_EVENTS,
} from "@banyanlb/platform/stand_in";

import {
  checkWorkspaceLimits,
  isOverLimit,
  type WorkspaceLimits,
} from "./limit_checks.ts";
import { checkCrashingRequests } from "./crash_checks.ts";
import { mostWithin } from "./most_within.ts";
import {
  checkColdEngines,
  checkEvacuations,
  type EvacuationSpan,
} from "./place_checks.ts";

import { checkStreamVersions } from "./version_checks.ts";

/** Kind of a request, which decides how the gateways may repeat it. */
export type RequestKind = "stream" | "once" | "read";

/** One request of a caller and its response. */
export interface Attempt {
  readonly id: string;
  readonly kind: RequestKind;
  readonly workspace: string;
  readonly model: string | undefined;
  /** Times as in `Date.now`, in milliseconds. */
  readonly sentAt: number;
  readonly endedAt: number;
  /** HTTP status; 0 if no response began. */
  readonly status: number;
  readonly responseId: string | undefined;
  readonly body: string;
  /** Whether the response ended without being cut off. */
  readonly complete: boolean;
  /** Whether the request or a part of its prompt crashes engines. */
  readonly isCrashing: boolean;
  /** Name of the request if it is one that is sent again and again. */
  readonly repeated?: string;
  /** The id of the attempt that began the stream, and how many of its events the
   * caller had, if this one goes on with it. */
  readonly resumes?: string | undefined;
  readonly eventsBefore?: number;
  /** The `Retry-After` header of the response, if it had one. */
  readonly retryAfter?: string | undefined;
  /** Whether the key was valid from the start of the attempt to its end. */
  readonly isKeyValid: boolean;
  /** When the caller gave up before the end of the response, if it did. */
  readonly leftAt?: number | undefined;
}

/** Observations of a soak, and the limits to check them against. */
export interface SoakObservations {
  readonly attempts: readonly Attempt[];
  readonly records: readonly EngineRecord[];
  /** Least time between orders of two instances to one engine, in
   * milliseconds. */
  readonly orderGapMs: number;
  /** Time as in `Date.now` from which requests must be served again. */
  readonly recoveredFromMs: number;
  /** Time as in `Date.now` from which no fault has been in effect for the time
   * in which instances must know of each other's crashes. */
  readonly calmFromMs: number;
  readonly limits: WorkspaceLimits;
  readonly evacuations: readonly EvacuationSpan[];
}

/** Statuses which guarantee that a request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Statuses that a well-formed request with a valid key must not receive. */
const DENIED: ReadonlySet<number> = new Set([400, 401, 403, 404]);

/** Ratio of the requests after the recovery that must be served. */
const MIN_SERVED_RATIO = 0.9;

/** From this time after so many crashes on, at most so many more requests with
 * the part may reach engines: the deployments' bound. */
const CRASHES_TO_LEARN = 5;
const LEARN_MS = 3000;
const LATE_CRASHES_MAX = 3;

/** From this time after an engine named a limit on, it may get in each window so
 * many times what the limit allows, and so many requests more: the deployments'
 * bound. */
const LIMIT_HEEDED_AFTER_MS = 3000;
const LIMIT_WINDOW_MS = 4000;
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;

/** From this time after their callers left, at most so many requests may reach
 * engines. */
const LEFT_MS = 500;
const LATE_RUNS_MAX = 3;

/** Returns a description of each violation; none if all guarantees held.
 *
 * @example
 * ```ts
 * const observations = { attempts, records, limits, evacuations, orderGapMs };
 * checkSoak({ ...observations, recoveredFromMs: 0, calmFromMs: 0 }); // []
 * ```
 */
export function checkSoak(observations: SoakObservations): readonly string[] {
  return [
    ...observations.attempts.flatMap(checkResponse),
    ...checkExecutions(observations),
    ...checkOrders(observations),
    ...checkRecovery(observations),
    ...checkCrashes(observations),
    ...checkCrashingRequests(observations),
    ...checkLimits(observations),
    ...checkWorkspaceLimits(observations),
    ...checkLeft(observations),
    ...checkStreamVersions(observations.attempts),
    ...checkEvacuations(observations),
    ...checkColdEngines(observations),
  ];
}

function checkResponse(attempt: Attempt): readonly string[] {
  const { id, kind, status, complete, body, responseId, isKeyValid } = attempt;
  const { eventsBefore = 0 } = attempt;
  const errors: string[] = [];
  if (DENIED.has(status) && isKeyValid) errors.push(`denied with ${status}`);
  if (status !== 200) return errors.map((text) => `${kind} ${id}: ${text}`);
  if (responseId !== id) errors.push(`has the answer of ${responseId}`);
  const texts = [...body.matchAll(/^data: (.*)$/gm)].map((m) => m[1] ?? "");
  if (kind === "stream") {
    const index = texts.findIndex((text, i) =>
      text !== eventText(id, eventsBefore + i + 1)
    );
    if (index >= 0) errors.push(`event ${index + 1} is ${texts[index]}`);
    if (complete && eventsBefore + texts.length !== STREAM_EVENTS) {
      errors.push(`ended as complete after ${texts.length} events`);
    }
  } else if (complete && body !== plainText(id)) {
    errors.push(`has the body ${JSON.stringify(body.slice(0, 60))}`);
  }
  return errors.map((text) => `${kind} ${id}: ${text}`);
}

function checkExecutions(
  { attempts, records }: SoakObservations,
): readonly string[] {
  const byId = new Map(attempts.map((a) => [a.id, a]));
  const runCounts = new Map<string, number>();
  const errors: string[] = [];
  for (const record of records) {
    if (record.t !== "run") continue;
    const attempt = byId.get(record.id);
    if (attempt === undefined) {
      errors.push(`an engine ran ${record.id}, which nobody sent`);
      continue;
    }
    runCounts.set(record.id, (runCounts.get(record.id) ?? 0) + 1);
    if (record.sawKey) errors.push(`an engine saw the key of ${record.id}`);
    if (record.workspace !== attempt.workspace) {
      errors.push(`${record.id} ran for ${record.workspace}`);
    }
    if (record.model !== attempt.model) {
      errors.push(`${record.id} ran on ${record.model}`);
    }
  }
  for (const { id, kind, status } of attempts) {
    const count = runCounts.get(id) ?? 0;
    if (kind === "once" && count > 1) errors.push(`${id} ran ${count} times`);
    if (kind === "once" && count > 0 && NOT_RUN.has(status)) {
      errors.push(`${id} was refused with ${status} and ran`);
    }
  }
  return errors;
}

function checkOrders(
  { records, orderGapMs }: SoakObservations,
): readonly string[] {
  const errors: string[] = [];
  const lastOrders = new Map<string, Extract<EngineRecord, { t: "order" }>>();
  for (const record of records) {
    if (record.t === "start") lastOrders.delete(record.engine);
    if (record.t === "overfilled") {
      errors.push(`${record.engine} was ordered to load more than it holds`);
    }
    if (record.t !== "order") continue;
    const { engine, holder, fence, at } = record;
    const previous = lastOrders.get(engine);
    lastOrders.set(engine, record);
    if (previous === undefined) continue;
    if (fence < previous.fence) {
      errors.push(
        `${engine}: fence ${fence} of ${holder} ${at - previous.at} ms after ` +
          `${previous.fence} of ${previous.holder}, at ${at}`,
      );
    }
    if (holder === previous.holder) continue;
    if (fence === previous.fence) {
      errors.push(`${engine}: ${holder} and ${previous.holder} share a fence`);
    }
    if (at - previous.at < orderGapMs) {
      errors.push(
        `${engine}: ${holder} ordered ${at - previous.at} ms after ` +
          previous.holder,
      );
    }
  }
  return errors;
}

/** Checks that an engine which names a limit gets no more requests than that, of
 * all instances together. */
function checkLimits(
  { records, calmFromMs }: SoakObservations,
): readonly string[] {
  return records.flatMap((named) => {
    if (named.t !== "limit" || named.perSecond === undefined) return [];
    const { engine, at, perSecond } = named;
    const fromMs = Math.max(calmFromMs, at) + LIMIT_HEEDED_AFTER_MS;
    const ends = records.find((r) =>
      r.t !== "run" && r.engine === engine && r.at > at &&
      (r.t === "limit" || r.t === "start")
    );
    const runs = records.flatMap((r) =>
      r.t === "run" && r.engine === engine && r.at >= fromMs &&
        r.at < (ends?.at ?? Infinity)
        ? [r.at]
        : []
    );
    const allowed = LIMIT_FACTOR * perSecond * LIMIT_WINDOW_MS / 1000 +
      LIMIT_SLACK;
    const most = mostWithin(runs, LIMIT_WINDOW_MS);
    return most <= allowed ? [] : [
      `${engine} named a limit of ${perSecond} and ran ${most} requests in ` +
      `${LIMIT_WINDOW_MS} ms`,
    ];
  });
}

/** Checks that requests with a part that crashes engines stop reaching them. */
function checkCrashes(
  { records, calmFromMs }: SoakObservations,
): readonly string[] {
  const crashTimes = records.flatMap((record) =>
    record.t === "run" && record.isCrashing ? [record.at] : []
  ).sort((a, b) => a - b);
  const learntFromMs = (crashTimes[CRASHES_TO_LEARN - 1] ?? Infinity) +
    LEARN_MS;
  const boundFromMs = Math.max(calmFromMs, learntFromMs);
  const late = crashTimes.filter((at) => at > boundFromMs).length;
  return late <= LATE_CRASHES_MAX ? [] : [
    `${late} of ${crashTimes.length} requests with a crashing part ran after ` +
    `${boundFromMs}`,
  ];
}

/** Checks that few requests reach engines after their callers left. */
function checkLeft(
  { attempts, records, calmFromMs }: SoakObservations,
): readonly string[] {
  const leftAtById = new Map(
    attempts.filter((a) => a.sentAt >= calmFromMs)
      .map((a) => [a.id, a.leftAt ?? Infinity]),
  );
  const late = records.flatMap((record) => {
    if (record.t !== "run") return [];
    const afterMs = record.at - (leftAtById.get(record.id) ?? Infinity);
    return afterMs > LEFT_MS
      ? [`${record.id} on ${record.engine} after ${afterMs} ms`]
      : [];
  });
  return late.length <= LATE_RUNS_MAX
    ? []
    : [`${late.length} runs after the callers had left: ${late.join(", ")}`];
}

/** Whether an attempt shows whether requests are served: its caller waited, and
 * it is proper and within all limits. */
export function countsForRecovery(
  attempt: Attempt,
  limits: WorkspaceLimits,
): boolean {
  const { isKeyValid, isCrashing, leftAt } = attempt;
  return isKeyValid && !isCrashing && leftAt === undefined &&
    !isOverLimit(attempt, limits);
}

function checkRecovery(
  { attempts, recoveredFromMs, limits }: SoakObservations,
): readonly string[] {
  const lateAttempts = attempts.filter((a) =>
    a.sentAt >= recoveredFromMs && countsForRecovery(a, limits)
  );
  const served =
    lateAttempts.filter((a) => a.status === 200 && a.complete).length;
  if (
    lateAttempts.length > 0 && served >= lateAttempts.length * MIN_SERVED_RATIO
  ) return [];
  return [
    `${served} of ${lateAttempts.length} requests served after the faults`,
  ];
}
