/** Counters and timings, without a choice of library.
 *
 * @module
 */

/** Tags of a metric, such as the reason of a refusal. */
export type Tags = Readonly<Record<string, string>>;

/** Sink of metrics. */
export abstract class Metrics {
  /** Adds `by` (default 1) to a counter. */
  abstract count(name: string, tags?: Tags, by?: number): void;

  /** Records a duration in milliseconds. */
  abstract time(name: string, ms: number, tags?: Tags): void;

  /** Sets a gauge. */
  abstract gauge(name: string, value: number, tags?: Tags): void;
}

/** Drops everything. For embedding and tests. */
export class NoopMetrics extends Metrics {
  override count(): void {}
  override time(): void {}
  override gauge(): void {}
}
