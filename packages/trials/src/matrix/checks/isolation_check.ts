/** Checks that targets received no keys and that services ran only for
 * workspaces with access.
 *
 * @module
 */
import type { ServiceCall } from "@banyanlb/standins";
import type { World } from "../world.ts";
import type { TargetRecord } from "./engine_check.ts";

type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

function headersWithKey(headers: Headers, keys: readonly string[]): string[] {
  return Object.entries(headers)
    .filter(([, value]) => keys.some((key) => String(value).includes(key)))
    .map(([name]) => name);
}

/** Finds callers' keys in the headers that targets received. */
export function checkKeys(
  world: World,
  records: readonly TargetRecord[],
  calls: readonly ServiceCall[],
): readonly string[] {
  const keys = world.cluster.objects.keys.map((row) => row.key);
  const at_engines = records.flatMap(({ target, record }) =>
    record.requests.flatMap(({ headers }) =>
      headersWithKey(headers, keys).map((name) => `${target}: a key in ${name}`)
    )
  );
  const at_services = calls.flatMap(({ headers }) =>
    headersWithKey(headers, keys).map((name) => `a service: a key in ${name}`)
  );
  return [...new Set([...at_engines, ...at_services])];
}

/** Finds service calls that ran for a workspace without access. Calls on an
 * open route may run for any caller. */
export function checkServices(
  world: World,
  calls: readonly ServiceCall[],
): readonly string[] {
  const owners = world.cluster.deployment.service_routes
    .filter((route) => route.open !== true)
    .map((route) => route.workspace);
  return calls
    .filter((call) => call.executed !== undefined && call.path === "/orders")
    .filter(({ headers }) => !owners.includes(String(headers["x-workspace"])))
    .map(({ headers }) => `an order ran for ${headers["x-workspace"]}`);
}
