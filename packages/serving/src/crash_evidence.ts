/** Infers which part of a prompt crashes engines.
 *
 * A crash ends everything that an engine runs, so it names every request whose
 * answer had not got past its beginning, most of them sound. Such a request is
 * a suspect. Two things separate the cause from its neighbours: it is a suspect
 * of more than one crash, and no answer gets past its beginning on it.
 *
 * @module
 */

import { fitPrompts, type SharedParts } from "./select_parts.ts";

/** How many answers on a part got past their beginning at one instance: before
 * the first crash of which the part was a suspect, and since. Both saturate. */
export type AnswerCounts = readonly [before: number, since: number];

/** What speaks for and against a part. */
export interface PartEvidence {
  readonly crashes: number;
  readonly answers: number;
}

/** A part that explains crashes. */
export interface Explanation {
  readonly part: string;
  /** Keys of the engines whose crashes it explains. */
  readonly engines: readonly string[];
}

/** How long a crash counts, in milliseconds. */
export const EVIDENCE_MS = 60_000;

/** Crashes less answers from which a part counts as the cause. One crash is no
 * evidence against a single part: engines also end for other reasons. */
export const CONVICTION_BALANCE = 2;

/** The balance from which a part is the cause although another one, on other
 * requests, has the same. Below it the next crash tells them apart. */
const UNDECIDED_BALANCE_MAX = 4;

/** Upper limit of the answers before the first crash that count for a part, of
 * all instances together: a part may begin to crash engines, for example after
 * a new version of their software. */
const ANSWERS_BEFORE_MAX = 4;

/** Upper limit of the answers since the first crash that one instance counts
 * for a part: as many as there may be crashes. */
const ANSWERS_SINCE_MAX = 64;

/** Bounds of the tables. A crash that no other one resembles is no evidence, so
 * the parts of a single crash are dropped before those of several. */
const ANSWERED_PARTS_MAX = 16_384;
const CRASHES_MAX = 64;
const SUSPECT_PARTS_MAX = 65_536;
/** Number of parts that are kept when there are too many. */
const SUSPECT_PARTS_KEPT = 49_152;

/** Maximum number of parts that one instance reports of one crash, summed over
 * its suspects. */
const REPORTED_PARTS_MAX = 4096;

/** Maximum number of parts whose answers one instance reports. */
const REPORTED_ANSWERS_MAX = 1024;

const NO_ENGINES: ReadonlySet<string> = new Set();

interface Crash {
  readonly at: number;
  /** The suspects by the instance that sent them. */
  readonly suspects: Map<string, readonly SharedParts[]>;
  /** The parts of all suspects. */
  readonly parts: Set<string>;
}

interface Candidate {
  readonly part: string;
  readonly balance: number;
  /** Its last position in a prompt. */
  readonly depth: number;
  readonly engines: ReadonlySet<string>;
}

interface AnsweredPart {
  readonly count: number;
  readonly at: number;
}

interface SuspectedPart {
  /** Keys of the engines in whose crashes the part was a suspect. */
  readonly engines: Set<string>;
  /** Its last position in a prompt. */
  depth: number;
  /** Counts of this instance. */
  own: AnswerCounts;
  /** Counts of peers; undefined as long as there are none. */
  byPeer: Map<string, AnswerCounts> | undefined;
}

/** The crashes and answers that this instance and its peers have seen. */
export class CrashEvidence {
  readonly #self: string;
  /** Answers of this instance by part, the least recently used first. */
  readonly #answered = new Map<string, AnsweredPart>();
  readonly #crashes = new Map<string, Crash>();
  /** The parts of all suspects. */
  readonly #suspected = new Map<string, SuspectedPart>();
  /** The parts that are suspects of enough crashes to be their cause. */
  readonly #repeated = new Set<string>();
  /** Number of parts of each crash, summed over the crashes. */
  #partCount = 0;

  /** `self` is the name of this instance. */
  constructor(self: string) {
    this.#self = self;
  }

