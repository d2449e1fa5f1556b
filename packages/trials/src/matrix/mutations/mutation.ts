/** Named source mutations, each of which disables one mechanism of the daemons.
 * They are applied when a daemon loads the module.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";

/** Replaces one piece of a built module's source. */
export interface Mutation {
  readonly name: string;
  /** Property that it must break in at least one cell. */
  readonly property: string;
  /** Package of the module, e.g. `@banyanlb/intent`. */
  readonly package: string;
  /** Built module to rewrite, relative to the package's main module. */
  readonly file: string;
  /** Text that occurs exactly once in the module. */
  readonly find: string;
  /** Text that replaces `find`. */
  readonly replace: string;
}

/** Environment variable with the name of the mutation that a daemon loads. */
export const MUTATION_VARIABLE = "BANYANLB_MUTATION";

const require = createRequire(import.meta.url);

/** Returns the path of the module that a mutation rewrites. */
export function mutatedFile(mutation: Mutation): string {
  return join(dirname(require.resolve(mutation.package)), mutation.file);
}

/** Applies a mutation to a module's source. Throws unless `find` occurs exactly
 * once. */
export function rewriteSource(mutation: Mutation, source: string): string {
  const parts = source.split(mutation.find);
  if (parts.length === 2) return parts.join(mutation.replace);
  throw new Error(
    `mutation ${mutation.name} matches ${parts.length - 1} places of ` +
      `${mutation.file}, not one; adapt its text`,
  );
}

/** Checks that a mutation matches its built module. Throws otherwise. */
export function checkMutation(mutation: Mutation): void {
  rewriteSource(mutation, readFileSync(mutatedFile(mutation), "utf8"));
}

/** Returns the environment variables that make a daemon load a mutation. Throws
 * if the mutation does not match its built module. */
export function mutationEnvironment(
  mutation: Mutation,
): Readonly<Record<string, string>> {
  checkMutation(mutation);
  const built = dirname(require.resolve("@banyanlb/trials"));
  const hook = join(built, "matrix", "mutations", "register.js");
  return {
    NODE_OPTIONS: `--import ${hook}`,
    [MUTATION_VARIABLE]: mutation.name,
  };
}
