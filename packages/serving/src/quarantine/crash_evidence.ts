/** Infers which suspect crashes engines.
 *
 * A crash ends everything that an engine runs, so it names every request whose
 * answer had not got past its beginning, most of them sound. What such a request
 * consists of is suspected. Two things separate the cause from its neighbours: it
 * is in more than one crash, and no answer gets past its beginning on it.
 *
 * @module
 */

import { isRequestKey } from "./request_key.ts";
import { fitRequests, type Suspects } from "./select_suspects.ts";

/** How many answers on a suspect got past their beginning at one instance: before
 * its first crash, and since. Both saturate. */
export type AnswerCounts = readonly [before: number, since: number];

/** What speaks for and against a suspect: crashes, and the weight of answers. */
export interface SuspectEvidence {
  readonly crashes: number;
  readonly answers: number;
}

/** A suspect that explains crashes. */
export interface Explanation {
  readonly suspect: string;
  /** Keys of the engines whose crashes it explains. */
  readonly engines: readonly string[];
  /** Whether a request explains them that may be sound: another one was on the
   * same engines as often. */
  readonly isShared?: boolean;
}

/** How long a crash counts, in milliseconds. */
export const EVIDENCE_MS = 60_000;

/** Crashes less answers from which a suspect counts as the cause. One crash is no
 * evidence against a single suspect: engines also end for other reasons. */
export const CONVICTION_BALANCE = 2;

/** The balance from which a whole request is a cause whatever else explains its
 * crashes: only its own repeats share it. */
const REQUEST_BALANCE_MAX = 3;

/** The balance from which a suspect is the cause although another one, on other
 * requests, has the same. Below it the next crash tells them apart. */
const UNDECIDED_BALANCE_MAX = 4;

/** Upper limit of the answers before the first crash that count for a suspect, of
 * all instances together: a suspect may begin to crash engines, for example after
 * a new version of their software. */
const ANSWERS_BEFORE_MAX = 4;

/** Upper limit of the answers since the first crash that one instance counts
 * for a suspect: as many as there may be crashes. */
const ANSWERS_SINCE_MAX = 64;

/** Weight of an answer on a whole request since its first crash: it ran as a whole,
 * while an answer on a part says little of the part in other prompts. */
const REQUEST_ANSWER_WEIGHT = 3;

/** Bounds of the tables. A crash that no other one resembles is no evidence, so
 * the suspects of a single crash are dropped before those of several. */
const ANSWERED_SUSPECTS_MAX = 16_384;
const CRASHES_MAX = 64;
const SUSPECTS_MAX = 65_536;
/** Number of suspects that are kept when there are too many. */
const SUSPECTS_KEPT = 49_152;

/** Maximum number of suspects that one instance reports of one crash, summed over
 * its requests. */
const REPORTED_SUSPECTS_MAX = 4096;

/** Maximum number of suspects whose answers one instance reports. */
const REPORTED_ANSWERS_MAX = 1024;

const NO_ENGINES: ReadonlySet<string> = new Set();
const NO_SUSPECTS: ReadonlySet<string> = new Set();

interface Crash {
  /** When the engine began to break requests off. */
  readonly at: number;
  /** When the first instance knew that the engine had crashed. */
  knownAt: number;
  /** The requests by the instance that sent them. */
  readonly requests: Map<string, readonly Suspects[]>;
  /** The suspects of all requests. */
  readonly suspects: Set<string>;
}

interface Candidate {
  readonly suspect: string;
  readonly balance: number;
  /** Its last position in a prompt. */
  readonly depth: number;
  readonly engines: ReadonlySet<string>;
}

interface AnsweredSuspect {
  readonly count: number;
  readonly at: number;
}

interface SuspectEntry {
  /** Keys of the engines in whose crashes it was. */
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
  /** Answers of this instance by what was asked, the least recently used first.
   * Whole requests, of which most come once, take no places of parts. */
  readonly #answeredParts = new Map<string, AnsweredSuspect>();
  readonly #answeredRequests = new Map<string, AnsweredSuspect>();
  readonly #crashes = new Map<string, Crash>();
  /** The suspects of all requests. */
  readonly #suspected = new Map<string, SuspectEntry>();
  /** The suspects that were in enough crashes to be their cause. */
  readonly #repeated = new Set<string>();
  /** Number of suspects of each crash, summed over the crashes. */
  #suspectCount = 0;
  /** When the last prompt was answered. */
  #promptAnsweredAt = -Infinity;

