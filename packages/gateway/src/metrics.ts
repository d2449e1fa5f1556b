/** Counters and latency histograms in the Prometheus text format.
 *
 * @module
 */

/** Upper bounds of the histogram buckets, in milliseconds. The target latencies
 * of the deployments lie between 100 and 1,000. */
const BUCKET_BOUNDS_MS = [
  10,
  25,
  50,
  100,
  200,
  400,
  600,
  1000,
  2000,
  5000,
  20000,
];

interface Histogram {
  readonly buckets: number[];
  sum: number;
  count: number;
}

/** The metrics of this process. */
export class GatewayMetrics {
  readonly #counters = new Map<string, number>();
  readonly #histograms = new Map<string, Histogram>();

  /** Adds to a counter. `labels` are rendered without escaping. */
  add(name: string, labels: string, increment = 1): void {
    const key = labels === "" ? name : `${name}{${labels}}`;
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + increment);
  }

  /** Sets a counter whose value is maintained by another component. */
  set(name: string, value: number): void {
    this.#counters.set(name, value);
  }

  /** Adds a duration to a histogram. */
  time(name: string, labels: string, ms: number): void {
    const key = `${name}|${labels}`;
    let histogram = this.#histograms.get(key);
    if (histogram === undefined) {
      histogram = { buckets: BUCKET_BOUNDS_MS.map(() => 0), sum: 0, count: 0 };
      this.#histograms.set(key, histogram);
    }
    histogram.sum += ms;
    histogram.count += 1;
    for (let i = 0; i < BUCKET_BOUNDS_MS.length; i += 1) {
      if (ms <= (BUCKET_BOUNDS_MS[i] ?? 0)) {
        histogram.buckets[i] = (histogram.buckets[i] ?? 0) + 1;
      }
    }
  }

  /** Renders all metrics, one sample a line. */
  render(): string {
    const lines = [...this.#counters].map(([key, value]) => `${key} ${value}`);
    for (const [key, { buckets, sum, count }] of this.#histograms) {
      const separatorIndex = key.indexOf("|");
      const name = key.slice(0, separatorIndex);
      const labels = key.slice(separatorIndex + 1);
      const labelPrefix = labels === "" ? "" : `${labels},`;
      for (let i = 0; i < BUCKET_BOUNDS_MS.length; i += 1) {
        lines.push(
          `${name}_bucket{${labelPrefix}le="${BUCKET_BOUNDS_MS[i]}"} ${
            buckets[i]
          }`,
        );
      }
      lines.push(`${name}_bucket{${labelPrefix}le="+Inf"} ${count}`);
      lines.push(`${name}_sum{${labels}} ${sum.toFixed(1)}`);
      lines.push(`${name}_count{${labels}} ${count}`);
    }
    return `${lines.join("\n")}\n`;
  }
}
