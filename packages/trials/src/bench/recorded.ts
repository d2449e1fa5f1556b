/** Reads and writes the results of the last recorded version.
 *
 * @module
 */
import type { DeploymentName } from "@banyanlb/standins";
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { dirname } from "node:path";
import type { MeasureTable, PolicyResult } from "./policy_part.ts";
import { THIS_VERSION } from "./variants.ts";

/** Name of the last recorded version in tables. */
export const LAST_RECORDED = "last recorded";

/** Contents of the file of recorded results. */
export interface RecordedResults {
  readonly commit: string;
  readonly policies: Partial<Record<DeploymentName, MeasureTable>>;
}

/** Reads the recorded results; `undefined` if the file does not exist. */
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

/** Records the results of this version. Earlier results of deployments that
 * were not run stay. */
export async function writeRecorded(
  file: string,
  options: {
    readonly commit: string;
    readonly results: readonly PolicyResult[];
  },
): Promise<void> {
  const previous_results = await readRecorded(file);
  const rows = options.results.flatMap((result) => {
    const table = result.policies[THIS_VERSION];
    return table === undefined ? [] : [[result.deployment, table] as const];
  });
  const policies = {
    ...previous_results?.policies,
    ...Object.fromEntries(rows),
  };
  const recorded: RecordedResults = { commit: options.commit, policies };
  await mkdir(dirname(file), { recursive: true });
  await writeFile(file, `${JSON.stringify(recorded, null, 2)}\n`);
}
