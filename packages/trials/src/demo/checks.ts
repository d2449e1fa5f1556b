/** Records the claims that the demonstration checks.
 *
 * @module
 */

/** Collects claims and whether each of them holds. */
export class Checks {
  readonly #failed: string[] = [];
  readonly #start_ms = performance.now();
  #passed = 0;

  /** Prints a claim with the observed result and records whether the claim
   * holds. */
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

  /** Prints the summary. Returns the exit code: 1 if any claim failed. */
  finish(): number {
    console.log(`${this.#passed} held, ${this.#failed.length} did not`);
    for (const claim of this.#failed) console.log(`did not hold: ${claim}`);
    return this.#failed.length === 0 ? 0 : 1;
  }
}
