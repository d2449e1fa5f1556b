/** Mutations that break the isolation of workspaces and callers.
 *
 * @module
 */
import type { Mutation } from "./mutation.ts";

const property = "isolation";

/** Mutations of the property. */
export const isolation_mutations: readonly Mutation[] = [
  {
    name: "key_passed_on",
    property,
    package: "@banyanlb/daemon",
    file: "service_attempt.js",
    find: '"accept-language",',
    replace: '"accept-language", "cookie", "authorization",',
  },
  {
    name: "foreign_version_admitted",
    property,
    package: "@banyanlb/daemon",
    file: "admission.js",
    find: "adapter.workspace !== caller.workspace.name",
    replace: "false",
  },
  {
    name: "foreign_route_admitted",
    property,
    package: "@banyanlb/daemon",
    file: "admission.js",
    find: "caller.workspace.name !== route.workspace",
    replace: "false",
  },
  {
    name: "answer_id_not_checked",
    property,
    package: "@banyanlb/daemon",
    file: "relay.js",
    find: "id === undefined || id === request_id",
    replace: "true",
  },
];
