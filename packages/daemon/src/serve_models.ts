/** Serves the list of models that a caller may use.
 *
 * @module
 */
import { setImmediate } from "node:timers/promises";
import { identifyCaller } from "./admission.ts";
import type { Call } from "./caller_server.ts";
import { sendJson } from "./http_response.ts";
import { requireSnapshot, type ServeContext } from "./serve_context.ts";

/** Longest time for which rows are read in one turn of the event loop. */
const GATHER_MS = 5;

/** Handles `GET /v1/models`: the routes and versions of the caller's workspace,
 * and the open routes. */
export async function serveModels(
  ctx: ServeContext,
  call: Call,
): Promise<void> {
  const snapshot = requireSnapshot(ctx);
  const caller = identifyCaller(snapshot, call.req);
  const own = caller.workspace?.name;
  const routes = await gather(snapshot.routesFor(own));
  const versions = own === undefined
    ? []
    : await gather(snapshot.versionsOfWorkspace(own));
  const models = routes.filter((route) => route.serves.type === "version");
  const data = [...models, ...versions].map((object) => ({
    id: object.name,
    object: "model",
    created: 0,
    owned_by: own ?? "open",
  }));
  sendJson(call.res, 200, { body: { object: "list", data } });
}

/** Reads rows over several turns of the event loop, so that a long list does not
 * block other requests. */
async function gather<T>(rows: Iterable<T>): Promise<readonly T[]> {
  const found: T[] = [];
  let since = performance.now();
  for (const row of rows) {
    found.push(row);
    if (performance.now() - since < GATHER_MS) continue;
    await setImmediate();
    since = performance.now();
  }
  return found;
}
