/** Answers operators who ask where a request would go now from this instance.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type ChoiceExplanation,
  explainChoice,
  formatExplanation,
  type WeightedService,
} from "@banyanlb/serving";
import { requirementsOf } from "./engine_requirements.ts";
import type { RelayDependencies } from "./relay_dependencies.ts";

/** Path of the question, beside the metrics. */
export const EXPLAIN_PATH = "/explain";

/** Time that a request has left if the question does not say, in
 * milliseconds. */
const USUAL_DEADLINE_MS = 10_000;

/** The parts of the request path that the endpoint asks. */
export type ExplainDependencies = Pick<
  RelayDependencies,
  | "routeTable"
  | "chooser"
  | "selectionContextAt"
  | "versionOf"
  | "oldestVersionOf"
  | "crashProtection"
>;

/** Where a request would go, for one of its route's services. */
export interface ServiceExplanation extends WeightedService {
  readonly choice: ChoiceExplanation;
}

/** The answer to a question. */
export interface RequestExplanation {
  readonly configuration: number;
  readonly route: string;
  readonly workspace: string | undefined;
  /** The regions in which the request may be served; null for any. */
  readonly homes: readonly string[] | null;
  readonly services: readonly ServiceExplanation[];
  /** Prompt parts and whole requests that are held at present: a request that is
   * one of them, or has one, would be refused. */
  readonly held: readonly Readonly<Record<string, unknown>>[];
}

/** Why there is no answer. */
export interface ExplainError {
  readonly error: string;
  readonly remedy: string;
}

/** Explains a request that is described by the query of `target`: `host`, `path`,
 * and if they matter `workspace`, `model`, `adapter` and `deadline_ms`. Nothing is
 * sent or counted.
 *
 * @example
 * ```ts
 * explainRequest(deps, "/explain?host=api.example&path=/chat/1");
 * ```
 */
export function explainRequest(
  deps: ExplainDependencies,
  target: string,
): RequestExplanation | ExplainError {
  const query = new URL(target, "http://localhost").searchParams;
  const table = deps.routeTable();
  if (table === undefined) {
    return {
      error: "this instance has no configuration yet",
      remedy: "ask again, or ask another instance",
    };
  }
  const host = query.get("host") ?? "";
  const path = query.get("path") ?? "/";
  const route = table.findRoute(host, path);
  if (route === undefined) {
    return {
      error: `no route for host "${host}" and path "${path}"`,
      remedy: "name host and path as a caller would",
    };
  }
  const name = query.get("workspace") ?? undefined;
  const workspace = table.configuration.workspaces.find((w) => w.name === name);
  if (name !== undefined && workspace === undefined) {
    return {
      error: `no workspace "${name}"`,
      remedy: "name a workspace of the configuration in force, not a key",
    };
  }
  const context = deps.selectionContextAt(performance.now());
  const model = query.get("model") ?? undefined;
  const adapter = query.get("adapter") ?? undefined;
  const homes = table.homeRegionsOf(route, workspace);
  const timeLeftMs = Math.min(
    Number(query.get("deadline_ms")) || USUAL_DEADLINE_MS,
    route.timeoutMs,
  );
  return {
    configuration: table.configuration.version,
    route: route.name,
    workspace: workspace?.name,
    homes: homes === undefined ? null : [...homes],
    services: route.services.map(({ service, weight }) => ({
      service,
      weight,
      choice: explainChoice(
        deps.chooser,
        requirementsOf(deps, {
          service,
          model,
          adapter,
          excludedEngines: new Set(),
          homes,
          timeLeftMs,
        }),
        context,
      ),
    })),
    held: deps.crashProtection.held(),
  };
}

/** Serves a question: JSON, or text if the query has `text`. */
export function serveExplanation(
  deps: ExplainDependencies,
  req: IncomingMessage,
  res: ServerResponse,
): void {
  const target = req.url ?? "";
  const answer = explainRequest(deps, target);
  const isError = "error" in answer;
  const asText = new URL(target, "http://localhost").searchParams.has("text");
  res.statusCode = isError ? 404 : 200;
  res.setHeader("content-type", asText ? "text/plain" : "application/json");
  res.end(
    asText ? formatAnswer(answer) : `${JSON.stringify(answer, undefined, 2)}\n`,
  );
}

function formatAnswer(answer: RequestExplanation | ExplainError): string {
  if ("error" in answer) return `${answer.error}; ${answer.remedy}\n`;
  const { configuration, route, workspace, homes, services, held } = answer;
  const binding = homes === null
    ? "any region"
    : homes.length === 0
    ? "no region at all"
    : homes.join(", ");
  return [
    `route ${route}, workspace ${workspace ?? "none"}, configuration ` +
    `${configuration}, may be served in ${binding}`,
    ...services.map(({ service, weight, choice }) =>
      `\nservice ${service} (weight ${weight}): ${formatExplanation(choice)}`
    ),
    ...held.map((fields) =>
      `held, since it crashes engines: ${JSON.stringify(fields)}\n`
    ),
  ].join("\n");
}
