/** Commands on objects: `check`, `diff`, `apply` and `get`.
 *
 * @module
 */
import { checkChange, Snapshot } from "@banyanlb/published";
import {
  findDifferences,
  readBaseFile,
  selectChanged,
  toEdits,
} from "./changes.ts";
import type { Session } from "./session.ts";
import { EXIT, type ExitCode } from "./constants.ts";
import { CtlError, publishError } from "./ctl_error.ts";
import { formatFaults } from "./jsonc_file.ts";
import {
  type FileEntry,
  locateViolations,
  readObjectFiles,
} from "./object_files.ts";
import { readKind, readObjects } from "./published_objects.ts";

function readFiles(files: readonly string[]): readonly FileEntry[] {
  if (files.length === 0) throw new CtlError(EXIT.usage, "name a file");
  const entries = readObjectFiles(files);
  if (entries.isOk()) return entries.value;
  throw new CtlError(EXIT.invalid, formatFaults(entries.error));
}

/** `check FILE...`: checks files without a connection to a server. With
 * `whole`, also checks that the files together form a complete set of
 * objects. */
export function runCheck(
  session: Session,
  files: readonly string[],
  whole: boolean,
): Promise<ExitCode> {
  const entries = readFiles(files);
  const put = entries.flatMap((e) => e.object === undefined ? [] : [e.object]);
  if (whole) {
    const change = { generation: 1, put, remove: [], at_ms: 0 };
    const checked = checkChange(Snapshot.empty(), change);
    if (checked.isErr()) {
      const faults = locateViolations(entries, checked.error);
      throw new CtlError(EXIT.invalid, formatFaults(faults));
    }
  }
  session.result({
    files: files.length,
    objects: entries.length,
    faults: 0,
  });
  return Promise.resolve(EXIT.ok);
}

/** `diff FILE...`: prints what `apply` would change. */
export async function runDiff(
  session: Session,
  files: readonly string[],
): Promise<ExitCode> {
  const entries = readFiles(files);
  const connection = await session.connect();
  const progress = session.createProgress("comparing objects");
  const published = await readObjects(connection, entries, progress);
  const differences = findDifferences(entries, published);
  session.rows(differences.map(({ fields, ...rest }) => ({
    ...rest,
    fields: fields.join("; "),
  })));
  return differences.length === 0 ? EXIT.ok : EXIT.differs;
}

/** Options of `apply`. */
export interface ApplyOptions {
  /** File with the object versions that the change is based on. */
  readonly base: string | undefined;
  /** Only check the change against the published set; publish nothing. */
  readonly dry_run: boolean;
}

/** `apply FILE...`: publishes the files as one change. */
export async function runApply(
  session: Session,
  files: readonly string[],
  options: ApplyOptions,
): Promise<ExitCode> {
  const entries = readFiles(files);
  const recorded = readBaseFile(options.base);
  const connection = await session.connect();
  const progress = session.createProgress("reading versions");
  const published = await readObjects(connection, entries, progress);
  const edits = toEdits(
    selectChanged(entries, published),
    { recorded, published },
  );
  const count = edits.put.length + edits.remove.length;
  if (count === 0) {
    session.result({ put: 0, removed: 0 });
    return EXIT.ok;
  }
  const reply = options.dry_run
    ? await connection.read((calls) => calls.check.query(edits))
    : await connection.write((calls) => calls.publish.mutate(edits));
  if (reply.error !== undefined) {
    const located = locateViolations(entries, reply.error.violations ?? []);
    const error = publishError({ ...reply.error, violations: [] });
    const lines = [error.message, formatFaults(located)].filter((l) =>
      l !== ""
    );
    throw new CtlError(error.exit_code, lines.join("\n"));
  }
  session.result({
    put: edits.put.length,
    removed: edits.remove.length,
    ...(options.dry_run ? {} : { generation: reply.generation }),
  });
  return EXIT.ok;
}

/** `get KIND [NAME]`: prints published objects with their versions. */
export async function runGet(
  session: Session,
  kind: string,
  name: string | undefined,
): Promise<ExitCode> {
  const connection = await session.connect();
  const progress = session.createProgress("reading objects");
  const rows = name === undefined
    ? await readKind(connection, kind, progress)
    : [...(await readObjects(connection, [{ kind, name }], progress)).values()];
  if (name !== undefined && rows.length === 0) {
    throw new CtlError(
      EXIT.not_found,
      `there is no ${kind} ${name}; list them with get ${kind}`,
    );
  }
  session.rows(rows.map((row) => ({ ...row.object, base: row.base })));
  return EXIT.ok;
}
