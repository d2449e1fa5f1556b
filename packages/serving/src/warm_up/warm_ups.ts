/** Which engines are cold, and for how long.
 *
 * An engine is cold after its start, and may become cold again at any moment. Its
 * list entry, its reports and its answers say for how long; the newest of what it
 * said counts, whichever instance heard it.
 *
 * @module
 */
import type { ReportRow } from "../report_row.ts";
import type { Engine, WarmUpTerms } from "../types.ts";

/** A change of the end of a warm-up by this much is reported to peers, in
 * milliseconds. */
const REPORTED_STEP_MS = 500;

/** How an instance learned that an engine is cold. */
export type ColdSource = "entry" | "engine" | "peer" | "evacuation";

/** An engine that has become cold. */
export interface WarmUp {
  readonly engine: string;
  readonly source: ColdSource;
  readonly leftMs: number;
}

interface Told {
  /** When the engine was heard. */
  readonly at: number;
  /** When it will be warm, by what it said. */
  readonly until: number;
  readonly source: ColdSource;
}

const NEVER_TOLD: Told = { at: -Infinity, until: -Infinity, source: "entry" };

/** What this instance does when it learns of cold engines. */
export interface WarmUpOptions {
  /** What engines of the service bear while they are cold; undefined if they bear
   * any load. */
  readonly termsOf: (service: string) => WarmUpTerms | undefined;
  /** Called when an engine has become cold. */
  readonly onWarmUp: (warmUp: WarmUp) => void;
}

/** The engines that are cold. */
export class WarmUps {
  readonly #options: WarmUpOptions;
  readonly #told = new Map<string, Told>();
  /** Until when engines are taken for cold, whatever they have said. */
  readonly #assumedUntil = new Map<string, number>();
  /** The newest entry of each engine, by its revision. */
  readonly #revisions = new Map<string, number>();
  #hasEngines = false;

  constructor(options: WarmUpOptions) {
    this.#options = options;
  }

  /** Number of engines that are cold. */
  count(now: number): number {
    const keys = new Set([...this.#told.keys(), ...this.#assumedUntil.keys()]);
    return [...keys].filter((key) => this.leftMs(key, now) > 0).length;
  }

  /** How long an engine stays cold, in milliseconds; 0 if it is warm. */
  leftMs(engineKey: string, now: number): number {
    if (this.#told.size === 0 && this.#assumedUntil.size === 0) return 0;
    const until = Math.max(
      this.#told.get(engineKey)?.until ?? -Infinity,
      this.#assumedUntil.get(engineKey) ?? -Infinity,
    );
    return Math.max(0, until - now);
  }

  /** Records the entries of all engines, and forgets those that are not listed.
   * An engine that joins without a time is taken for cold, but not those that were
   * there before this process.
   *
   * @example
   * ```ts
   * warmUps.recordEntries(engines, performance.now());
   * ```
   */
  recordEntries(engines: Iterable<Engine>, now: number): void {
    const listed = new Set<string>();
    for (const engine of engines) {
      const { key, service, coldMs, revision = 0 } = engine;
      listed.add(key);
      const terms = this.#options.termsOf(service);
      if (terms === undefined) continue;
      const known = this.#revisions.get(key);
      if (known !== undefined && known >= revision) continue;
      this.#revisions.set(key, revision);
      if (coldMs !== undefined) {
        this.#record(key, { leftMs: coldMs, at: now, source: "entry" }, now);
      } else if (known === undefined && this.#hasEngines) {
        this.#assume(key, terms.durationMs, { now, source: "entry" });
      }
    }
    if (listed.size > 0) this.#hasEngines = true;
    for (const known of [this.#told, this.#assumedUntil, this.#revisions]) {
      for (const key of known.keys()) if (!listed.has(key)) known.delete(key);
    }
  }

  /** Records what an engine said at `at`, to this instance or to a peer. */
  recordTold(
    engineKey: string,
    told: {
      readonly leftMs: number;
      readonly at: number;
      readonly source: "engine" | "peer";
    },
    now: number,
  ): void {
    if (this.#revisions.has(engineKey)) this.#record(engineKey, told, now);
  }

  /** Takes engines for cold whose zone comes back into use: they may have become
   * cold just before, and have said so to nobody yet. */
  recordReturn(engines: Iterable<Engine>, now: number): void {
    for (const { key, service } of engines) {
      const terms = this.#options.termsOf(service);
      if (terms === undefined) continue;
      this.#assume(key, terms.durationMs, { now, source: "evacuation" });
    }
  }

  /** What peers are told: what this instance has heard of cold engines itself.
   * Entries are left to those that read them for others. */
  report(
    now: number,
    { isStoreReader }: { readonly isStoreReader: boolean },
  ): readonly ReportRow<number>[] {
    const rows: ReportRow<number>[] = [];
    for (const [key, { until, source }] of this.#told) {
      const isOwn = source === "engine" ||
        (source === "entry" && isStoreReader);
      if (!isOwn || until <= now) continue;
      rows.push([
        key,
        Math.round(until / REPORTED_STEP_MS),
        Math.round(until - now),
      ]);
    }
    return rows;
  }

  #record(
    key: string,
    told: {
      readonly leftMs: number;
      readonly at: number;
      readonly source: ColdSource;
    },
    now: number,
  ): void {
    const { leftMs, at, source } = told;
    const before = this.#told.get(key) ?? NEVER_TOLD;
    if (at < before.at) return;
    const wasWarm = this.leftMs(key, now) === 0;
    // An entry may have been written before what the engine said elsewhere.
    const isOlder = source === "entry" && before.source !== "entry" &&
      at + leftMs < before.until;
    if (isOlder && now < before.until) return;
    this.#told.set(key, { at, until: at + leftMs, source });
    this.#announce(key, { wasWarm, source }, now);
  }

  #assume(
    key: string,
    ms: number,
    { now, source }: { readonly now: number; readonly source: ColdSource },
  ): void {
    const wasWarm = this.leftMs(key, now) === 0;
    this.#assumedUntil.set(key, now + ms);
    this.#announce(key, { wasWarm, source }, now);
  }

  #announce(
    engine: string,
    { wasWarm, source }: {
      readonly wasWarm: boolean;
      readonly source: ColdSource;
    },
    now: number,
  ): void {
    const leftMs = Math.round(this.leftMs(engine, now));
    if (wasWarm && leftMs > 0) {
      this.#options.onWarmUp({ engine, source, leftMs });
    }
  }
}
