/** The engines that one request was sent to.
 *
 * @module
 */
import type { EngineChoice } from "@banyanlb/serving";

/** What became of the request at each engine. */
export class TriedEngines {
  readonly #failed = new Set<string>();
  readonly #silent = new Set<string>();
  readonly #runAt = new Set<string>();

  /** Records that an engine did not serve the request, or that it lost it
   * because it was silent. */
  record(key: string, result: "failed" | "silent"): void {
    (result === "silent" ? this.#silent : this.#failed).add(key);
  }

  /** Records that an engine may have run the request. */
  recordRun(key: string): void {
    this.#runAt.add(key);
  }

  /** Whether the engine lost the request because it was silent. */
  wasSilent(key: string): boolean {
    return this.#silent.has(key);
  }

  /** Whether the engine may have run the request. */
  hasRunAt(key: string): boolean {
    return this.#runAt.has(key);
  }

  /** Chooses an engine that is none of `others` and has not failed; one that was
   * silent only if there is no other.
   *
   * @example
   * ```ts
   * tried.choose((excluded) => chooseExcept(excluded), [current.engine.key]);
   * ```
   */
  choose(
    chooseExcept: (excluded: ReadonlySet<string>) => EngineChoice,
    others: readonly string[],
  ): EngineChoice {
    const excluded = new Set([...this.#failed, ...others]);
    const choice = chooseExcept(new Set([...excluded, ...this.#silent]));
    return choice.kind === "none" && this.#silent.size > 0
      ? chooseExcept(excluded)
      : choice;
  }
}
