/** Decodes the records of splits and of streams, which other programs may have
 * written to as well.
 *
 * @module
 */
import type {
  StoredRecord,
  StreamReport,
  VersionRange,
  VersionSplit,
  VersionSplits,
} from "@banyanlb/serving";

/** Name of the record with the splits, among those that assign work. */
export const SPLITS_RECORD_NAME = "versions";

/** Decodes the splits. Returns undefined if any part is malformed: a stream could
 * be joined from two versions. */
export function decodeSplits(value: unknown): VersionSplits | undefined {
  if (!isObject(value)) return undefined;
  const { number, era, pools } = value;
  if (!isNumber(number) || !isNumber(era) || !isObject(pools)) return undefined;
  const lists = Object.values(pools);
  return lists.every((list) => Array.isArray(list) && list.every(isSplit))
    ? { number, era, pools: pools as VersionSplits["pools"] }
    : undefined;
}

/** How far the writer of the splits had come: an older copy of them, which a
 * restored store holds, does not replace them. */
export function splitsProgressOf(
  { name, value }: StoredRecord,
): readonly number[] | undefined {
  if (name !== SPLITS_RECORD_NAME) return undefined;
  const splits = decodeSplits(value);
  return splits && [splits.number];
}

/** A process's report as it is stored. Builds before issue 58 read and write
 * `splits` and `strayed` only. */
export interface StoredReport {
  readonly splits: number;
  readonly strayed: StreamReport["strayed"];
  readonly takeUpMs?: number;
  /** The era of the store in which the process wrote it. */
  readonly era?: number;
  /** Where the process listens for callers: one that listens there later shows
   * that it has ended. */
  readonly address?: string;
  readonly endedAt?: number;
}

/** Decodes a process's report, read in an era of the store. A malformed one counts
 * as one that has adopted no splits, since its streams are not known; a malformed
 * bound on what it began counts as none. */
export function decodeReport(value: unknown, storeEra?: number): StreamReport {
  const { splits, strayed, takeUpMs, era, endedAt } = isObject(value)
    ? value
    : {};
  const isValid = isNumber(splits) && isObject(strayed) &&
    Object.values(strayed).every((version) => typeof version === "string");
  if (!isValid) return { splits: -1, strayed: {} };
  return {
    splits,
    strayed: strayed as StreamReport["strayed"],
    isOfEra: storeEra !== undefined && era === storeEra,
    ...isNumber(takeUpMs) && { takeUpMs },
    ...isNumber(endedAt) && { endedAt },
  };
}

/** The address in a report; undefined if it states none. */
export function addressOf(value: unknown): string | undefined {
  const address = isObject(value) ? value.address : undefined;
  return typeof address === "string" ? address : undefined;
}

function isSplit(value: unknown): value is VersionSplit {
  if (!isObject(value)) return false;
  const { number, madeAt, ranges } = value;
  return isNumber(number) && isNumber(madeAt) && Array.isArray(ranges) &&
    ranges.every(isRange);
}

function isRange(value: unknown): value is VersionRange {
  return isObject(value) && typeof value.version === "string" &&
    typeof value.until === "number";
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isNumber(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}
