/** The interface for metrics, independent of a metrics library.
 *
 * @module
 */

/** Tags (labels) of a metric, such as the kind of a refusal. */
export type Tags = Readonly<Record<string, string>>;

/** Receives counters, durations and gauges. */
export abstract class Metrics {
  /** Adds `by` (default 1) to a counter. */
  abstract count(name: string, tags?: Tags, by?: number): void;

  /** Records a duration in milliseconds. */
  abstract time(name: string, ms: number, tags?: Tags): void;

  /** Sets a gauge. */
  abstract gauge(name: string, value: number, tags?: Tags): void;
}

/** Discards all metrics. For embedding and tests. */
export class NoopMetrics extends Metrics {
  override count(): void {}
  override time(): void {}
  override gauge(): void {}
}
