/** Judges a soak from outside: what callers got, and what engines saw.
 *
 * @module
 */
import {
  type EngineRecord,
  eventText,
  plainText,
  STREAM_EVENTS,
} from "@banyanlb/platform/stand_in";

/** How a request may be repeated. */
export type RequestKind = "stream" | "once" | "read";

/** One attempt of a caller. */
export interface Attempt {
  readonly id: string;
  readonly kind: RequestKind;
  readonly workspace: string;
  readonly model: string | undefined;
  /** Times of the day, in milliseconds. */
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 if no answer began. */
  readonly status: number;
  readonly answerId: string | undefined;
  readonly body: string;
  /** Whether the answer ended as a complete one. */
  readonly complete: boolean;
  /** Whether the key was in force for the whole attempt. */
  readonly keyHeld: boolean;
}

/** What a soak yields. */
export interface Observed {
  readonly attempts: readonly Attempt[];
  readonly records: readonly EngineRecord[];
  /** The least time between orders of two instances to one engine. */
  readonly orderGapMs: number;
  /** From when on everything should be served again. */
  readonly calmFrom: number;
}

/** Statuses that say: not run, and never will be. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Refusals that a proper request with a valid key must not get. */
const DENIED: ReadonlySet<number> = new Set([400, 401, 403, 404]);

/** Part of the requests of the calm end that must be served. */
const CALM_SERVED = 0.9;

/** What was broken, in words; nothing if all promises held.
 *
 * @example
 * ```ts
 * judgeSoak({ attempts, records, orderGapMs: 1000, calmFrom: 0 }); // []
 * ```
 */
export function judgeSoak(observed: Observed): readonly string[] {
  return [
    ...observed.attempts.flatMap(judgeAnswer),
    ...judgeRuns(observed),
    ...judgeOrders(observed),
    ...judgeCalm(observed),
  ];
}

function judgeAnswer(attempt: Attempt): readonly string[] {
  const { id, kind, status, complete, body, answerId, keyHeld } = attempt;
  const found: string[] = [];
  if (DENIED.has(status) && keyHeld) found.push(`denied with ${status}`);
  if (status !== 200) return found.map((text) => `${kind} ${id}: ${text}`);
  if (answerId !== id) found.push(`has the answer of ${answerId}`);
  const texts = [...body.matchAll(/^data: (.*)$/gm)].map((m) => m[1] ?? "");
  if (kind === "stream") {
    const broken = texts.findIndex((text, i) => text !== eventText(id, i + 1));
    if (broken >= 0) found.push(`event ${broken + 1} is ${texts[broken]}`);
    if (complete && texts.length !== STREAM_EVENTS) {
      found.push(`ended as complete after ${texts.length} events`);
    }
  } else if (complete && body !== plainText(id)) {
    found.push(`has the body ${JSON.stringify(body.slice(0, 60))}`);
  }
  return found.map((text) => `${kind} ${id}: ${text}`);
}

function judgeRuns({ attempts, records }: Observed): readonly string[] {
  const byId = new Map(attempts.map((a) => [a.id, a]));
  const runs = new Map<string, number>();
  const found: string[] = [];
  for (const record of records) {
    if (record.t !== "run") continue;
    const attempt = byId.get(record.id);
    if (attempt === undefined) {
      found.push(`an engine ran ${record.id}, which nobody sent`);
      continue;
    }
    runs.set(record.id, (runs.get(record.id) ?? 0) + 1);
    if (record.sawKey) found.push(`an engine saw the key of ${record.id}`);
    if (record.workspace !== attempt.workspace) {
      found.push(`${record.id} ran for ${record.workspace}`);
    }
    if (record.model !== attempt.model) {
      found.push(`${record.id} ran on ${record.model}`);
    }
  }
  for (const { id, kind, status } of attempts) {
    const count = runs.get(id) ?? 0;
    if (kind === "once" && count > 1) found.push(`${id} ran ${count} times`);
    if (kind === "once" && count > 0 && NOT_RUN.has(status)) {
      found.push(`${id} was refused with ${status} and ran`);
    }
  }
  return found;
}

function judgeOrders({ records, orderGapMs }: Observed): readonly string[] {
  const found: string[] = [];
  const last = new Map<string, Extract<EngineRecord, { t: "order" }>>();
  for (const record of records) {
    if (record.t === "start") last.delete(record.engine);
    if (record.t === "overfilled") {
      found.push(`${record.engine} was ordered to load more than it holds`);
    }
    if (record.t !== "order") continue;
    const { engine, holder, fence, at } = record;
    const before = last.get(engine);
    last.set(engine, record);
    if (before === undefined) continue;
    if (fence < before.fence) {
      found.push(
        `${engine}: fence ${fence} of ${holder} ${at - before.at} ms after ` +
          `${before.fence} of ${before.holder}, at ${at}`,
      );
    }
    if (holder === before.holder) continue;
    if (fence === before.fence) {
      found.push(`${engine}: ${holder} and ${before.holder} share a fence`);
    }
    if (at - before.at < orderGapMs) {
      found.push(
        `${engine}: ${holder} ordered ${at - before.at} ms after ` +
          before.holder,
      );
    }
  }
  return found;
}

function judgeCalm({ attempts, calmFrom }: Observed): readonly string[] {
  const calm = attempts.filter((a) => a.sentAt >= calmFrom && a.keyHeld);
  const served = calm.filter((a) => a.status === 200 && a.complete).length;
  if (calm.length > 0 && served >= calm.length * CALM_SERVED) return [];
  return [`${served} of ${calm.length} requests served after the faults`];
}
