/** What instances tell each other, and keep in the store, of what crashes engines.
 *
 * @module
 */
import type { ReportRow } from "../report_row.ts";
import type { AnswerCounts } from "./crash_evidence.ts";
import type { Suspects } from "./select_suspects.ts";

/** A hold as peers and the store exchange it. Of two, the one with the higher
 * revision is newer. */
export interface HoldRecord {
  readonly revision: number;
  readonly isHeld: boolean;
  readonly crashes: number;
  readonly trials: number;
  /** Time since the suspect was held or released, in milliseconds. */
  readonly ageMs: number;
  /** Time until the next trial, in milliseconds; null if there is none. */
  readonly trialInMs: number | null;
  /** Time until the record is dropped, in milliseconds. */
  readonly expiresInMs: number;
}

/** What an instance reports to its peers. */
export interface QuarantineReport {
  /** Suspects of the reporter by the key of the engine that crashed. */
  readonly crashes: readonly ReportRow<CrashReport>[];
  readonly answers: readonly ReportRow<AnswerCounts>[];
  readonly holds: readonly ReportRow<HoldRecord>[];
}

/** The suspects of one instance in one crash. */
export interface CrashReport {
  /** Time since the engine began to break requests off, in milliseconds. */
  readonly ageMs: number;
  /** Time since the reporter knew of the crash, in milliseconds; older builds do
   * not say it. */
  readonly knownMs?: number;
  readonly suspects: readonly Suspects[];
}

/** The values that a peer has reported, by name. */
export interface PeerReport {
  readonly crashes?: Readonly<Record<string, CrashReport>>;
  readonly answers?: Readonly<Record<string, AnswerCounts>>;
  readonly holds?: Readonly<Record<string, HoldRecord>>;
}

/** A record that was made `ageMs` ago.
 *
 * @example
 * ```ts
 * quarantine.adopt({ suspect: agedHold(record, 300) }, "peer", now);
 * ```
 */
export function agedHold(hold: HoldRecord, ageMs: number): HoldRecord {
  const { trialInMs } = hold;
  return {
    ...hold,
    ageMs: hold.ageMs + ageMs,
    trialInMs: trialInMs === null ? null : trialInMs - ageMs,
    expiresInMs: hold.expiresInMs - ageMs,
  };
}
