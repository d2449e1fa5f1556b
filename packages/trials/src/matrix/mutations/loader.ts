/** Node.js module hook that applies a mutation to one module's source.
 *
 * @module
 */
import type { LoadHook } from "node:module";
import { pathToFileURL } from "node:url";
import { findMutation } from "./all.ts";
import { mutatedFile, MUTATION_VARIABLE, rewriteSource } from "./mutation.ts";

const mutation = findMutation(process.env[MUTATION_VARIABLE] ?? "");
const mutated_url = pathToFileURL(mutatedFile(mutation)).href;

/** Loads a module; rewrites its source if the mutation applies to it. */
export const load: LoadHook = async (module_url, context, nextLoad) => {
  const module_result = await nextLoad(module_url, context);
  if (module_url !== mutated_url) return module_result;
  const source = rewriteSource(mutation, String(module_result.source));
  return { ...module_result, source };
};
