/** The results of the last recorded version.
 *
 * @module
 */
import type { DeploymentName } from "@banyanlb/standins";
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { dirname } from "node:path";
import type { MeasureTable, PolicyResult } from "./policy_part.ts";
import { THIS_VERSION } from "./variants.ts";

/** Name of the recorded version in tables. */
export const LAST_RECORDED = "last recorded";

/** Results on file. */
export interface RecordedResults {
  readonly commit: string;
  readonly policies: Partial<Record<DeploymentName, MeasureTable>>;
}

/** Reads the file; `undefined` if there is none. */
export async function readRecorded(
  file: string,
): Promise<RecordedResults | undefined> {
  try {
    return JSON.parse(await readFile(file, "utf8")) as RecordedResults;
  } catch (cause) {
    if ((cause as NodeJS.ErrnoException).code === "ENOENT") return undefined;
    throw cause;
  }
}

/** Records this version's results. */
export async function writeRecorded(
  file: string,
  options: {
    readonly commit: string;
    readonly results: readonly PolicyResult[];
  },
): Promise<void> {
  const previous = await readRecorded(file);
  const rows = options.results.flatMap((result) => {
    const table = result.policies[THIS_VERSION];
    return table === undefined ? [] : [[result.deployment, table] as const];
  });
  const policies = { ...previous?.policies, ...Object.fromEntries(rows) };
  const recorded: RecordedResults = { commit: options.commit, policies };
  await mkdir(dirname(file), { recursive: true });
  await writeFile(file, `${JSON.stringify(recorded, null, 2)}\n`);
}
