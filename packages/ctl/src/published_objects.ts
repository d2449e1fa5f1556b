/** Reading of published objects from an instance.
 *
 * @module
 */
import type { ObjectRow, ObjectsReply, OperatorRef } from "@banyanlb/daemon";
import type { Connection } from "./connection.ts";
import { LOOKUP_CHUNK_SIZE } from "./constants.ts";
import type { Progress } from "./progress.ts";

/** Reads all objects of a kind, sorted by name. */
export async function readKind(
  connection: Connection,
  kind: string,
  progress: Progress,
): Promise<readonly ObjectRow[]> {
  const rows: ObjectRow[] = [];
  let from: number | undefined = 0;
  while (from !== undefined) {
    const request: { kind: string; from: number } = { kind, from };
    const reply: ObjectsReply = await connection.read((calls) =>
      calls.page.query(request)
    );
    rows.push(...reply.rows);
    from = reply.next;
    progress.step(rows.length);
  }
  return rows.sort((a, b) => a.object.name < b.object.name ? -1 : 1);
}

/** Reads the referenced objects. Returns those that exist, keyed by
 * `KIND/NAME`. */
export async function readObjects(
  connection: Connection,
  refs: readonly OperatorRef[],
  progress: Progress,
): Promise<ReadonlyMap<string, ObjectRow>> {
  const found = new Map<string, ObjectRow>();
  for (let i = 0; i < refs.length; i += LOOKUP_CHUNK_SIZE) {
    const chunk = refs.slice(i, i + LOOKUP_CHUNK_SIZE);
    const chunk_refs = chunk.map(({ kind, name }) => ({ kind, name }));
    const reply: ObjectsReply = await connection.read((calls) =>
      calls.lookup.query({ refs: chunk_refs })
    );
    for (const row of reply.rows) {
      found.set(`${row.object.kind}/${row.object.name}`, row);
    }
    progress.step(i + chunk.length, refs.length);
  }
  return found;
}
