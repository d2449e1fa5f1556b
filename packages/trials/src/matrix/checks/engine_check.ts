/** Checks what engines received: versions, workspaces, headers and evictions.
 *
 * @module
 */
import type { EngineRecord, EngineRequestRecord } from "@banyanlb/standins";
import type { World } from "../world.ts";

const KEY_HEADERS = ["authorization", "x-api-key", "cookie"];

/** The record of one process of an engine. */
export interface TargetRecord {
  readonly target: string;
  readonly record: EngineRecord;
}

/** Reads the records of all engines, including those of crashed processes. */
export async function readEngines(
  world: World,
): Promise<readonly TargetRecord[]> {
  const rows = world.engines.map(async ({ name }) => {
    const records = await world.recordsOf<EngineRecord>(name);
    return records.map((record) => ({ target: name, record }));
  });
  return (await Promise.all(rows)).flat();
}

/** Returns the requests in all records. */
export function requestsOf(
  records: readonly TargetRecord[],
): readonly EngineRequestRecord[] {
  return records.flatMap(({ record }) => record.requests);
}

function checkEvictions({ target, record }: TargetRecord): readonly string[] {
  const orders = record.orders.filter((order) => order.in_use > 0)
    .map((order) =>
      `${target}: ${order.name} was evicted in use by ${order.in_use}`
    );
  const requests = record.requests
    .filter((request) => request.outcome === "evicted")
    .map((request) => `${target}: a request on ${request.version} was evicted`);
  return [...orders, ...requests];
}

function checkHeaders({ target, record }: TargetRecord): readonly string[] {
  return record.requests.flatMap(({ headers }) =>
    KEY_HEADERS.filter((name) => name in headers)
      .map((name) => `${target}: received the header ${name}`)
  );
}

/** Checks that each version ran only for the workspace that owns it. */
function checkWorkspaces(
  { target, record }: TargetRecord,
  owners: ReadonlyMap<string, string>,
): readonly string[] {
  return record.requests.filter(({ ran }) => ran).flatMap((request) => {
    const { version, workspace } = request;
    const owner = owners.get(version.split("@")[0] ?? "");
    if (owner === workspace) return [];
    return [`${target}: ${version} of ${owner} ran for ${workspace}`];
  });
}

/** Finds evictions of adapters in use, versions that ran for another workspace,
 * and key headers that were passed on. */
export function checkEngines(
  world: World,
  records: readonly TargetRecord[],
): readonly string[] {
  const owners = new Map(
    world.cluster.objects.routes.map((r) => [r.route, r.workspace]),
  );
  return records.flatMap((row) => [
    ...checkEvictions(row),
    ...checkHeaders(row),
    ...checkWorkspaces(row, owners),
  ]);
}
