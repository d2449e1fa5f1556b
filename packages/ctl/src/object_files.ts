/** Reading of the object files that operators check, compare and apply.
 *
 * @module
 */
import type { ConfigObject, Violation } from "@banyanlb/core";
import {
  checkObject,
  type ConfigKind,
  isConfigKind,
} from "@banyanlb/published";
import { err, ok, type Result } from "neverthrow";
import { type FileFault, type JsoncFile, readJsonc } from "./jsonc_file.ts";

/** An entry of an object file: an object to put or to remove. */
export interface FileEntry {
  readonly kind: ConfigKind;
  readonly name: string;
  /** The object to put; `undefined` if the object is to be removed. */
  readonly object: ConfigObject | undefined;
  /** Version that the entry is based on: `null` for a new object, `undefined`
   * if the file states none. */
  readonly base: number | null | undefined;
  /** Returns a fault at a path within this entry. */
  readonly faultAt: (path: string, message: string) => FileFault;
}

type EntriesResult = Result<readonly FileEntry[], readonly FileFault[]>;

/** Reads object files. Each entry has the fields of a published object, and the
 * optional fields `base` (the version that the entry is based on) and `remove`
 * (true to remove the object), which are not part of the object. */
export function readObjectFiles(files: readonly string[]): EntriesResult {
  const entries: FileEntry[] = [];
  const faults: FileFault[] = [];
  for (const file of files) {
    const read = readJsonc(file).andThen(parseEntries);
    if (read.isOk()) entries.push(...read.value);
    else faults.push(...read.error);
  }
  faults.push(...findDuplicates(entries));
  return faults.length === 0 ? ok(entries) : err(faults);
}

function parseEntries(file: JsoncFile): EntriesResult {
  const rows = Array.isArray(file.value) ? file.value : [file.value];
  const entries: FileEntry[] = [];
  const faults: FileFault[] = [];
  rows.forEach((row: unknown, index) => {
    const prefix = Array.isArray(file.value) ? `/${index}` : "";
    const faultAt = (path: string, message: string) =>
      file.faultAt(`${prefix}${path}`, message);
    const entry = parseEntry(row, faultAt);
    if (entry.isOk()) entries.push(entry.value);
    else faults.push(...entry.error);
  });
  return faults.length === 0 ? ok(entries) : err(faults);
}

function parseEntry(
  row: unknown,
  faultAt: FileEntry["faultAt"],
): Result<FileEntry, readonly FileFault[]> {
  if (typeof row !== "object" || row === null) {
    return err([faultAt("", 'is not an object; write {"kind": ...}')]);
  }
  const { base, remove, ...fields } = row as Readonly<Record<string, unknown>>;
  if (!isBase(base)) {
    const message = "is not a version; copy it from get, or leave it out";
    return err([faultAt("/base", message)]);
  }
  const common = { base, faultAt };
  if (remove === true) {
    const { kind, name } = fields;
    if (typeof name === "string" && isConfigKind(String(kind))) {
      return ok({
        ...common,
        kind: kind as ConfigKind,
        name,
        object: undefined,
      });
    }
    return err([faultAt("", "set kind and name of the object to remove")]);
  }
  return checkObject(fields)
    .map((object) => ({
      ...common,
      kind: object.kind,
      name: object.name,
      object,
    }))
    .mapErr((found) => found.map((v) => toFault(v, faultAt)));
}

function isBase(base: unknown): base is number | null | undefined {
  return base === undefined || base === null || Number.isInteger(base);
}

function toFault(
  violation: Violation,
  faultAt: FileEntry["faultAt"],
): FileFault {
  const message =
    `${violation.message}; correct the field, see docs/OBJECTS.md`;
  return faultAt(violation.path, message);
}

function findDuplicates(entries: readonly FileEntry[]): readonly FileFault[] {
  const seen = new Set<string>();
  const faults: FileFault[] = [];
  for (const entry of entries) {
    const id = `${entry.kind}/${entry.name}`;
    if (seen.has(id)) {
      faults.push(
        entry.faultAt("", `${id} is listed twice; keep one of the two`),
      );
    }
    seen.add(id);
  }
  return faults;
}

/** Converts violations, whose paths start with `KIND/NAME`, to faults at the
 * lines of their entries. A violation of an object that is not in the files is
 * reported at the first entry. */
export function locateViolations(
  entries: readonly FileEntry[],
  violations: readonly Violation[],
): readonly FileFault[] {
  return violations.flatMap(({ path, message }) => {
    const [kind, name, ...rest] = path.split("/");
    const entry = entries.find((e) => e.kind === kind && e.name === name);
    if (entry !== undefined) {
      return [entry.faultAt(rest.map((part) => `/${part}`).join(""), message)];
    }
    const first = entries[0];
    return first === undefined
      ? []
      : [first.faultAt("", `${path}: ${message}`)];
  });
}
