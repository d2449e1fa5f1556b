/** Mutations that break the choice of adapter and version, and the protection
 * of adapters in use from eviction.
 *
 * @module
 */
import type { Mutation } from "./mutation.ts";

const property = "right_adapter";

/** Mutations of the property. */
export const right_adapter_mutations: readonly Mutation[] = [
  {
    name: "eviction_ignores_permits",
    property,
    package: "@banyanlb/permits",
    file: "safety_rules.js",
    find: 'facts.status === "loaded" && facts.outstanding === 0 &&',
    replace: 'facts.status === "loaded" &&',
  },
  {
    name: "foreign_workspace_admitted",
    property,
    package: "@banyanlb/daemon",
    file: "admission.js",
    find: "if (caller.workspace.name !== route.workspace) {",
    replace: "if (false) {",
  },
  {
    name: "other_version_sent",
    property,
    package: "@banyanlb/daemon",
    file: "admission.js",
    find: 'snapshot.get("version", route.serves.version)',
    replace: '[...snapshot.list("version")][0]',
  },
];
