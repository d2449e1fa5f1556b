/** A sum over a window that moves with time.
 *
 * @module
 */

/** Length of a bucket of the window, in milliseconds: use leaves the window
 * with this precision. */
export const BUCKET_MS = 250;

/** Units by time bucket, in a window that moves with time. */
export class SlidingWindow {
  readonly #unitsByBucket: number[];
  #currentBucket: number;
  #total = 0;

  constructor(bucketCount: number, now: number) {
    this.#unitsByBucket = new Array<number>(bucketCount).fill(0);
    this.#currentBucket = Math.floor(now / BUCKET_MS);
  }

  get total(): number {
    return this.#total;
  }

  advance(now: number): void {
    const bucket = Math.floor(now / BUCKET_MS);
    const steps = Math.min(
      bucket - this.#currentBucket,
      this.#unitsByBucket.length,
    );
    for (let i = 1; i <= steps; i++) {
      const index = this.#index(bucket - steps + i);
      this.#total -= this.#unitsByBucket[index] ?? 0;
      this.#unitsByBucket[index] = 0;
    }
    this.#currentBucket = Math.max(bucket, this.#currentBucket);
  }

  add(units: number): void {
    const index = this.#index(this.#currentBucket);
    this.#unitsByBucket[index] = (this.#unitsByBucket[index] ?? 0) + units;
    this.#total += units;
  }

  /** Adds units as if they had been used evenly over the whole window. */
  addEvenly(units: number): void {
    const unitsPerBucket = Math.ceil(units / this.#unitsByBucket.length);
    for (let i = 0; i < this.#unitsByBucket.length; i++) {
      this.#unitsByBucket[i] = (this.#unitsByBucket[i] ?? 0) + unitsPerBucket;
      this.#total += unitsPerBucket;
    }
  }

  /** Units of the latest buckets. */
  recentUnits(bucketCount: number): number {
    let sum = 0;
    for (
      let i = 0;
      i < Math.min(bucketCount, this.#unitsByBucket.length);
      i++
    ) {
      sum += this.#unitsByBucket[this.#index(this.#currentBucket - i)] ?? 0;
    }
    return sum;
  }

  /** Units a millisecond over the whole window; the latest bucket is
   * incomplete. */
  unitsPerMs(now: number): number {
    const elapsedMs = (this.#unitsByBucket.length - 1) * BUCKET_MS +
      now % BUCKET_MS;
    return this.#total / Math.max(BUCKET_MS, elapsedMs);
  }

  /** Milliseconds until this many units have left the window. */
  waitMs(units: number, now: number): number {
    const { length } = this.#unitsByBucket;
    let rest = units;
    for (let i = length - 1; i >= 0; i--) {
      const bucket = this.#currentBucket - i;
      rest -= this.#unitsByBucket[this.#index(bucket)] ?? 0;
      if (rest <= 0) return Math.max(0, (bucket + length) * BUCKET_MS - now);
    }
    return length * BUCKET_MS;
  }

  #index(bucket: number): number {
    const { length } = this.#unitsByBucket;
    return ((bucket % length) + length) % length;
  }
}
