/** The streams that this process has begun and that may still be taken up.
 *
 * @module
 */
import { versionAt, type VersionSplits } from "./version_split.ts";

/** Time between removals of streams that nobody can take up any more, in
 * milliseconds. */
const SWEEP_INTERVAL_MS = 1000;

interface OpenStream {
  readonly pool: string;
  readonly position: number;
  readonly version: string;
  /** When its caller gives up at the latest, by the monotonic clock; `Infinity`
   * while the answer is under way. */
  until: number;
}

/** Remembers at which version streams began, by the ids of their first
 * attempts. */
export class OpenStreams {
  readonly #streams = new Map<string, OpenStream>();
  #sweptAt = -Infinity;

  /** Records that a stream begins. */
  begin(
    id: string,
    stream: {
      readonly pool: string;
      readonly position: number;
      readonly version: string;
    },
  ): void {
    this.#streams.set(id, { ...stream, until: Infinity });
  }

  /** Records that a stream cannot be taken up: it brought no event. */
  end(id: string): void {
    this.#streams.delete(id);
  }

  /** Records that nothing more of the answer is sent; the caller may take the
   * stream up until `until`. */
  close(id: string, until: number): void {
    const stream = this.#streams.get(id);
    if (stream !== undefined) stream.until = until;
  }

  /** Number of streams that may be taken up. */
  count(now: number): number {
    this.#sweep(now);
    return this.#streams.size;
  }

  /** The version at which a stream of this process began. */
  versionOf(id: string, now: number): string | undefined {
    this.#sweep(now);
    return this.#streams.get(id)?.version;
  }

  /** The streams that are not where `splits` would let them begin, with their
   * versions by id. */
  strayed(
    splits: VersionSplits,
    now: number,
  ): Readonly<Record<string, string>> {
    this.#sweep(now);
    return Object.fromEntries(
      [...this.#streams].flatMap(([id, { pool, position, version }]) =>
        versionAt(splits.pools[pool]?.[0], position) === version
          ? []
          : [[id, version]]
      ),
    );
  }

  /** The versions of all streams, by id. */
  versions(now: number): Readonly<Record<string, string>> {
    this.#sweep(now);
    return Object.fromEntries(
      [...this.#streams].map(([id, { version }]) => [id, version]),
    );
  }

  #sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_INTERVAL_MS) return;
    this.#sweptAt = now;
    for (const [id, { until }] of this.#streams) {
      if (until < now) this.#streams.delete(id);
    }
  }
}
