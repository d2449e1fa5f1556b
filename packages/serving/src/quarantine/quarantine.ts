/** Keeps what crashes engines away from the engines.
 *
 * Every instance draws its conclusions from the same evidence, its own and that
 * of its peers, and holds the suspects that peers hold. A held suspect is tried
 * again by one request of one instance at a time, a few times at most, and is
 * released when that request is answered, when the evidence no longer speaks
 * against it, or when nobody has asked for it for long.
 *
 * @module
 */
import {
  type AnswerCounts,
  CONVICTION_BALANCE,
  CrashEvidence,
  type Explanation,
  type SuspectEvidence,
} from "./crash_evidence.ts";
import type { ServingInstances } from "../member_table.ts";
import type { ReportRow } from "../report_row.ts";
import type {
  CrashReport,
  HoldRecord,
  PeerReport,
  QuarantineReport,
} from "./quarantine_records.ts";
import type { Suspects } from "./select_suspects.ts";
import { isRequestKey } from "./request_key.ts";
import {
  hasTrialTurn,
  nextTrialAt,
  TRIALS_MAX,
  trialsUsedBy,
} from "./trial_turn.ts";

/** A held suspect that nobody has asked for is released after this time, in
 * milliseconds. A released one is remembered as long, so that a peer that has
 * not heard of the release does not bring the hold back. */
export const IDLE_RELEASE_MS = 600_000;

/** Time within which engines that have crashed are back, in milliseconds. */
const ENGINE_RETURN_MS = 5000;

/** Maximum number of suspects that are held or were released. */
const HOLDS_MAX = 256;

/** Time for which a crash is reported to peers, in milliseconds: several
 * digests, since single ones may be lost. */
const REPORT_CRASHES_MS = 6000;

/** Number of answers on a suspect up to which each one is reported to peers. */
const REPORTED_SINGLY_MAX = 8;

/** Why a suspect was held or released. */
export type HoldReason = "evidence" | "peer" | "store";
export type ReleaseReason = "evidence" | "trial" | "idle" | "peer";

/** Why a request is refused: one of its suspects is held. */
export interface HeldSuspect extends SuspectEvidence {
  readonly suspect: string;
  readonly trials: number;
  readonly heldMs: number;
  /** Time until it is due to be tried again, in milliseconds; null if it is not. */
  readonly trialInMs: number | null;
  readonly reason: HoldReason;
}

/** The decision on a request. */
export type SendDecision =
  | { readonly kind: "send" }
  /** Decide again after this time: crashes speak against a suspect, and the peers
   * have yet to report which other requests were cut off. */
  | { readonly kind: "wait"; readonly ms: number }
  /** Send it as the trial of this suspect, after `startTrial`. */
  | { readonly kind: "trial"; readonly suspect: string }
  | { readonly kind: "refuse"; readonly held: HeldSuspect };

/** Called when suspects are held or released, and when crashes are reported. */
export interface QuarantineListener {
  readonly onHold: (suspect: string, hold: HeldSuspect) => void;
  readonly onRelease: (suspect: string, reason: ReleaseReason) => void;
  /** Called when a peer reports that an engine has crashed. */
  readonly onPeerCrash?: (engineKey: string) => void;
}

interface Hold {
  revision: number;
  isHeld: boolean;
  /** Number of crashes that the suspect explained when it was held. */
  crashes: number;
  trials: number;
  changedAt: number;
  nextTrialAt: number;
  expiresAt: number;
  reason: HoldReason;
}

/** The suspects that are held at this instance. */
export class Quarantine {
  readonly #self: string;
  readonly #listener: QuarantineListener;
  readonly #settleMs: () => number;
  readonly #evidence: CrashEvidence;
  readonly #holds = new Map<string, Hold>();
  /** The suspects that explain the crashes of the last minute, and the keys of the
   * engines that crashed because of them, as far as no other suspect may be the
   * cause. */
  #causes: ReadonlySet<string> = new Set();
  #explainedEngines: ReadonlySet<string> = new Set();
  /** When a crash is settled, so that conclusions must be drawn again. */
  #concludeAt = Infinity;

  /** `self` is the name of this instance. `settleMs` is the time after which all
   * peers have reported their suspects in a crash. */
  constructor(
    self: string,
    options: QuarantineListener & { readonly settleMs: () => number },
  ) {
    this.#self = self;
    this.#listener = options;
    this.#settleMs = options.settleMs;
    this.#evidence = new CrashEvidence(self);
  }

