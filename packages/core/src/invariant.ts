/** Numbered assertions. A violated one is a bug in the program.
 *
 * @module
 */

/** Thrown when an invariant does not hold. docs/EVENTS.md lists the codes. */
export class InvariantError extends Error {
  readonly code: number;

  constructor(code: number, message: string) {
    super(`invariant ${code}: ${message}; please report this with the log`);
    this.name = "InvariantError";
    this.code = code;
  }
}

/** Throws an {@linkcode InvariantError} unless `condition` holds.
 *
 * @example
 * ```ts
 * invariant(tokens >= 0, { code: 1, message: "token balance is negative" });
 * ```
 */
export function invariant(
  condition: boolean,
  failure: { readonly code: number; readonly message: string },
): asserts condition {
  if (!condition) throw new InvariantError(failure.code, failure.message);
}
