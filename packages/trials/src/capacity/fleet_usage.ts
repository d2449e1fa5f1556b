/** Resource usage of a fleet, and the log lines of its daemons.
 *
 * @module
 */

/** Calls that the store handled and their bytes, by `KIND OPERATION`. */
export type StoreCounts = Readonly<
  Record<
    string,
    {
      readonly calls: number;
      readonly bytes_in: number;
      readonly bytes_out: number;
    }
  >
>;

/** One line of a daemon's log. */
export interface LogLine {
  /** Event number. */
  readonly event: number;
  /** Wall-clock time, in milliseconds. */
  readonly time: number;
  readonly [field: string]: unknown;
}

/** Resources that a fleet used during a time window. */
export interface FleetUsage {
  readonly window_ms: number;
  readonly store: StoreCounts;
  readonly list_reads: number;
  /** Processor time of each daemon in the window, as a ratio of a core. */
  readonly cores: readonly number[];
  readonly resident_bytes: readonly number[];
}

/** Parses a line of a log; `undefined` if it is not JSON. */
export function parseLogLine(line: string): LogLine | undefined {
  try {
    return JSON.parse(line) as LogLine;
  } catch {
    return undefined;
  }
}

/** Calls and bytes between two counts; labels without calls are left out. */
export function subtractCounts(
  after: StoreCounts,
  before: StoreCounts,
): StoreCounts {
  const rows = Object.entries(after).map(([label, row]) => {
    const previous = before[label] ?? { calls: 0, bytes_in: 0, bytes_out: 0 };
    return [label, {
      calls: row.calls - previous.calls,
      bytes_in: row.bytes_in - previous.bytes_in,
      bytes_out: row.bytes_out - previous.bytes_out,
    }] as const;
  });
  return Object.fromEntries(rows.filter(([, row]) => row.calls > 0));
}
