/** Checks the completions that callers received against the expected text.
 *
 * @module
 */
import type { EngineRequestRecord } from "@banyanlb/standins";
import {
  type CompletionView,
  expectedTexts,
  promptTokens,
  textOf,
} from "../completions.ts";

const STATUS_OK = 200;

/** Options of `checkAnswers`. */
export interface AnswerCheckOptions {
  /** Versions that a route may serve, for routes that the trial changes.
   * `undefined`: the version of the plan's route. */
  readonly versionsOf?: (route: string) => readonly string[] | undefined;
}

/** True if the response is successful and, to its caller, complete. */
export function isWhole({ result }: CompletionView): boolean {
  return result !== undefined && result.status === STATUS_OK && result.whole;
}

function describeCompletion({ plan }: CompletionView): string {
  const { route, stream } = plan;
  const mode = stream ? "streamed" : "plain";
  return `${route.route} (${promptTokens(plan)} prompt tokens, ${mode})`;
}

function checkText(
  view: CompletionView,
  options: AnswerCheckOptions,
): readonly string[] {
  const versions = options.versionsOf?.(view.plan.route.route);
  const expected = expectedTexts(view.plan, versions);
  const text = textOf(view);
  if (expected.includes(text)) return [];
  const is_truncated = expected.some((whole) => whole.startsWith(text));
  const defect = is_truncated ? "shortened" : "foreign";
  return [
    `${describeCompletion(view)}: a ${defect} answer was delivered as whole`,
  ];
}

/** Checks that the complete events of a broken stream form a prefix of an
 * expected text. */
function checkPartialText(
  view: CompletionView,
  options: AnswerCheckOptions,
): readonly string[] {
  const { plan, result } = view;
  if (result === undefined || result.status !== STATUS_OK) return [];
  if (!plan.stream) return [];
  const versions = options.versionsOf?.(plan.route.route);
  const last_event_end = result.body.lastIndexOf("\n\n");
  const whole_events = {
    ...result,
    body: result.body.slice(0, Math.max(0, last_event_end)),
  };
  const text = textOf({ ...view, result: whole_events });
  const is_prefix = expectedTexts(plan, versions)
    .some((whole) => whole.startsWith(text));
  return is_prefix
    ? []
    : [`${describeCompletion(view)}: received part of another answer`];
}

/** Finds wrong and shortened texts in responses that appear complete, and
 * wrong texts in incomplete ones. */
export function checkAnswers(
  views: readonly CompletionView[],
  options: AnswerCheckOptions = {},
): readonly string[] {
  return views.flatMap((view) =>
    isWhole(view) ? checkText(view, options) : checkPartialText(view, options)
  );
}

/** Finds completions that ran on an engine although the response claimed "not
 * run". Requests are matched by prompt length, so each prompt must have a
 * distinct length. */
export function checkNotRunClaims(
  views: readonly CompletionView[],
  requests: readonly EngineRequestRecord[],
): readonly string[] {
  const claims = views.filter((view) => view.result?.not_run === true);
  return claims.filter((view) =>
    requests.some((request) =>
      request.ran && request.prompt_tokens === promptTokens(view.plan) &&
      request.version === view.plan.route.version
    )
  ).map((view) => {
    const kind = view.result?.error_type;
    return `${
      describeCompletion(view)
    }: ${kind} was answered as "not run", but it ran`;
  });
}
