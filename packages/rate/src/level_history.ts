/** The level of a token bucket as a function of past charges, each of which
 * can still be changed.
 *
 * A charge followed by a refill maps the level `x` to `min(x + add, cap)`. The
 * composition of two of these maps has the same form. A balanced tree of maps
 * therefore yields the current level after a change of any past charge in
 * logarithmic time.
 *
 * @module
 */

const MIN_LEAF_COUNT = 16;

/** A charge in the history. */
export interface Charge {
  tokens: number;
  /** Position in the tree; -1 for the latest charge, which is not yet in the
   * tree because its refill is incomplete. */
  index: number;
  add: number;
  cap: number;
  is_settled: boolean;
}

/** The charges in chronological order and the level after them. */
export class LevelHistory {
  #start_level: number;
  #charges: Charge[] = [];
  #add = new Float64Array(2 * MIN_LEAF_COUNT);
  #cap = new Float64Array(2 * MIN_LEAF_COUNT).fill(Infinity);
  #leaf_count = MIN_LEAF_COUNT;

  constructor(start: number) {
    this.#start_level = start;
  }

  /** Level after all appended charges and their refills. */
  level(): number {
    const add = this.#add[1] ?? 0;
    const cap = this.#cap[1] ?? Infinity;
    return Math.min(this.#start_level + add, cap);
  }

  /** Number of charges in the tree. */
  get size(): number {
    return this.#charges.length;
  }

  /** Appends a charge and the complete refill that followed it. */
  append(charge: Charge, refill: { add: number; cap: number }): void {
    if (this.#charges.length === this.#leaf_count) this.#compact();
    charge.index = this.#charges.length;
    charge.add = refill.add - charge.tokens;
    charge.cap = refill.cap;
    this.#charges.push(charge);
    this.#write(charge);
  }

  /** Sets the tokens of an appended charge. */
  adjust(charge: Charge, tokens: number): void {
    charge.add += charge.tokens - tokens;
    charge.tokens = tokens;
    this.#write(charge);
  }

  #write(charge: Charge): void {
    let node = this.#leaf_count + charge.index;
    this.#add[node] = charge.add;
    this.#cap[node] = charge.cap;
    while (node > 1) {
      node = node >> 1;
      this.#combine(node);
    }
  }

  #combine(node: number): void {
    const left_add = this.#add[2 * node] ?? 0;
    const left_cap = this.#cap[2 * node] ?? Infinity;
    const right_add = this.#add[2 * node + 1] ?? 0;
    const right_cap = this.#cap[2 * node + 1] ?? Infinity;
    this.#add[node] = left_add + right_add;
    this.#cap[node] = Math.min(left_cap + right_add, right_cap);
  }

  /** Merges adjacent settled charges, so that the size stays within twice the
   * number of unsettled charges. */
  #compact(): void {
    const kept: Charge[] = [];
    for (const charge of this.#charges) {
      const previous = kept.at(-1);
      if (!charge.is_settled) kept.push(charge);
      else if (previous === undefined) {
        this.#start_level = Math.min(
          this.#start_level + charge.add,
          charge.cap,
        );
      } else if (previous.is_settled) {
        previous.cap = Math.min(previous.cap + charge.add, charge.cap);
        previous.add += charge.add;
      } else kept.push(charge);
    }
    this.#rebuild(kept);
  }

  #rebuild(charges: Charge[]): void {
    this.#charges = charges;
    this.#leaf_count = MIN_LEAF_COUNT;
    while (this.#leaf_count < 2 * charges.length) this.#leaf_count *= 2;
    this.#add = new Float64Array(2 * this.#leaf_count);
    this.#cap = new Float64Array(2 * this.#leaf_count).fill(Infinity);
    charges.forEach((charge, index) => {
      charge.index = index;
      this.#add[this.#leaf_count + index] = charge.add;
      this.#cap[this.#leaf_count + index] = charge.cap;
    });
    for (let node = this.#leaf_count - 1; node > 0; node--) this.#combine(node);
  }
}
