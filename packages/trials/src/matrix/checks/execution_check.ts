/** Checks how often calls to plain services ran, from the services' records and
 * the responses that callers received.
 *
 * @module
 */
import type { ServiceCall } from "@banyanlb/standins";
import type { CallResult } from "../../harness/caller.ts";
import type { World } from "../world.ts";
import { groupBy } from "./group_by.ts";

/** One attempt of a call, as observed by its caller. */
export interface AttemptView {
  /** Idempotency key, shared by all attempts of a call. */
  readonly key: string;
  readonly body: string;
  /** Monotonic time after which the call must not arrive at the service, on the
   * clock of the records. `undefined`: no limit. */
  readonly not_after_ms: number | undefined;
  /** Absent if no response was received. */
  readonly result: CallResult | undefined;
}

/** Executed calls of one idempotency key. */
interface KeyExecutions {
  readonly key: string;
  readonly executed: readonly ServiceCall[];
}

/** Allowance for the network path to the service, in milliseconds. */
const ARRIVAL_SLACK_MS = 100;

/** Reads all calls that the services received. */
export async function readServiceCalls(
  world: World,
): Promise<readonly ServiceCall[]> {
  const records = await Promise.all(
    world.services.map(({ name }) =>
      world.recordsOf<{ readonly calls: readonly ServiceCall[] }>(name)
    ),
  );
  return records.flat().flatMap((record) => record.calls);
}

function executionsOf(
  calls: readonly ServiceCall[],
  key: string,
): KeyExecutions {
  const executed = calls.filter((call) =>
    call.executed !== undefined && call.headers["idempotency-key"] === key
  );
  return { key, executed };
}

function checkNotRun(
  views: readonly AttemptView[],
  { key, executed }: KeyExecutions,
): readonly string[] {
  const claims = views.filter((view) => view.result?.not_run === true);
  if (claims.length < views.length || executed.length === 0) return [];
  return [`${key}: every attempt was answered as "not run", but it ran`];
}

/** Error types which mean that the call may have run. */
const MAY_HAVE_RUN = ["already_taken", "outcome_unknown", "answer_incomplete"];

function checkErrorType({ key, result }: AttemptView): readonly string[] {
  const type = result?.error_type ?? "";
  if (result?.not_run !== true || !MAY_HAVE_RUN.includes(type)) return [];
  return [`${key}: ${type} was answered as "not run"`];
}

function checkBody(
  view: AttemptView,
  { key, executed }: KeyExecutions,
): readonly string[] {
  const { result } = view;
  if (result === undefined || !result.whole || result.status !== 200) {
    return [];
  }
  const bodies = executed.map((call) => call.body);
  if (bodies.length === 0) return [`${key}: answered, but it never ran`];
  const response_body = JSON.parse(result.body) as { readonly body?: string };
  if (response_body.body === view.body) return [];
  return [`${key}: the answer belongs to another call`];
}

function checkDeadline(
  views: readonly AttemptView[],
  { key, executed }: KeyExecutions,
): readonly string[] {
  const limits_ms = views.map((view) => view.not_after_ms ?? Infinity);
  const latest_ms = Math.max(...limits_ms) + ARRIVAL_SLACK_MS;
  return executed.filter((call) => call.received.mono_ms > latest_ms).map(
    (call) => {
      const late_ms = call.received.mono_ms - latest_ms;
      return `${key}: ran ${late_ms.toFixed(0)} ms after its deadline`;
    },
  );
}

function checkHeaders(calls: readonly ServiceCall[]): readonly string[] {
  return calls.flatMap(({ headers }) =>
    ["authorization", "x-api-key"].filter((name) => name in headers)
      .map((name) => `a service received the header ${name}`)
  );
}

/** Finds duplicate executions, false "not run" claims, executions after the
 * deadline, responses of other calls, and key headers that were passed on. */
export function checkExecutions(
  views: readonly AttemptView[],
  calls: readonly ServiceCall[],
): readonly string[] {
  const by_key = groupBy(views, (view) => view.key);
  const found = [...by_key].flatMap(([key, attempts]) => {
    const executions = executionsOf(calls, key);
    const count = executions.executed.length;
    return [
      ...(count > 1 ? [`${key}: ran ${count} times`] : []),
      ...checkNotRun(attempts, executions),
      ...attempts.flatMap(checkErrorType),
      ...attempts.flatMap((view) => checkBody(view, executions)),
      ...checkDeadline(attempts, executions),
    ];
  });
  return [...found, ...checkHeaders(calls)];
}
