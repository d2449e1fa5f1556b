/** The command that asks an instance where a request would go now.
 *
 * @module
 */
import { EXPLAIN_PATH } from "./explain_endpoint.ts";

/** Options of the command. */
export interface ExplainOptions {
  /** URL of the instance's metrics. */
  readonly at?: string;
  readonly host?: string;
  readonly path?: string;
  readonly workspace?: string;
  readonly model?: string;
  readonly adapter?: string;
  readonly deadline?: number;
  readonly json?: boolean;
}

/** Time within which the instance must answer, in milliseconds. */
const TIMEOUT_MS = 5000;

/** The URL of the question.
 *
 * @example
 * ```ts
 * explainUrl({ at: "http://10.0.0.1:7600", host: "api.example", path: "/a/" });
 * ```
 * @throws {Error} if an option is missing or no URL.
 */
export function explainUrl(options: ExplainOptions): URL {
  const { at, host, path, workspace, model, adapter, deadline, json } = options;
  if (at === undefined || host === undefined || path === undefined) {
    throw new Error(
      "name the instance with --at URL, and the request with --host and --path",
    );
  }
  const url = new URL(EXPLAIN_PATH, at);
  const query = {
    host,
    path,
    workspace,
    model,
    adapter,
    deadline_ms: deadline === undefined ? undefined : String(deadline),
    text: json === true ? undefined : "1",
  };
  for (const [name, value] of Object.entries(query)) {
    if (value !== undefined) url.searchParams.set(name, value);
  }
  return url;
}

/** Asks an instance and prints its answer. Returns whether there was one. */
export async function runExplain(options: ExplainOptions): Promise<boolean> {
  const response = await fetch(explainUrl(options), {
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  const text = await response.text();
  if (response.ok) process.stdout.write(text);
  else process.stderr.write(text);
  return response.ok;
}
