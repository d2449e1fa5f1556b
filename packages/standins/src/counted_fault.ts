/** Faults that apply to a given number of calls.
 *
 * @module
 */
import type { WriteMatch } from "./generated/control.ts";

/** A fault that applies to the next calls, up to a count. */
export class CountedFault {
  #remaining = 0;

  /** Sets the number of future calls that the fault applies to. */
  set(count: number): void {
    this.#remaining = count;
  }

  /** Returns whether the fault applies to this call, and counts the call if it
   * does. */
  consume(): boolean {
    if (this.#remaining === 0) return false;
    this.#remaining -= 1;
    return true;
  }
}

/** A fault that applies to the next writes to the matching objects. */
export class WriteFault {
  readonly #fault = new CountedFault();
  #match: WriteMatch = { count: 0 };

  set(match: WriteMatch): void {
    this.#match = match;
    this.#fault.set(match.count);
  }

  /** Returns whether the fault applies to this write, and counts the write if it
   * does. */
  consume(kind: string, name: string): boolean {
    if (this.#match.kind !== undefined && this.#match.kind !== kind) {
      return false;
    }
    if (!name.startsWith(this.#match.name_prefix ?? "")) return false;
    return this.#fault.consume();
  }
}