  /** Records that an answer of this instance got past its beginning. Returns
   * whether the evidence on a part has changed that may be the cause. */
  recordAnswer(parts: SharedParts, now: number): boolean {
    let isChanged = false;
    for (const part of parts) {
      const count = (this.#answered.get(part)?.count ?? 0) + 1;
      this.#answered.delete(part);
      this.#answered.set(part, { count, at: now });
      const suspected = this.#suspected.get(part);
      if (suspected === undefined) continue;
      const [before, since] = suspected.own;
      if (since >= ANSWERS_SINCE_MAX) continue;
      suspected.own = [before, since + 1];
      isChanged ||= this.#repeated.has(part);
    }
    for (const part of this.#answered.keys()) {
      if (this.#answered.size <= ANSWERED_PARTS_MAX) break;
      this.#answered.delete(part);
    }
    return isChanged;
  }

  /** Records the suspects that an instance had on an engine that crashed; they
   * replace those that it reported before.
   *
   * @example
   * ```ts
   * evidence.recordCrash("e1@7", { reporter: "i1", suspects: [["a"]], at });
   * ```
   */
  recordCrash(
    engineKey: string,
    report: {
      readonly reporter: string;
      readonly suspects: readonly SharedParts[];
      readonly at: number;
    },
  ): void {
    const { reporter, at } = report;
    const suspects = fitPrompts(
      report.suspects.filter((parts) => parts.length > 0),
      { maxParts: REPORTED_PARTS_MAX, rank: (part) => this.#rank(part) },
    );
    if (suspects.length === 0) return;
    let crash = this.#crashes.get(engineKey);
    if (crash === undefined) {
      crash = { at, suspects: new Map(), parts: new Set() };
      this.#crashes.set(engineKey, crash);
      this.#dropOldCrashes(at);
    }
    crash.suspects.set(reporter, suspects);
    const { parts: known } = crash;
    const countBefore = known.size;
    for (const parts of suspects) {
      parts.forEach((part, depth) => {
        known.add(part);
        const suspected = this.#suspectedPart(part, at);
        suspected.engines.add(engineKey);
        suspected.depth = Math.max(suspected.depth, depth);
        if (suspected.engines.size >= CONVICTION_BALANCE) {
          this.#repeated.add(part);
        }
      });
    }
    this.#partCount += known.size - countBefore;
    this.#dropSurplusParts();
  }

  /** Records the answers on a suspected part that a peer has counted. */
  recordPeerAnswers(peer: string, part: string, counts: AnswerCounts): void {
    const suspected = this.#suspected.get(part);
    if (suspected === undefined) return;
    suspected.byPeer ??= new Map();
    suspected.byPeer.set(peer, counts);
  }

  /** The answers of this instance on suspected parts that have any; on those of
   * several crashes first, since a bounded number is reported. */
  *ownAnswers(): Iterable<readonly [part: string, counts: AnswerCounts]> {
    let room = REPORTED_ANSWERS_MAX;
    for (const part of this.#mostSuspectedFirst()) {
      const own = this.#suspected.get(part)?.own;
      if (own === undefined || own[0] + own[1] === 0) continue;
      if (room === 0) return;
      yield [part, own];
      room -= 1;
    }
  }

  /** The suspected parts, those of several crashes first. */
  *#mostSuspectedFirst(): Iterable<string> {
    yield* this.#repeated;
    for (const part of this.#suspected.keys()) {
      if (!this.#repeated.has(part)) yield part;
    }
  }

  /** The suspects of this instance in crashes after `since`, by engine. */
  *ownCrashes(since: number): Iterable<
    readonly [
      engineKey: string,
      crash: { readonly at: number; readonly suspects: readonly SharedParts[] },
    ]
  > {
    for (const [key, { at, suspects }] of this.#crashes) {
      const own = suspects.get(this.#self);
      if (at > since && own !== undefined) yield [key, { at, suspects: own }];
    }
  }

  /** When the first crash after `time` was seen; Infinity if there is none. */
  firstCrashAfter(time: number): number {
    let firstAt = Infinity;
    for (const { at } of this.#crashes.values()) {
      if (at > time) firstAt = Math.min(firstAt, at);
    }
    return firstAt;
  }

  /** When the last crash of which the part is a suspect was seen; undefined if
   * there is none. */
  lastCrashAt(part: string): number | undefined {
    let lastAt: number | undefined;
    for (const key of this.#suspected.get(part)?.engines ?? NO_ENGINES) {
      const at = this.#crashes.get(key)?.at ?? -Infinity;
      if (at > (lastAt ?? -Infinity)) lastAt = at;
    }
    return lastAt;
  }

  /** What speaks for and against a part, without the crashes of the engines in
   * `leftOut`. */
  evidenceOn(
    part: string,
    leftOut: ReadonlySet<string> = NO_ENGINES,
  ): PartEvidence {
    let crashes = 0;
    for (const key of this.#suspected.get(part)?.engines ?? NO_ENGINES) {
      if (!leftOut.has(key)) crashes += 1;
    }
    return { crashes, answers: this.#answersOn(part) };
  }

  /** The fewest parts that explain the crashes.
   *
   * Repeatedly takes the part with the highest balance of crashes less answers,
   * and leaves out the crashes that it explains, so that its neighbours are not
   * blamed for them. Of parts with the same balance the most specific one is
   * taken: one whose requests carry all the others, since these begin the
   * prompts of other requests too.
   *
   * Each answer cancels a crash, so a part that always crashes engines is taken
   * after its second crash, and one that is merely popular never is.
   *
   * Crashes after `settledAt` are left out: other instances have yet to report
   * their suspects, and the cause may be one of those. */
  explain(now: number, settledAt: number): readonly Explanation[] {
    this.#dropOldCrashes(now);
    const leftOut = new Set<string>();
    for (const [key, { at }] of this.#crashes) {
      if (at > settledAt) leftOut.add(key);
    }
    const explanations: Explanation[] = [];
    for (;;) {
      const best = this.#bestCandidate(leftOut);
      if (best === undefined) return explanations;
      const engines = [...best.engines];
      for (const key of engines) leftOut.add(key);
      explanations.push({ part: best.part, engines });
    }
  }

  /** Whether no other part explains the same crashes as well. All parts of a
   * single request that was repeated explain them alike. */
  isDistinct({ part, engines }: Explanation): boolean {
    for (const other of this.#repeated) {
      const crashed = this.#suspected.get(other)?.engines ?? NO_ENGINES;
      if (
        other !== part && engines.every((key) => crashed.has(key)) &&
        engines.length - this.#answersOn(other) >= CONVICTION_BALANCE
      ) return false;
    }
    return true;
  }

  /** The part that best explains the crashes; undefined if there is none, or
   * if the evidence does not tell it apart from a part of other requests. */
  #bestCandidate(leftOut: ReadonlySet<string>): Candidate | undefined {
    const candidates = this.#candidates(leftOut);
    return candidates.find((candidate) => {
      const carrying = this.#requestsWith(candidate);
      return candidates.every((other) =>
        other.balance < candidate.balance ||
        !overlaps(candidate.engines, other.engines) ||
        carrying.every((parts) => parts.includes(other.part))
      );
    }) ?? candidates.find(({ balance }) => balance >= UNDECIDED_BALANCE_MAX);
  }

  /** The parts with enough evidence against them: by balance, then the most
   * specific first. */
  #candidates(leftOut: ReadonlySet<string>): readonly Candidate[] {
    const candidates: Candidate[] = [];
    for (const part of this.#repeated) {
      const suspected = this.#suspected.get(part);
      if (suspected === undefined) continue;
      const engines = new Set(
        [...suspected.engines].filter((key) => !leftOut.has(key)),
      );
      const balance = engines.size - this.#answersOn(part);
      if (balance < CONVICTION_BALANCE) continue;
      candidates.push({ part, balance, depth: suspected.depth, engines });
    }
    // Instances that know the same evidence must come to the same result.
    return candidates.sort((a, b) =>
      b.balance - a.balance || b.depth - a.depth || (a.part < b.part ? -1 : 1)
    );
  }

  /** The suspects with a part, in the crashes that it would explain. */
  #requestsWith({ part, engines }: Candidate): readonly SharedParts[] {
    return [...engines].flatMap((key) => [
      ...(this.#crashes.get(key)?.suspects.values() ?? []),
    ]).flat().filter((parts) => parts.includes(part));
  }

  /** The entry of a suspected part; a new one counts the answers of before. */
  #suspectedPart(part: string, now: number): SuspectedPart {
    const existing = this.#suspected.get(part);
    if (existing !== undefined) return existing;
    const answered = this.#answered.get(part);
    const before = answered !== undefined && now - answered.at < EVIDENCE_MS
      ? Math.min(answered.count, ANSWERS_BEFORE_MAX)
      : 0;
    const suspected: SuspectedPart = {
      engines: new Set(),
      depth: 0,
      own: [before, 0],
      byPeer: undefined,
    };
    this.#suspected.set(part, suspected);
    return suspected;
  }

  #answersOn(part: string): number {
    const suspected = this.#suspected.get(part);
    if (suspected === undefined) return 0;
    let [before, since] = suspected.own;
    for (const [peerBefore, peerSince] of suspected.byPeer?.values() ?? []) {
      before += peerBefore;
      since += peerSince;
    }
    return Math.min(before, ANSWERS_BEFORE_MAX) + since;
  }

  /** The lower, the more likely a part is the cause: suspects of other crashes
   * come first, then parts on which this instance had no answers. */
  #rank(part: string): number {
    if (this.#suspected.has(part)) return 0;
    return this.#answered.has(part) ? 2 : 1;
  }

  #dropOldCrashes(now: number): void {
    for (const [key, { at }] of this.#crashes) {
      const isOld = now - at > EVIDENCE_MS;
      if (isOld || this.#crashes.size > CRASHES_MAX) this.#dropCrash(key);
    }
  }

  /** Drops the parts that only one crash has, of the oldest crashes first; whole
   * crashes if that is not enough. */
  #dropSurplusParts(): void {
    if (this.#partCount <= SUSPECT_PARTS_MAX) return;
    for (const [key, crash] of this.#crashes) {
      if (this.#partCount <= SUSPECT_PARTS_KEPT) return;
      this.#reduceCrash(key, crash);
    }
    for (const key of this.#crashes.keys()) {
      if (this.#partCount <= SUSPECT_PARTS_KEPT) return;
      this.#dropCrash(key);
    }
  }

  #reduceCrash(engineKey: string, { suspects, parts }: Crash): void {
    const isRepeated = (part: string) => this.#repeated.has(part);
    for (const part of parts) {
      if (isRepeated(part)) continue;
      parts.delete(part);
      this.#partCount -= 1;
      this.#removeEngine(part, engineKey);
    }
    for (const [reporter, list] of suspects) {
      suspects.set(reporter, list.map((parts) => parts.filter(isRepeated)));
    }
  }

  #dropCrash(engineKey: string): void {
    const crash = this.#crashes.get(engineKey);
    if (crash === undefined) return;
    this.#crashes.delete(engineKey);
    this.#partCount -= crash.parts.size;
    for (const part of crash.parts) this.#removeEngine(part, engineKey);
  }

  #removeEngine(part: string, engineKey: string): void {
    const engines = this.#suspected.get(part)?.engines;
    if (engines === undefined) return;
    engines.delete(engineKey);
    if (engines.size < CONVICTION_BALANCE) this.#repeated.delete(part);
    if (engines.size === 0) this.#suspected.delete(part);
  }
}

function overlaps(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  for (const value of a) if (b.has(value)) return true;
  return false;
}
