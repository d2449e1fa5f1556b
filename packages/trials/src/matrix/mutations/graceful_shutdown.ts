/** Mutations that break the graceful shutdown.
 *
 * @module
 */
import type { Mutation } from "./mutation.ts";

const property = "graceful_shutdown";

/** Mutations of the property. */
export const graceful_shutdown_mutations: readonly Mutation[] = [
  {
    name: "stop_waits_for_no_request",
    property,
    package: "@banyanlb/daemon",
    file: "instance.js",
    find: "this.#caller_server.stopAccepting();\n        await in_flight" +
      ".waitUntilEmpty(settings.shutdown_limit_ms);",
    replace: "this.#caller_server.stopAccepting();",
  },
  {
    name: "stop_is_not_announced",
    property,
    package: "@banyanlb/daemon",
    file: "instance.js",
    find: "async () => (await fleet.setLeaving()).isOk()",
    replace: "() => Promise.resolve(true)",
  },
];