  /** `self` is the name of this instance. */
  constructor(self: string) {
    this.#self = self;
  }

  /** Whether no crash is known. */
  get isEmpty(): boolean {
    return this.#crashes.size === 0;
  }

  /** Whether a crash of this engine is known. */
  hasCrash(engineKey: string): boolean {
    return this.#crashes.has(engineKey);
  }

  /** Drops the crashes that no longer count. */
  dropOldCrashes(now: number): void {
    for (const [key, { at }] of this.#crashes) {
      const isOld = now - at > EVIDENCE_MS;
      if (isOld || this.#crashes.size > CRASHES_MAX) this.#dropCrash(key);
    }
  }

  /** Records that an answer of this instance got past its beginning. Returns
   * whether the evidence on a suspect has changed that may be the cause. */
  recordAnswer(suspects: Suspects, now: number): boolean {
    let isChanged = false;
    if (isPrompt(suspects)) this.#promptAnsweredAt = now;
    for (const suspect of suspects) {
      const answered = this.#answeredLike(suspect);
      const count = (answered.get(suspect)?.count ?? 0) + 1;
      answered.delete(suspect);
      answered.set(suspect, { count, at: now });
      const suspected = this.#suspected.get(suspect);
      if (suspected === undefined) continue;
      const [before, since] = suspected.own;
      if (since >= ANSWERS_SINCE_MAX) continue;
      suspected.own = [before, since + 1];
      isChanged ||= this.#repeated.has(suspect);
    }
    for (const answered of [this.#answeredParts, this.#answeredRequests]) {
      for (const suspect of answered.keys()) {
        if (answered.size <= ANSWERED_SUSPECTS_MAX) break;
        answered.delete(suspect);
      }
    }
    return isChanged;
  }

  /** Records the requests that an instance had on an engine that crashed; they
   * replace those that it reported before.
   *
   * @example
   * ```ts
   * evidence.recordCrash("e1@7", {
   *   reporter: "i1",
   *   requests: [["a"]],
   *   at: now - 1500,
   *   knownAt: now,
   * });
   * ```
   */
  recordCrash(
    engineKey: string,
    report: {
      readonly reporter: string;
      readonly requests: readonly Suspects[];
      /** When the engine began to break requests off. */
      readonly at: number;
      /** When the reporter knew that it had crashed, `at` if omitted. */
      readonly knownAt?: number;
    },
  ): void {
    const { reporter, at, knownAt = at } = report;
    const requests = fitRequests(
      report.requests.filter((suspects) => suspects.length > 0),
      {
        maxSuspects: REPORTED_SUSPECTS_MAX,
        rank: (suspect) => this.#rank(suspect),
      },
    );
    if (requests.length === 0) return;
    let crash = this.#crashes.get(engineKey);
    if (crash === undefined) {
      crash = { at, knownAt, requests: new Map(), suspects: new Set() };
      this.#crashes.set(engineKey, crash);
      this.dropOldCrashes(at);
    }
    crash.knownAt = Math.min(crash.knownAt, knownAt);
    crash.requests.set(reporter, requests);
    const { suspects: known } = crash;
    const countBefore = known.size;
    for (const suspects of requests) {
      suspects.forEach((suspect, depth) => {
        known.add(suspect);
        const suspected = this.#entryOf(suspect, at);
        suspected.engines.add(engineKey);
        suspected.depth = Math.max(suspected.depth, depth);
        if (suspected.engines.size >= CONVICTION_BALANCE) {
          this.#repeated.add(suspect);
        }
      });
    }
    this.#suspectCount += known.size - countBefore;
    this.#dropSurplusSuspects();
  }

  /** Records the answers on a suspect that a peer has counted. */
  recordPeerAnswers(peer: string, suspect: string, counts: AnswerCounts): void {
    const suspected = this.#suspected.get(suspect);
    if (suspected === undefined) return;
    suspected.byPeer ??= new Map();
    suspected.byPeer.set(peer, counts);
  }

  /** The answers of this instance on suspects that have any; on those of several
   * crashes first, since a bounded number is reported. */
  *ownAnswers(): Iterable<readonly [suspect: string, counts: AnswerCounts]> {
    let room = REPORTED_ANSWERS_MAX;
    for (const suspect of this.#mostSuspectedFirst()) {
      const own = this.#suspected.get(suspect)?.own;
      if (own === undefined || own[0] + own[1] === 0) continue;
      if (room === 0) return;
      yield [suspect, own];
      room -= 1;
    }
  }

  /** The suspects, those of several crashes first. */
  *#mostSuspectedFirst(): Iterable<string> {
    yield* this.#repeated;
    for (const suspect of this.#suspected.keys()) {
      if (!this.#repeated.has(suspect)) yield suspect;
    }
  }

  /** The requests of this instance in crashes that were not known at `since`, by
   * engine. */
  *ownCrashes(since: number): Iterable<
    readonly [
      engineKey: string,
      crash: Pick<Crash, "at" | "knownAt"> & {
        readonly requests: readonly Suspects[];
      },
    ]
  > {
    for (const [key, { at, knownAt, requests }] of this.#crashes) {
      const own = requests.get(this.#self);
      if (knownAt > since && own !== undefined) {
        yield [key, { at, knownAt, requests: own }];
      }
    }
  }

  /** When the first crash that was not known at `time` was; Infinity if there is
   * none. */
  firstKnownAfter(time: number): number {
    let firstAt = Infinity;
    for (const { knownAt } of this.#crashes.values()) {
      if (knownAt > time) firstAt = Math.min(firstAt, knownAt);
    }
    return firstAt;
  }

  /** When the suspect's last crash was known; undefined if there is none. */
  lastKnownAt(suspect: string): number | undefined {
    let lastAt: number | undefined;
    for (const key of this.#suspected.get(suspect)?.engines ?? NO_ENGINES) {
      const knownAt = this.#crashes.get(key)?.knownAt ?? -Infinity;
      if (knownAt > (lastAt ?? -Infinity)) lastAt = knownAt;
    }
    return lastAt;
  }

  /** What speaks for and against a suspect, without the crashes of the engines in
   * `leftOut`. */
  evidenceOn(
    suspect: string,
    leftOut: ReadonlySet<string> = NO_ENGINES,
  ): SuspectEvidence {
    let crashes = 0;
    for (const key of this.#suspected.get(suspect)?.engines ?? NO_ENGINES) {
      if (!leftOut.has(key)) crashes += 1;
    }
    return { crashes, answers: this.#answersOn(suspect) };
  }

  /** The fewest suspects that explain the crashes.
   *
   * Repeatedly takes the suspect with the highest balance of crashes less answers,
   * and leaves out the crashes that it explains, so that its neighbours are not
   * blamed for them. Of suspects with the same balance the most specific one is
   * taken: one whose requests carry all the others, since these begin the
   * prompts of other requests too.
   *
   * Each answer cancels a crash, so a suspect that always crashes engines is taken
   * after its second crash, and one that is merely popular never is.
   *
   * Whole requests with three crashes are taken besides, whatever explains those.
   *
   * Crashes that were not known at `settledAt` are left out: other instances have
   * yet to report their requests, and the cause may be one of those. */
  explain(now: number, settledAt: number): readonly Explanation[] {
    this.dropOldCrashes(now);
    if (this.#repeated.size === 0) return [];
    const leftOut = new Set<string>();
    for (const [key, { knownAt }] of this.#crashes) {
      if (knownAt > settledAt) leftOut.add(key);
    }
    const shared = this.#isAnyPromptAnswered(now)
      ? NO_SUSPECTS
      : this.#sharedByAll();
    const requests = this.#candidates(leftOut).filter(({ suspect, balance }) =>
      isRequestKey(suspect) && balance >= REQUEST_BALANCE_MAX
    );
    const explanations: Explanation[] = [];
    for (;;) {
      const best = this.#bestCandidate(leftOut, shared);
      if (best === undefined) break;
      const engines = [...best.engines];
      for (const key of engines) leftOut.add(key);
      explanations.push({ suspect: best.suspect, engines });
    }
    return addRequests(explanations, requests);
  }

  /** The explanations of a suspect's crashes by what contains it or is contained in
   * it: those of other requests on the same engines say nothing of it. */
  relatedTo(
    suspect: string,
    explanations: readonly Explanation[],
  ): readonly Explanation[] {
    const crashed = this.#suspected.get(suspect)?.engines ?? NO_ENGINES;
    return explanations.filter((explanation) => {
      const engines = explanation.engines.filter((key) => crashed.has(key));
      const requests = engines.flatMap((key) => [
        ...this.#crashes.get(key)?.requests.values() ?? [],
      ]).flat();
      const isIn = (inner: string, outer: string) =>
        requests.every((suspects) =>
          !suspects.includes(outer) || suspects.includes(inner)
        );
      return isIn(suspect, explanation.suspect) ||
        isIn(explanation.suspect, suspect);
    });
  }

  /** Whether no other suspect explains the same crashes as well. All suspects of a
   * single request that was repeated explain them alike. */
  isDistinct({ suspect, engines }: Explanation): boolean {
    for (const other of this.#repeated) {
      const crashed = this.#suspected.get(other)?.engines ?? NO_ENGINES;
      if (
        other !== suspect && engines.every((key) => crashed.has(key)) &&
        engines.length - this.#answersOn(other) >= CONVICTION_BALANCE
      ) return false;
    }
    return true;
  }

  /** The suspect that best explains the crashes; undefined if there is none, or
   * if the evidence does not tell it apart from a suspect of other requests. */
  #bestCandidate(
    leftOut: ReadonlySet<string>,
    shared: ReadonlySet<string>,
  ): Candidate | undefined {
    const candidates = this.#candidates(leftOut)
      .filter(({ suspect }) => !shared.has(suspect));
    return candidates.find((candidate) => {
      const carrying = this.#requestsWith(candidate);
      return candidates.every((other) =>
        other.balance < candidate.balance ||
        !overlaps(candidate.engines, other.engines) ||
        carrying.every((suspects) => suspects.includes(other.suspect))
      );
    }) ?? candidates.find(({ balance }) => balance >= UNDECIDED_BALANCE_MAX);
  }

  /** Whether a prompt was answered lately, by this instance or a peer. */
  #isAnyPromptAnswered(now: number): boolean {
    if (now - this.#promptAnsweredAt <= EVIDENCE_MS) return true;
    for (const suspect of this.#suspected.keys()) {
      if (!isRequestKey(suspect) && this.#answersOn(suspect) > 0) return true;
    }
    return false;
  }

  /** The parts of all prompts that were cut off. As long as no prompt is answered,
   * nothing tells such a part from engines that end by themselves. Where older
   * builds do not name whole requests, nothing tells it from one that is
   * repeated, either, and it counts. */
  #sharedByAll(): ReadonlySet<string> {
    const prompts = [...this.#crashes.values()]
      .flatMap(({ requests }) => [...requests.values()]).flat()
      .filter(isPrompt);
    const [first = []] = prompts;
    if (!prompts.every((suspects) => suspects.some(isRequestKey))) {
      return NO_SUSPECTS;
    }
    return new Set(
      first.filter((suspect) =>
        !isRequestKey(suspect) &&
        prompts.every((suspects) => suspects.includes(suspect))
      ),
    );
  }

  /** The suspects with enough evidence against them: by balance, then the most
   * specific first. */
  #candidates(leftOut: ReadonlySet<string>): readonly Candidate[] {
    const candidates: Candidate[] = [];
    for (const suspect of this.#repeated) {
      const suspected = this.#suspected.get(suspect);
      if (suspected === undefined) continue;
      const engines = new Set(
        [...suspected.engines].filter((key) => !leftOut.has(key)),
      );
      const balance = engines.size - this.#answersOn(suspect);
      if (balance < CONVICTION_BALANCE) continue;
      candidates.push({ suspect, balance, depth: suspected.depth, engines });
    }
    // Instances that know the same evidence must come to the same result.
    return candidates.sort((a, b) =>
      b.balance - a.balance || b.depth - a.depth ||
      (a.suspect < b.suspect ? -1 : 1)
    );
  }

  /** The requests with a suspect, in the crashes that it would explain. */
  #requestsWith({ suspect, engines }: Candidate): readonly Suspects[] {
    return [...engines].flatMap((key) => [
      ...(this.#crashes.get(key)?.requests.values() ?? []),
    ]).flat().filter((suspects) => suspects.includes(suspect));
  }

  /** The entry of a suspect; a new one counts the answers of before. */
  #entryOf(suspect: string, now: number): SuspectEntry {
    const existing = this.#suspected.get(suspect);
    if (existing !== undefined) return existing;
    const answered = this.#answeredLike(suspect).get(suspect);
    const before = answered !== undefined && now - answered.at < EVIDENCE_MS
      ? Math.min(answered.count, ANSWERS_BEFORE_MAX)
      : 0;
    const suspected: SuspectEntry = {
      engines: new Set(),
      depth: 0,
      own: [before, 0],
      byPeer: undefined,
    };
    this.#suspected.set(suspect, suspected);
    return suspected;
  }

  /** The answers on suspects of the same kind. */
  #answeredLike(suspect: string): Map<string, AnsweredSuspect> {
    return isRequestKey(suspect) ? this.#answeredRequests : this.#answeredParts;
  }

  #answersOn(suspect: string): number {
    const suspected = this.#suspected.get(suspect);
    if (suspected === undefined) return 0;
    let [before, since] = suspected.own;
    for (const [peerBefore, peerSince] of suspected.byPeer?.values() ?? []) {
      before += peerBefore;
      since += peerSince;
    }
    const weight = isRequestKey(suspect) ? REQUEST_ANSWER_WEIGHT : 1;
    return Math.min(before, ANSWERS_BEFORE_MAX) + since * weight;
  }

