/** Checks what a leaving target still received.
 *
 * @module
 */
import type { CompletionView } from "../completions.ts";
import { isWhole } from "./answer_check.ts";
import type { TargetRecord } from "./engine_check.ts";

const STATUS_ERROR = 400;

/** Finds requests that a target received after `cutoff_ms`. */
export function checkStartsAfter(
  records: readonly TargetRecord[],
  options: { readonly target: string; readonly cutoff_ms: number },
): readonly string[] {
  const { target, cutoff_ms } = options;
  const target_record = records.find((row) => row.target === target);
  const late = target_record?.record.requests
    .filter(({ start }) => start.mono_ms > cutoff_ms) ?? [];
  const last = late.at(-1);
  if (last === undefined) return [];
  const late_ms = (last.start.mono_ms - cutoff_ms).toFixed(0);
  return [
    `${target}: received ${late.length} requests too late, the last by ${late_ms} ms`,
  ];
}

/** Finds completions whose response was neither complete nor an explicit
 * refusal. */
export function checkCutCompletions(
  views: readonly CompletionView[],
): readonly string[] {
  return views.filter((view) => {
    if (isWhole(view)) return false;
    const { result } = view;
    return result === undefined || !result.whole ||
      result.status < STATUS_ERROR;
  }).map(({ plan }) => `a request on ${plan.route.route} was cut off`);
}
