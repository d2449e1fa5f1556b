/** Comparison of object files with the published set, and the edits that apply
 * the files.
 *
 * @module
 */
import type { EditsMessage, ObjectRow } from "@banyanlb/daemon";
import { isDeepStrictEqual } from "node:util";
import { EXIT } from "./constants.ts";
import { CtlError } from "./ctl_error.ts";
import { formatFaults, readJsonc } from "./jsonc_file.ts";
import type { FileEntry } from "./object_files.ts";

/** The effect of a file entry on one published object. */
export interface Difference {
  readonly action: "add" | "change" | "remove";
  readonly kind: string;
  readonly name: string;
  /** The fields that differ, each formatted as `NAME: OLD -> NEW`. */
  readonly fields: readonly string[];
}

/** Returns the effects of applying the entries. Entries that change nothing are
 * left out. */
export function findDifferences(
  entries: readonly FileEntry[],
  published: ReadonlyMap<string, ObjectRow>,
): readonly Difference[] {
  return entries.flatMap((entry): readonly Difference[] => {
    const { kind, name, object } = entry;
    const current = published.get(`${kind}/${name}`)?.object;
    const id = { kind, name };
    if (object === undefined) {
      if (current === undefined) return [];
      return [{ ...id, action: "remove", fields: [] }];
    }
    if (current === undefined) return [{ ...id, action: "add", fields: [] }];
    if (isDeepStrictEqual({ ...object }, { ...current })) return [];
    return [{
      ...id,
      action: "change",
      fields: compareFields(current, object),
    }];
  });
}

/** Returns the entries that would change the published set. */
export function selectChanged(
  entries: readonly FileEntry[],
  published: ReadonlyMap<string, ObjectRow>,
): readonly FileEntry[] {
  return entries
    .filter((entry) => findDifferences([entry], published).length > 0);
}

function compareFields(before: object, after: object): readonly string[] {
  const old_fields = new Map<string, unknown>(Object.entries(before));
  const new_fields = new Map<string, unknown>(Object.entries(after));
  const names = new Set([...old_fields.keys(), ...new_fields.keys()]);
  return [...names]
    .filter((name) =>
      !isDeepStrictEqual(old_fields.get(name), new_fields.get(name))
    )
    .map((name) =>
      `${name}: ${JSON.stringify(old_fields.get(name))} -> ` +
      JSON.stringify(new_fields.get(name))
    );
}

/** Returns the edits that apply the entries. The base version of each edit is
 * taken from its file entry, else from the base file (`recorded`), else from
 * the published set. */
export function toEdits(
  entries: readonly FileEntry[],
  bases: {
    readonly recorded: ReadonlyMap<string, number | null>;
    readonly published: ReadonlyMap<string, ObjectRow>;
  },
): EditsMessage {
  const put: EditsMessage["put"][number][] = [];
  const remove: EditsMessage["remove"][number][] = [];
  for (const { kind, name, object, base: file_base } of entries) {
    const id = `${kind}/${name}`;
    const recorded = file_base === undefined
      ? bases.recorded.get(id)
      : file_base;
    const current = bases.published.get(id)?.base ?? null;
    const base = recorded === undefined ? current : recorded;
    if (object !== undefined) {
      put.push({ object: { ...object }, base });
    } else if (base !== null) {
      remove.push({ kind, name, base });
    }
  }
  return { put, remove };
}

/** Reads the base versions, keyed by `KIND/NAME`, from a file with the output
 * of `get --output json`. Throws a {@linkcode CtlError} if the file is
 * invalid. */
export function readBaseFile(
  file: string | undefined,
): ReadonlyMap<string, number | null> {
  if (file === undefined) return new Map();
  const read = readJsonc(file);
  if (read.isErr()) throw new CtlError(EXIT.invalid, formatFaults(read.error));
  const value = read.value.value;
  const rows: readonly unknown[] = Array.isArray(value) ? value : [value];
  return new Map(rows.map((row, i) => {
    const { kind, name, base } = (row ?? {}) as Readonly<
      Record<string, unknown>
    >;
    if (typeof base === "number") return [`${kind}/${name}`, base];
    const fault = read.value.faultAt(
      `/${i}/base`,
      "has no version; use the output of get --output json",
    );
    throw new CtlError(EXIT.invalid, formatFaults([fault]));
  }));
}