  /** The lower, the more likely a suspect is the cause: whole requests, which only
   * their repeats share, and suspects of other crashes come first, then those on
   * which this instance had no answers. */
  #rank(suspect: string): number {
    if (isRequestKey(suspect) || this.#suspected.has(suspect)) return 0;
    return this.#answeredLike(suspect).has(suspect) ? 2 : 1;
  }

  /** Drops the suspects that only one crash has, of the oldest crashes first; whole
   * crashes if that is not enough. */
  #dropSurplusSuspects(): void {
    if (this.#suspectCount <= SUSPECTS_MAX) return;
    for (const [key, crash] of this.#crashes) {
      if (this.#suspectCount <= SUSPECTS_KEPT) return;
      this.#reduceCrash(key, crash);
    }
    for (const key of this.#crashes.keys()) {
      if (this.#suspectCount <= SUSPECTS_KEPT) return;
      this.#dropCrash(key);
    }
  }

  #reduceCrash(engineKey: string, { requests, suspects }: Crash): void {
    const isRepeated = (suspect: string) => this.#repeated.has(suspect);
    for (const suspect of suspects) {
      if (isRepeated(suspect)) continue;
      suspects.delete(suspect);
      this.#suspectCount -= 1;
      this.#removeEngine(suspect, engineKey);
    }
    for (const [reporter, list] of requests) {
      requests.set(
        reporter,
        list.map((suspects) => suspects.filter(isRepeated)),
      );
    }
  }

  #dropCrash(engineKey: string): void {
    const crash = this.#crashes.get(engineKey);
    if (crash === undefined) return;
    this.#crashes.delete(engineKey);
    this.#suspectCount -= crash.suspects.size;
    for (const suspect of crash.suspects) {
      this.#removeEngine(suspect, engineKey);
    }
  }

