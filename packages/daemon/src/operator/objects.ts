/** Reads published objects for operators.
 *
 * @module
 */
import { isConfigKind, type Snapshot } from "@banyanlb/published";
import type {
  LookupRequest,
  ObjectRow,
  ObjectsReply,
  PageRequest,
} from "../generated/operator_messages.ts";

/** Row count at which a page ends. The page includes the whole bucket that
 * reaches this count. */
const PAGE_ROWS = 500;

/** Returns a page of the objects of one kind, starting at bucket
 * `request.from`. `next` is the bucket at which the next page starts; it is
 * absent on the last page. */
export function readPage(
  snapshot: Snapshot,
  request: PageRequest,
): ObjectsReply {
  const rows: ObjectRow[] = [];
  let index = request.from ?? 0;
  while (index < snapshot.bucketCount && rows.length < PAGE_ROWS) {
    for (const { object, generation } of snapshot.bucket(index)) {
      if (object.kind !== request.kind) continue;
      rows.push({ object: { ...object }, base: generation });
    }
    index++;
  }
  const reply = { generation: snapshot.generation, rows };
  return index < snapshot.bucketCount ? { ...reply, next: index } : reply;
}

/** Returns the requested objects. Omits those that don't exist. */
export function lookUp(
  snapshot: Snapshot,
  request: LookupRequest,
): ObjectsReply {
  const rows: ObjectRow[] = [];
  for (const { kind, name } of request.refs) {
    if (!isConfigKind(kind)) continue;
    const object = snapshot.get(kind, name);
    const base = snapshot.versionOf(kind, name);
    if (object === undefined || base === undefined) continue;
    rows.push({ object: { ...object }, base });
  }
  return { generation: snapshot.generation, rows };
}
