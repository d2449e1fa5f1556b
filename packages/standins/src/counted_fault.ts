/** Faults that apply to the next so many calls.
 *
 * @module
 */
import type { WriteMatch } from "./generated/control.ts";

/** Counts down the calls that a fault still applies to. */
export class CountedFault {
  #remaining = 0;

  /** Sets how many calls to come it applies to. */
  set(count: number): void {
    this.#remaining = count;
  }

  /** True if it applies to this call. */
  consume(): boolean {
    if (this.#remaining === 0) return false;
    this.#remaining -= 1;
    return true;
  }
}

/** A fault of the next writes to some objects. */
export class WriteFault {
  readonly #fault = new CountedFault();
  #match: WriteMatch = { count: 0 };

  set(match: WriteMatch): void {
    this.#match = match;
    this.#fault.set(match.count);
  }

  /** True if it applies to this write. */
  consume(kind: string, name: string): boolean {
    if (this.#match.kind !== undefined && this.#match.kind !== kind) {
      return false;
    }
    if (!name.startsWith(this.#match.name_prefix ?? "")) return false;
    return this.#fault.consume();
  }
}
