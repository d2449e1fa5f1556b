/** Values that instances report to each other when they change.
 *
 * @module
 */

/** A value that is sent when it changes: its name, a number that differs after
 * each change, and the value itself. */
export type ReportRow<T> = readonly [name: string, state: number, value: T];
