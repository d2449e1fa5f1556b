/** The announced versions of adapters, and which of them requests may use.
 *
 * @module
 */

/** How long requests may use the version before after a newer one was
 * announced, in milliseconds: half of the time that the deployment allows. */
const REPLACED_VERSION_USE_MS = 2500;

interface AnnouncedVersion {
  readonly version: number;
  /** When this instance received the version, by the monotonic clock. */
  readonly receivedAt: number;
}

/** The versions of each adapter, from the oldest that requests may use.
 *
 * A version may be used for a limited time after its own successor was
 * announced; later versions do not extend that time. */
export class AdapterVersions {
  /** By adapter, in ascending order of versions. */
  readonly #announced = new Map<string, readonly AnnouncedVersion[]>();

  /** Records a version. Returns whether it is newer than those before.
   *
   * `receivedAt` is -Infinity if the version may have been announced long
   * before, so that its predecessors must not be used any more.
   *
   * @example
   * ```ts
   * versions.announce("m/a", { version: 2, receivedAt: performance.now() });
   * ```
   */
  announce(adapterKey: string, announced: AnnouncedVersion): boolean {
    if (this.newestOf(adapterKey) >= announced.version) return false;
    const { receivedAt } = announced;
    const oldest = this.oldestUsable(adapterKey, receivedAt);
    const kept = (this.#announced.get(adapterKey) ?? []).filter(
      ({ version }) => version >= oldest,
    );
    this.#announced.set(adapterKey, [...kept, announced]);
    return true;
  }

  /** The newest version of an adapter; 0 if none was announced. */
  newestOf(adapterKey: string): number {
    return this.#announced.get(adapterKey)?.at(-1)?.version ?? 0;
  }

  /** The oldest version of an adapter that requests may use; 0 if they may use
   * any. */
  oldestUsable(adapterKey: string, now: number): number {
    const inForce = this.#announced.get(adapterKey)?.findLast(
      ({ receivedAt }) => now - receivedAt >= REPLACED_VERSION_USE_MS,
    );
    return inForce?.version ?? 0;
  }
}
