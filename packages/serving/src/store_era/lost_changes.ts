/** Changes that a restored store has lost, until they are written again.
 *
 * The first list of a new era may lack records that are known, and hold records
 * that are known to be removed. Whoever wrote the change writes it again, within
 * a few seconds. Until then what is known counts, and after that what the store
 * holds.
 *
 * @module
 */
import type { RecordList, StoredRecord } from "../ports.ts";
import { eraOf, numberOf } from "./store_revision.ts";

/** How long removals are remembered, in milliseconds: the store comes back from
 * a copy that is some seconds old. */
const REMOVAL_MEMORY_MS = 60_000;

/** Largest number of removals that are remembered. */
const REMOVALS_MAX = 4096;

interface Removal {
  readonly revision: number;
  readonly at: number;
}

interface HiddenRecord {
  readonly revision: number;
  readonly until: number;
}

/** The changes of one kind of records that the store has lost. */
export class LostChanges {
  readonly #keptMs: number;
  readonly #hiddenMs: number;
  readonly #aheadMs: number;
  readonly #removals = new Map<string, Removal>();
  readonly #keptUntil = new Map<string, number>();
  readonly #hidden = new Map<string, HiddenRecord>();

  #aheadUntil = Infinity;

  /** A record that a new era lacks is kept for `keptMs`, one that it holds again
   * after its removal stays hidden for `hiddenMs`, and one of which it holds an
   * older copy counts for `aheadMs`. */
  constructor(
    options: {
      readonly keptMs: number;
      readonly hiddenMs: number;
      readonly aheadMs: number;
    },
  ) {
    this.#keptMs = options.keptMs;
    this.#hiddenMs = options.hiddenMs;
    this.#aheadMs = options.aheadMs;
  }

  /** Records that a record was removed, whose last known revision was
   * `revision`. */
  recordRemoval(
    { name, revision }: Pick<StoredRecord, "name" | "revision">,
    now: number,
  ): void {
    if (this.#hiddenMs === 0) return;
    this.#removals.delete(name);
    this.#removals.set(name, { revision, at: now });
    if (this.#removals.size <= REMOVALS_MAX) return;
    for (const oldest of this.#removals.keys()) {
      this.#removals.delete(oldest);
      break;
    }
  }

  /** Compares the first list of a new era with the records that are known. */
  beginEra(
    list: RecordList,
    known: ReadonlyMap<string, StoredRecord>,
    now: number,
  ): void {
    this.#aheadUntil = now + this.#aheadMs;
    // A list of a peer may hold records of the former era that it merely keeps.
    const listedNames = new Set(
      list.records.filter(({ revision }) =>
        eraOf(revision) === eraOf(list.revision)
      ).map(({ name }) => name),
    );
    for (const name of known.keys()) {
      if (listedNames.has(name)) this.#keptUntil.delete(name);
      else if (this.#keptMs > 0) {
        this.#keptUntil.set(name, now + this.#keptMs);
      }
    }
    for (const { name, revision } of list.records) {
      const removal = this.#removals.get(name);
      const isLost = removal !== undefined && !known.has(name) &&
        now - removal.at < REMOVAL_MEMORY_MS &&
        numberOf(revision) <= numberOf(removal.revision);
      if (!isLost) continue;
      this.#hidden.set(name, { revision, until: now + this.#hiddenMs });
    }
  }

  /** Whether a record counts although a list of the store lacks it. */
  keeps(name: string, now: number): boolean {
    const until = this.#keptUntil.get(name);
    if (until === undefined) return false;
    if (now < until) return true;
    this.#keptUntil.delete(name);
    return false;
  }

  /** Whether a record that the store holds does not count, since its removal was
   * lost. `released`: it did not, and does from now on. */
  stateOf(
    { name, revision }: StoredRecord,
    now: number,
  ): "hidden" | "released" | "seen" {
    const hidden = this.#hidden.get(name);
    if (hidden === undefined) return "seen";
    // A record that was written again has a higher revision.
    if (revision < hidden.revision) return "seen";
    if (revision === hidden.revision && now < hidden.until) return "hidden";
    this.#hidden.delete(name);
    return "released";
  }

  /** Whether records still count of which the store holds older copies. */
  isAhead(now: number): boolean {
    return now < this.#aheadUntil;
  }

  /** Records that a record was written or removed in this era. */
  forget(name: string): void {
    this.#keptUntil.delete(name);
    this.#hidden.delete(name);
  }
}
