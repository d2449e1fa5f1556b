/** Units used within a sliding window of time.
 *
 * @module
 */

/** Length of a bucket of the window, in milliseconds: use leaves the window
 * with this precision. */
export const BUCKET_MS = 250;

/** Units by time bucket, in a window that moves with time. Use may lie in the
 * near future: units that were lent are used at the end of the loan at the
 * latest. */
export class UseWindow {
  /** A ring: the buckets of the window and those of the future. */
  readonly #unitsByBucket: number[];
  readonly #windowBuckets: number;
  #currentBucket: number;
  #total = 0;

  constructor(
    now: number,
    options: { readonly windowMs: number; readonly futureMs: number },
  ) {
    // One bucket more than the window needs, so that no use leaves it too
    // early.
    this.#windowBuckets = Math.ceil(options.windowMs / BUCKET_MS) + 1;
    const futureBuckets = Math.ceil(options.futureMs / BUCKET_MS) + 1;
    this.#unitsByBucket = new Array<number>(this.#windowBuckets + futureBuckets)
      .fill(0);
    this.#currentBucket = bucketAt(now);
  }

  /** Units in the window and in the future. */
  get total(): number {
    return this.#total;
  }

  /** Moves the window to `now`. */
  advance(now: number): void {
    const { length } = this.#unitsByBucket;
    const bucket = Math.max(bucketAt(now), this.#currentBucket);
    const steps = Math.min(bucket - this.#currentBucket, length);
    for (let i = 0; i < steps; i++) {
      const index = this.#index(bucket - i - this.#windowBuckets);
      this.#total -= this.#unitsByBucket[index] ?? 0;
      this.#unitsByBucket[index] = 0;
    }
    this.#currentBucket = bucket;
  }

  /** Adds units that are used at `at`; returns their bucket. */
  add(units: number, at: number): number {
    const futureBuckets = this.#unitsByBucket.length - this.#windowBuckets;
    const bucket = Math.min(
      Math.max(bucketAt(at), this.#currentBucket),
      this.#currentBucket + futureBuckets,
    );
    this.#addTo(bucket, units);
    return bucket;
  }

  /** Removes units from the bucket to which they were added, unless it has left
   * the window. */
  remove(units: number, bucket: number): void {
    if (bucket <= this.#currentBucket - this.#windowBuckets) return;
    this.#addTo(bucket, -units);
  }

  /** Adds units as if they had been used evenly over the whole window. Returns
   * an action that removes those that are still in the window. */
  addEvenly(units: number): () => void {
    const unitsPerBucket = units / this.#windowBuckets;
    const buckets = Array.from(
      { length: this.#windowBuckets },
      (_, i) => this.#currentBucket - i,
    );
    for (const bucket of buckets) this.#addTo(bucket, unitsPerBucket);
    return () => {
      for (const bucket of buckets) this.remove(unitsPerBucket, bucket);
    };
  }

  /** Adds units that were used at `at`, in the past. */
  addPast(units: number, at: number): void {
    const bucket = Math.min(bucketAt(at), this.#currentBucket);
    if (bucket > this.#currentBucket - this.#windowBuckets) {
      this.#addTo(bucket, units);
    }
  }

  /** Units of the window in slices of a length, the latest slice first. It
   * contains those in the future. */
  slices(sliceMs: number): readonly number[] {
    const bucketsPerSlice = sliceMs / BUCKET_MS;
    const slices: number[] = [];
    const { length } = this.#unitsByBucket;
    for (let i = 0; i < length; i++) {
      const bucket = this.#currentBucket - this.#windowBuckets + 1 + i;
      const age = Math.max(0, this.#currentBucket - bucket);
      const slice = Math.floor(age / bucketsPerSlice);
      const units = this.#unitsByBucket[this.#index(bucket)] ?? 0;
      slices[slice] = (slices[slice] ?? 0) + units;
    }
    return slices;
  }

  /** Milliseconds from `now` until this many units have left the window. */
  waitMs(units: number, now: number): number {
    const { length } = this.#unitsByBucket;
    const oldest = this.#currentBucket - this.#windowBuckets + 1;
    let rest = units;
    for (let bucket = oldest; bucket < oldest + length; bucket++) {
      rest -= this.#unitsByBucket[this.#index(bucket)] ?? 0;
      if (rest > 0) continue;
      return Math.max(0, (bucket + this.#windowBuckets) * BUCKET_MS - now);
    }
    return this.#windowBuckets * BUCKET_MS;
  }

  #addTo(bucket: number, units: number): void {
    const index = this.#index(bucket);
    this.#unitsByBucket[index] = (this.#unitsByBucket[index] ?? 0) + units;
    this.#total += units;
  }

  #index(bucket: number): number {
    const { length } = this.#unitsByBucket;
    return ((bucket % length) + length) % length;
  }
}

function bucketAt(time: number): number {
  return Math.floor(time / BUCKET_MS);
}
