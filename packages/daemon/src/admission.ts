/** Authenticates callers and authorizes the routes and versions they call.
 *
 * @module
 */
import {
  type Adapter,
  hashKey,
  type Key,
  Refusal,
  type RequestClass,
  type Route,
  type Version,
  type Workspace,
} from "@banyanlb/core";
import type { Snapshot } from "@banyanlb/published";
import type { IncomingMessage } from "node:http";
import { REQUEST_TIMEOUT_MS } from "./constants.ts";

const BEARER = /^Bearer\s+(\S+)\s*$/i;

/** The identity behind a call, as given by its API key. */
export interface Caller {
  /** SHA-256 hash of the key. Absent for a call without a key, which only open
   * routes accept. */
  readonly key_sha256: string | undefined;
  /** Workspace that the key belongs to. Absent for a call without a key. */
  readonly workspace: Workspace | undefined;
}

/** A version that the caller is authorized to use, with the limits of the
 * call. */
export interface AdmittedModel {
  readonly version: Version;
  readonly adapter: Adapter;
  /** Workspace whose token rate is charged for the call. */
  readonly workspace: Workspace;
  readonly class: RequestClass;
  readonly timeout_ms: number;
}

/** A plain service that the caller is authorized to use, with the limits of
 * the call. */
export interface AdmittedService {
  readonly route: Route;
  readonly pool: string;
  readonly repeatable: boolean;
  readonly workspace: Workspace;
  readonly class: RequestClass;
  readonly timeout_ms: number;
}

/** Reads the API key of a request. The key must never be logged or forwarded
 * to a target. */
function readKey(req: IncomingMessage): string | undefined {
  const bearer = BEARER.exec(req.headers.authorization ?? "")?.[1];
  if (bearer !== undefined) return bearer;
  const api_key = req.headers["x-api-key"];
  return typeof api_key === "string" && api_key !== "" ? api_key : undefined;
}

function createRefusal(
  kind: "unauthorized" | "forbidden" | "unknown_model" | "unknown_route",
  message: string,
): Refusal {
  return new Refusal(kind, { message, not_run: true });
}

/** Looks up the workspace of the request's key. Throws a {@linkcode Refusal}
 * if the request has a key that is not valid. */
export function identifyCaller(
  snapshot: Snapshot,
  req: IncomingMessage,
): Caller {
  const presented_key = readKey(req);
  if (presented_key === undefined) {
    return { key_sha256: undefined, workspace: undefined };
  }
  const key_sha256 = hashKey(presented_key);
  const key: Key | undefined = snapshot.keyBySha256(key_sha256);
  if (key === undefined) {
    throw createRefusal(
      "unauthorized",
      "the key is not known or was withdrawn",
    );
  }
  return { key_sha256, workspace: snapshot.get("workspace", key.workspace) };
}

function findBilledWorkspace(
  snapshot: Snapshot,
  options: { readonly caller: Caller; readonly route: Route },
): Workspace {
  const { caller, route } = options;
  if (route.open !== true) {
    if (caller.workspace === undefined) {
      throw createRefusal("unauthorized", `route ${route.name} needs a key`);
    }
    if (caller.workspace.name !== route.workspace) {
      const message = `route ${route.name} belongs to another workspace`;
      throw createRefusal("forbidden", message);
    }
  }
  const workspace = caller.workspace ??
    snapshot.get("workspace", route.workspace);
  if (workspace !== undefined) return workspace;
  throw createRefusal("unknown_route", `route ${route.name} has no workspace`);
}

function admitVersion(
  snapshot: Snapshot,
  options: { readonly caller: Caller; readonly name: string },
): AdmittedModel {
  const { caller, name } = options;
  const version = snapshot.get("version", name);
  const adapter = version && snapshot.get("adapter", version.adapter);
  if (caller.workspace === undefined) {
    throw createRefusal("unauthorized", "a version is called with a key");
  }
  // The same refusal for a version that does not exist and one of another
  // workspace, so that callers cannot probe for names.
  if (
    version === undefined || adapter === undefined ||
    adapter.workspace !== caller.workspace.name
  ) {
    throw createRefusal(
      "unknown_model",
      `no version ${name} in your workspace`,
    );
  }
  return {
    version,
    adapter,
    workspace: caller.workspace,
    class: "interactive",
    timeout_ms: REQUEST_TIMEOUT_MS,
  };
}

/** Resolves `name`, the name of a route or `ADAPTER@VERSION`, to a version.
 * Throws a {@linkcode Refusal} if it does not exist or the caller may not use
 * it. */
export function admitModel(
  snapshot: Snapshot,
  options: { readonly caller: Caller; readonly name: string },
): AdmittedModel {
  const { caller, name } = options;
  if (name.includes("@")) return admitVersion(snapshot, options);
  const route = snapshot.get("route", name);
  if (route === undefined || route.serves.type !== "version") {
    throw createRefusal("unknown_model", `no model ${name} in your workspace`);
  }
  const workspace = findBilledWorkspace(snapshot, { caller, route });
  const version = snapshot.get("version", route.serves.version);
  const adapter = version && snapshot.get("adapter", version.adapter);
  if (version === undefined || adapter === undefined) {
    throw createRefusal(
      "unknown_model",
      `route ${name} leads to no version`,
    );
  }
  return {
    version,
    adapter,
    workspace,
    class: route.class ?? "interactive",
    timeout_ms: route.timeout_ms ?? REQUEST_TIMEOUT_MS,
  };
}

/** Resolves a route to its plain service. Throws a {@linkcode Refusal} if it
 * does not exist or the caller may not use it. */
export function admitService(
  snapshot: Snapshot,
  options: { readonly caller: Caller; readonly name: string },
): AdmittedService {
  const { caller, name } = options;
  const route = snapshot.get("route", name);
  if (route === undefined || route.serves.type !== "service") {
    throw createRefusal("unknown_route", `no service ${name}`);
  }
  return {
    route,
    pool: route.serves.pool,
    repeatable: route.serves.repeatable,
    workspace: findBilledWorkspace(snapshot, { caller, route }),
    class: route.class ?? "interactive",
    timeout_ms: route.timeout_ms ?? REQUEST_TIMEOUT_MS,
  };
}