  /** Number of suspects that are held. */
  get size(): number {
    let count = 0;
    for (const { isHeld } of this.#holds.values()) if (isHeld) count += 1;
    return count;
  }

  /** The suspects that are held, and why. */
  held(now: number): readonly HeldSuspect[] {
    return [...this.#holds].filter(([, hold]) => hold.isHeld)
      .map(([suspect]) => this.#heldSuspect(suspect, now));
  }

  /** Whether nothing is suspected and nothing was held lately, so that any
   * request may be sent. */
  get isEmpty(): boolean {
    return this.#holds.size === 0 && this.#evidence.isEmpty;
  }

  /** Decides whether a request with these suspects may be sent.
   *
   * @example
   * ```ts
   * const decision = quarantine.decide(guard.suspects, () => instances, now);
   * if (decision.kind === "refuse") refuse(503);
   * ```
   */
  decide(
    suspects: Suspects,
    instances: () => ServingInstances,
    now: number,
  ): SendDecision {
    if (now >= this.#concludeAt) this.#conclude(now);
    let trial: string | undefined;
    let waitMs = 0;
    for (const suspect of suspects) {
      const hold = this.#holds.get(suspect);
      if (hold === undefined || !hold.isHeld) {
        if (
          now < this.#concludeAt &&
          this.#isSuspected(suspect, this.#explainedEngines)
        ) {
          const settledAt = (this.#evidence.lastKnownAt(suspect) ?? 0) +
            this.#settleMs();
          waitMs = Math.max(waitMs, settledAt - now);
        }
        continue;
      }
      if (now >= hold.expiresAt) {
        this.#dropSurplus(now);
        continue;
      }
      hold.expiresAt = now + IDLE_RELEASE_MS;
      const mayTry = trial === undefined && now >= hold.nextTrialAt &&
        hasTrialTurn(this.#self, instances(), {
          suspect,
          dueMs: now - hold.nextTrialAt,
        });
      if (!mayTry) {
        return { kind: "refuse", held: this.#heldSuspect(suspect, now) };
      }
      trial = suspect;
    }
    if (waitMs > 0) return { kind: "wait", ms: waitMs };
    return trial === undefined
      ? { kind: "send" }
      : { kind: "trial", suspect: trial };
  }

  /** Whether an engine is known to have crashed lately. */
  hasCrashed(engineKey: string): boolean {
    return this.#evidence.hasCrash(engineKey);
  }

  /** For how long a request must not be sent to the last engine of a service, in
   * milliseconds; 0 if it may. One that was in a crash which neither another cause
   * explains nor its answers outweigh waits until engines are back. Its last
   * suspect is the request as a whole. */
  lastEngineWaitMs(suspects: Suspects, now: number): number {
    const request = suspects.at(-1);
    if (request === undefined) return 0;
    const { crashes, answers } = this.#evidence.evidenceOn(
      request,
      this.#explainedEngines,
    );
    if (crashes <= answers) return 0;
    const knownAt = this.#evidence.lastKnownAt(request) ?? -Infinity;
    return Math.max(0, knownAt + ENGINE_RETURN_MS - now);
  }

  /** Records that the trial of a held suspect is about to be sent. */
  startTrial(suspect: string, now: number): void {
    const hold = this.#holds.get(suspect);
    if (hold === undefined) return;
    hold.revision += 1;
    hold.trials += 1;
    hold.nextTrialAt = nextTrialAt(hold.trials, now);
  }

  /** Whether a request may be sent again after these engines cut it off before its
   * answer got past its beginning, the last one just now. Their crashes count
   * although they are not confirmed yet: a request whose suspect is the cause is
   * repeated once. */
  mayRepeat(suspects: Suspects, cutBy: readonly string[]): boolean {
    const unexplained = new Set(
      cutBy.filter((key, i) =>
        i === cutBy.length - 1 || !this.#explainedEngines.has(key)
      ),
    );
    const leftOut = new Set([...this.#explainedEngines, ...cutBy]);
    return suspects.every((suspect) => {
      const { crashes, answers } = this.#evidence.evidenceOn(suspect, leftOut);
      return crashes + unexplained.size - answers < CONVICTION_BALANCE;
    });
  }

  /** Records that an answer got past its beginning. `trial` is the suspect that the
   * request tried, if any. */
  recordAnswer(
    suspects: Suspects,
    options: { readonly trial: string | undefined; readonly now: number },
  ): void {
    const { trial, now } = options;
    if (this.#evidence.recordAnswer(suspects, now)) this.#conclude(now);
    const hold = trial === undefined ? undefined : this.#holds.get(trial);
    if (trial === undefined || hold?.isHeld !== true) return;
    // One answer does not outweigh several recent crashes.
    if (this.#causes.has(trial)) return;
    this.#release(trial, hold, { reason: "trial", now });
  }

  /** Records the requests of this instance on an engine that has crashed. It may
   * have begun to break them off before, at `at`. */
  recordCrash(
    engineKey: string,
    requests: readonly Suspects[],
    { at, now }: { readonly at: number; readonly now: number },
  ): void {
    this.#evidence.recordCrash(engineKey, {
      reporter: this.#self,
      requests,
      at,
      knownAt: now,
    });
    this.#conclude(now);
  }

  /** What speaks for and against a suspect, and whether it is held. */
  beliefOn(suspect: string): SuspectEvidence & { readonly isHeld: boolean } {
    const isHeld = this.#holds.get(suspect)?.isHeld === true;
    return { ...this.#evidence.evidenceOn(suspect), isHeld };
  }

  /** What peers are told. */
  report(now: number): QuarantineReport {
    this.#evidence.dropOldCrashes(now);
    if (now >= this.#concludeAt) this.#conclude(now);
    const crashes = [...this.#evidence.ownCrashes(now - REPORT_CRASHES_MS)].map(
      ([key, { at, knownAt, requests }]): ReportRow<CrashReport> => [
        key,
        requests.length,
        {
          ageMs: Math.round(now - at),
          knownMs: Math.round(now - knownAt),
          suspects: requests,
        },
      ],
    );
    const answers = [...this.#evidence.ownAnswers()].map(
      ([suspect, counts]): ReportRow<AnswerCounts> => [
        suspect,
        reportState(counts),
        counts,
      ],
    );
    return { crashes, answers, holds: this.holdRecords(now) };
  }

  /** Applies what a peer reports. */
  receive(peer: string, report: PeerReport, now: number): void {
    const { crashes = {}, answers = {}, holds = {} } = report;
    for (const [key, crash] of Object.entries(crashes)) {
      const { ageMs, knownMs = 0, suspects } = crash;
      const at = now - ageMs;
      this.#evidence.recordCrash(key, {
        reporter: peer,
        requests: suspects,
        at,
        knownAt: now - knownMs,
      });
    }
    for (const [suspect, counts] of Object.entries(answers)) {
      this.#evidence.recordPeerAnswers(peer, suspect, counts);
    }
    const isChanged = this.adopt(holds, "peer", now);
    // The listener may record more suspects of the crash, which concludes.
    for (const key of Object.keys(crashes)) this.#listener.onPeerCrash?.(key);
    // The peer may have held or released a suspect on older evidence.
    if (
      isChanged || report.crashes !== undefined || report.answers !== undefined
    ) this.#conclude(now);
  }

  /** The held and released suspects, as peers and the store exchange them, in the
   * order in which they are kept if there is no room for all. */
  holdRecords(now: number): readonly ReportRow<HoldRecord>[] {
    return this.#holdsToKeep().map(([suspect, hold]): ReportRow<HoldRecord> => [
      suspect,
      hold.revision,
      {
        revision: hold.revision,
        isHeld: hold.isHeld,
        crashes: hold.crashes,
        trials: hold.trials,
        ageMs: Math.round(now - hold.changedAt),
        trialInMs: timeUntil(hold.nextTrialAt, now),
        expiresInMs: Math.round(hold.expiresAt - now),
      },
    ]);
  }

  /** Adopts the records that are newer than those of this instance. Returns
   * whether there were any. */
  adopt(
    records: Readonly<Record<string, HoldRecord>>,
    source: "peer" | "store",
    now: number,
  ): boolean {
    let isChanged = false;
    for (const [suspect, record] of Object.entries(records)) {
      const current = this.#holds.get(suspect);
      // Whoever was asked for the suspect last decides when it expires.
      if (current?.revision === record.revision) {
        current.expiresAt = Math.max(
          current.expiresAt,
          now + Math.min(IDLE_RELEASE_MS, record.expiresInMs),
        );
      }
      const isNewer = current === undefined ||
        record.revision > current.revision ||
        (record.revision === current.revision && record.isHeld &&
          !current.isHeld);
      if (!isNewer || record.expiresInMs <= 0) continue;
      isChanged = true;
      const wasHeld = current?.isHeld === true;
      this.#holds.set(suspect, {
        revision: record.revision,
        isHeld: record.isHeld,
        crashes: record.crashes,
        trials: record.trials,
        changedAt: now - record.ageMs,
        nextTrialAt: record.trialInMs === null
          ? Infinity
          : now + record.trialInMs,
        expiresAt: now + Math.min(IDLE_RELEASE_MS, record.expiresInMs),
        reason: source,
      });
      if (record.isHeld && !wasHeld) {
        this.#listener.onHold(suspect, this.#heldSuspect(suspect, now));
      } else if (!record.isHeld && wasHeld) {
        this.#listener.onRelease(suspect, "peer");
      }
    }
    this.#dropSurplus(now);
    return isChanged;
  }

  /** Holds the suspects that explain the crashes, and releases those that the same
   * evidence, now complete, no longer speaks against. */
  #conclude(now: number): void {
    const settleMs = this.#settleMs();
    const explanations = this.#evidence.explain(now, now - settleMs);
    this.#concludeAt = this.#evidence.firstKnownAfter(now - settleMs) +
      settleMs;
    this.#causes = new Set(explanations.map(({ suspect }) => suspect));
    this.#explainedEngines = new Set(
      explanations.filter((e) => this.#evidence.isDistinct(e))
        .flatMap(({ engines }) => engines),
    );
    for (const [suspect, hold] of this.#holds) {
      if (!hold.isHeld || this.#causes.has(suspect)) continue;
      // Without all the evidence of the hold there is nothing to conclude.
      const { crashes } = this.#evidence.evidenceOn(suspect);
      if (crashes < hold.crashes) continue;
      const related = this.#evidence.relatedTo(suspect, explanations);
      const explained = new Set([
        ...isRequestKey(suspect) ? [] : this.#explainedEngines,
        ...related.flatMap(({ engines }) => engines),
      ]);
      if (this.#isSuspected(suspect, explained)) continue;
      this.#release(suspect, hold, { reason: "evidence", now });
    }
    for (const explanation of explanations) this.#hold(explanation, now);
  }

  /** Whether crashes of other engines than the `explained` ones speak against a
   * suspect. */
  #isSuspected(suspect: string, explained: ReadonlySet<string>): boolean {
    const { crashes, answers } = this.#evidence.evidenceOn(suspect, explained);
    return crashes - answers >= CONVICTION_BALANCE;
  }

  #hold(
    { suspect, engines, isShared = false }: Explanation,
    now: number,
  ): void {
    const current = this.#holds.get(suspect);
    if (current?.isHeld === true) return;
    // A suspect that is held again has used up the trials of before.
    const trials = Math.max(
      current?.trials ?? 0,
      trialsUsedBy(engines.length),
    );
    this.#holds.set(suspect, {
      revision: (current?.revision ?? 0) + 1,
      isHeld: true,
      crashes: engines.length,
      trials,
      changedAt: now,
      nextTrialAt: trials >= TRIALS_MAX
        ? Infinity
        : nextTrialAt(current?.trials ?? 0, now, { isShared }),
      expiresAt: now + IDLE_RELEASE_MS,
      reason: "evidence",
    });
    this.#listener.onHold(suspect, this.#heldSuspect(suspect, now));
    this.#dropSurplus(now);
  }

  #release(
    suspect: string,
    hold: Hold,
    options: { readonly reason: ReleaseReason; readonly now: number },
  ): void {
    hold.isHeld = false;
    hold.revision += 1;
    hold.changedAt = options.now;
    hold.expiresAt = options.now + IDLE_RELEASE_MS;
    this.#listener.onRelease(suspect, options.reason);
  }

  #heldSuspect(suspect: string, now: number): HeldSuspect {
    const hold = this.#holds.get(suspect);
    const { crashes, answers } = this.#evidence.evidenceOn(suspect);
    return {
      suspect,
      crashes: Math.max(crashes, hold?.crashes ?? 0),
      answers,
      trials: hold?.trials ?? 0,
      heldMs: Math.round(now - (hold?.changedAt ?? now)),
      trialInMs: timeUntil(hold?.nextTrialAt ?? Infinity, now),
      reason: hold?.reason ?? "evidence",
    };
  }

  /** Drops records that have expired, and if there are too many those of released
   * suspects and then those that expire first. */
  #dropSurplus(now: number): void {
    for (const [suspect, hold] of this.#holds) {
      if (now >= hold.expiresAt) this.#drop(suspect, hold);
    }
    for (const [suspect, hold] of this.#holdsToKeep().slice(HOLDS_MAX)) {
      this.#drop(suspect, hold);
    }
  }

  /** All records: those of held suspects first, then those that expire last. */
  #holdsToKeep(): readonly (readonly [suspect: string, hold: Hold])[] {
    return [...this.#holds].sort(([, a], [, b]) =>
      Number(b.isHeld) - Number(a.isHeld) || b.expiresAt - a.expiresAt
    );
  }

  #drop(suspect: string, hold: Hold): void {
    if (hold.isHeld) this.#listener.onRelease(suspect, "idle");
    this.#holds.delete(suspect);
  }
}

function timeUntil(time: number, now: number): number | null {
  return time === Infinity ? null : Math.round(time - now);
}

/** Changes with each of the first answers, then less and less often, so that the
 * answers on a popular suspect are not reported in each digest. */
function reportState([before, since]: AnswerCounts): number {
  const total = before + since;
  return total < REPORTED_SINGLY_MAX
    ? total
    : REPORTED_SINGLY_MAX + Math.floor(total / REPORTED_SINGLY_MAX);
}