  #removeEngine(suspect: string, engineKey: string): void {
    const engines = this.#suspected.get(suspect)?.engines;
    if (engines === undefined) return;
    engines.delete(engineKey);
    if (engines.size < CONVICTION_BALANCE) this.#repeated.delete(suspect);
    if (engines.size === 0) this.#suspected.delete(suspect);
  }
}

/** Adds the requests that are not among the explanations, and marks those that were
 * on the same engines as another one. */
function addRequests(
  explanations: readonly Explanation[],
  requests: readonly Candidate[],
): readonly Explanation[] {
  const found = new Set(explanations.map(({ suspect }) => suspect));
  const all = [
    ...explanations,
    ...requests.filter(({ suspect }) => !found.has(suspect))
      .map(({ suspect, engines }) => ({ suspect, engines: [...engines] })),
  ];
  return all.map((explanation) => {
    const isShared = isRequestKey(explanation.suspect) &&
      requests.some(({ suspect, engines }) =>
        suspect !== explanation.suspect &&
        explanation.engines.some((key) => engines.has(key))
      );
    return isShared ? { ...explanation, isShared } : explanation;
  });
}

/** Whether the suspects of a request include parts of a prompt. */
function isPrompt(suspects: Suspects): boolean {
  return suspects.some((suspect) => !isRequestKey(suspect));
}

function overlaps(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  for (const value of a) if (b.has(value)) return true;
  return false;
}
