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

/** Decodes a process's report. A malformed one counts as one that has adopted no
 * splits, since its streams are not known. */
export function decodeReport(value: unknown): StreamReport {
  const { splits, strayed } = isObject(value) ? value : {};
  const isValid = isNumber(splits) && isObject(strayed) &&
    Object.values(strayed).every((version) => typeof version === "string");
  return isValid
    ? { splits, strayed: strayed as StreamReport["strayed"] }
    : { splits: -1, strayed: {} };
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
