/** The list of what a demonstration showed.
 *
 * @module
 */

/** Collects claims and whether they held. */
export class Checks {
  readonly #failed: string[] = [];
  readonly #start_ms = performance.now();
  #passed = 0;

  /** Prints a claim with what was seen and records whether it held. */
  record(
    claim: string,
    options: { readonly held: boolean; readonly observed: string },
  ): void {
    const mark = options.held ? "ok  " : "FAIL";
    const elapsed_s = ((performance.now() - this.#start_ms) / 1_000).toFixed(1);
    console.log(
      `${mark} ${elapsed_s.padStart(5)} s  ${claim}: ${options.observed}`,
    );
    if (options.held) this.#passed += 1;
    else this.#failed.push(claim);
  }

  /** Prints the summary. Yields the exit code. */
  finish(): number {
    console.log(`${this.#passed} held, ${this.#failed.length} did not`);
    for (const claim of this.#failed) console.log(`did not hold: ${claim}`);
    return this.#failed.length === 0 ? 0 : 1;
  }
}
