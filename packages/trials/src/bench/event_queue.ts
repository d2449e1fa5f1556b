/** A priority queue of values by time, as a binary heap.
 *
 * @module
 */

/** A value with its time in milliseconds. */
export interface TimedValue<T> {
  readonly at_ms: number;
  readonly value: T;
}

/** Returns values in order of time; those with equal times in the order in
 * which they were added. */
export class EventQueue<T> {
  readonly #heap: (TimedValue<T> & { readonly order: number })[] = [];
  #added_count = 0;

  /** Adds a value. */
  add(at_ms: number, value: T): void {
    this.#added_count += 1;
    this.#heap.push({ at_ms, value, order: this.#added_count });
    let i = this.#heap.length - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!this.#isBefore(i, parent)) break;
      this.#swap(i, parent);
      i = parent;
    }
  }

  /** Removes and returns the earliest value; `undefined` if the queue is
   * empty. */
  next(): TimedValue<T> | undefined {
    const first = this.#heap[0];
    const last = this.#heap.pop();
    if (this.#heap.length > 0 && last !== undefined) {
      this.#heap[0] = last;
      this.#siftDown();
    }
    return first;
  }

  #siftDown(): void {
    let i = 0;
    for (;;) {
      const left = 2 * i + 1;
      if (left >= this.#heap.length) return;
      const right = left + 1;
      const has_right = right < this.#heap.length;
      const child = has_right && this.#isBefore(right, left) ? right : left;
      if (!this.#isBefore(child, i)) return;
      this.#swap(i, child);
      i = child;
    }
  }

  #isBefore(a: number, b: number): boolean {
    const left = this.#heap[a]!;
    const right = this.#heap[b]!;
    if (left.at_ms !== right.at_ms) return left.at_ms < right.at_ms;
    return left.order < right.order;
  }

  #swap(a: number, b: number): void {
    const entry = this.#heap[a]!;
    this.#heap[a] = this.#heap[b]!;
    this.#heap[b] = entry;
  }
}
