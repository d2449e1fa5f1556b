/** Checks what a withdrawn key could still obtain.
 *
 * @module
 */
import type { TimedResponse } from "../keep_alive_connection.ts";
import type { TargetRecord } from "./engine_check.ts";

const STATUS_OK = 200;

/** True if any event carries a part of the completion. A stream may end with
 * an error event, which does not. */
function isContent(text: string): boolean {
  return text.split("\n\n").some((event) => {
    const data = event.trim();
    return data !== "" && !data.startsWith("event: error") &&
      !data.startsWith('data: {"error"');
  });
}

/** Finds successful responses with parts that arrived after `cutoff_ms`. */
export function checkAnswersAfter(
  answers: readonly TimedResponse[],
  cutoff_ms: number,
): readonly string[] {
  return answers.flatMap(({ status, parts }) => {
    if (status !== STATUS_OK) return [];
    const late = parts
      .filter(({ at_ms, text }) => at_ms > cutoff_ms && isContent(text));
    const last = late.at(-1);
    if (last === undefined) return [];
    const ms = (last.at_ms - cutoff_ms).toFixed(0);
    return [
      `${late.length} parts of an answer arrived up to ${ms} ms too late`,
    ];
  });
}

/** Finds requests of a workspace that engines started after `cutoff_ms` and, if
 * `must_end` is true, requests that were still running then. */
export function checkRunsAfter(
  records: readonly TargetRecord[],
  options: {
    readonly workspace: string;
    readonly cutoff_ms: number;
    readonly must_end: boolean;
  },
): readonly string[] {
  const { workspace, cutoff_ms, must_end } = options;
  return records.flatMap(({ target, record }) =>
    record.requests.filter((request) => request.workspace === workspace)
      .flatMap(({ start, end, ran }) => {
        if (start.mono_ms > cutoff_ms) {
          const ms = (start.mono_ms - cutoff_ms).toFixed(0);
          return [`${target}: a request was sent ${ms} ms too late`];
        }
        const end_ms = end?.mono_ms ?? Infinity;
        if (!must_end || !ran || end_ms <= cutoff_ms) return [];
        return [
          `${target}: a request kept running after the key was withdrawn`,
        ];
      })
  );
}
