/** Completions that callers of a trial request, and their results.
 *
 * @module
 */
import {
  countPromptTokens,
  expectedText,
  monotonicMs,
  type PlannedRoute,
} from "@banyanlb/standins";
import type { CallResult } from "../harness/caller.ts";
import type { World } from "./world.ts";

/** One completion to request. */
export interface CompletionPlan {
  readonly route: PlannedRoute;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly stream: boolean;
  /** Index of the instance that the caller sends the request to. */
  readonly entry: number;
  readonly timeout_ms?: number;
  /** Value of the `x-deadline-ms` header; absent: no header. */
  readonly deadline_ms?: number;
}

/** One completion as observed by its caller. */
export interface CompletionView {
  readonly plan: CompletionPlan;
  /** Monotonic time at which the request was sent. */
  readonly sent_ms: number;
  /** Absent if no response was received. */
  readonly result: CallResult | undefined;
}

const PATH = "/v1/completions";
const DEFAULT_TIMEOUT_MS = 20_000;
const CHARS_PER_TOKEN = 4;
const DATA_PREFIX = "data: ";

/** Returns a prompt of exactly `tokens` tokens. The length identifies the
 * request in the records of an engine. */
export function promptOf(tokens: number): string {
  return "toll".repeat(tokens).slice(0, tokens * CHARS_PER_TOKEN);
}

/** Counts the tokens of a plan's prompt. */
export function promptTokens(plan: CompletionPlan): number {
  return countPromptTokens(plan.prompt);
}

/** Sends one completion to the plan's instance. Never throws. */
export async function sendCompletion(
  world: World,
  plan: CompletionPlan,
): Promise<CompletionView> {
  const { route, prompt, max_tokens, stream } = plan;
  const sent_ms = monotonicMs();
  const result = await world.caller.call({
    path: PATH,
    key: world.cluster.keyOf(route.workspace),
    url: world.instance(plan.entry).caller_url,
    body: { model: route.route, prompt, max_tokens, stream },
    headers: plan.deadline_ms === undefined
      ? {}
      : { "x-deadline-ms": String(plan.deadline_ms) },
    timeout_ms: plan.timeout_ms ?? DEFAULT_TIMEOUT_MS,
  }).catch(() => undefined);
  return { plan, sent_ms, result };
}

interface Choice {
  readonly text?: string;
}

function textOfData(data: string): string {
  const value = JSON.parse(data) as { readonly choices?: readonly Choice[] };
  return value.choices?.[0]?.text ?? "";
}

/** Extracts the text of a response, streamed or not. */
export function textOf(view: CompletionView): string {
  const body = view.result?.body ?? "";
  if (!view.plan.stream) return textOfData(body);
  return body.split("\n\n")
    .filter((event) => event.startsWith(`${DATA_PREFIX}{`))
    .map((event) => textOfData(event.slice(DATA_PREFIX.length)))
    .join("");
}

/** Returns the text that each of `versions` generates for a plan. Default: the
 * version of the plan's route. */
export function expectedTexts(
  plan: CompletionPlan,
  versions: readonly string[] = [plan.route.version],
): readonly string[] {
  const { prompt, max_tokens } = plan;
  return versions.map((version) =>
    expectedText({ version, prompt, max_tokens })
  );
}

/** Routes to the adapters of a workspace. */
export function routesOf(
  world: World,
  workspace: string,
): readonly PlannedRoute[] {
  return world.cluster.objects.routes
    .filter((route) => route.workspace === workspace);
}
