/** Zones whose engines operators have taken out of use.
 *
 * @module
 */

/** A zone whose evacuation has begun or ended. */
export interface EvacuationChange {
  readonly zone: string;
  readonly state: "begun" | "ended";
  /** How long it was in force here, in milliseconds, if it has ended. */
  readonly ms: number | undefined;
}

/** The zones that are evacuated, as this instance knows. */
export class Evacuations {
  #since: ReadonlyMap<string, number> = new Map();

  /** The evacuated zones. */
  get zones(): Iterable<string> {
    return this.#since.keys();
  }

  /** When the evacuation of a zone became known; undefined if it is in use. */
  sinceOf(zone: string): number | undefined {
    return this.#since.get(zone);
  }

  /** Number of evacuated zones. */
  get size(): number {
    return this.#since.size;
  }

  /** Whether the engines of a zone must get no request. */
  isEvacuated(zone: string): boolean {
    return this.#since.has(zone);
  }

  /** Puts the zones of a newer list in force. Returns what has changed.
   *
   * @example
   * ```ts
   * for (const change of evacuations.replace(zones, now)) log(change);
   * ```
   */
  replace(
    zones: Iterable<string>,
    now: number,
  ): readonly EvacuationChange[] {
    const before = this.#since;
    const next = new Map(
      [...zones].map((zone) => [zone, before.get(zone) ?? now]),
    );
    this.#since = next;
    const begun = [...next.keys()].filter((zone) => !before.has(zone))
      .map((zone) => ({ zone, state: "begun" as const, ms: undefined }));
    const ended = [...before].filter(([zone]) => !next.has(zone))
      .map(([zone, since]) => ({
        zone,
        state: "ended" as const,
        ms: Math.round(now - since),
      }));
    return [...begun, ...ended];
  }
}
