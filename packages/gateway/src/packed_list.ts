/** Compresses lists of records that instances pass on to each other: a long
 * configuration repeats itself, and links between regions are shared with
 * requests.
 *
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { RecordList } from "@banyanlb/serving";

/** Length of a list's text from which it is compressed. */
const PACKED_MIN_LENGTH = 4096;

/** Maximum size of a list's text, in bytes: the largest that the store holds in
 * one object, with room for the engines of a large fleet. */
const UNPACKED_MAX_BYTES = 8 * 1024 * 1024;

/** A list as it is sent. */
export type ListMessage =
  | { readonly list: RecordList | undefined }
  | { readonly list: undefined; readonly packed: string };

/** Compresses a list if that is worth it.
 *
 * @example
 * ```ts
 * unpackList(packList(list)); // list
 * ```
 */
export function packList(list: RecordList): ListMessage {
  const text = JSON.stringify(list);
  if (text.length < PACKED_MIN_LENGTH) return { list };
  return { list: undefined, packed: deflateRawSync(text).toString("base64") };
}

/** The list of a message; undefined if it has none.
 *
 * @throws {Error} if the compressed text is damaged or too long.
 */
export function unpackList(
  message: { readonly list?: RecordList; readonly packed?: string },
): RecordList | undefined {
  if (message.packed === undefined) return message.list;
  const bytes = inflateRawSync(Buffer.from(message.packed, "base64"), {
    maxOutputLength: UNPACKED_MAX_BYTES,
  });
  return JSON.parse(bytes.toString()) as RecordList;
}
