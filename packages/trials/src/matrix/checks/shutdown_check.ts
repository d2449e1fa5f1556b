/** Checks the responses that callers received while an instance stopped
 * gracefully.
 *
 * @module
 */
import type { SteeringResponse } from "@banyanlb/daemon";
import { bodyOf, type TimedResponse } from "../keep_alive_connection.ts";
import type { Probe } from "../prober.ts";

const STATUS_OK = 200;
const STATUS_ERROR = 400;
const STALE_ERROR = '"type":"stale_configuration"';
const END_MARKER = "data: [DONE]";

/** The response to a request, with the request's name for messages. */
export interface NamedResponse {
  readonly name: string;
  readonly answer: TimedResponse;
}

function isStream(body: string): boolean {
  return body.startsWith("data: ");
}

/** True if a response is successful and complete. */
export function isServed(answer: TimedResponse): boolean {
  if (answer.status !== STATUS_OK || !answer.ended) return false;
  const body = bodyOf(answer);
  return !isStream(body) || body.includes(END_MARKER);
}

/** True if a response is an explicit refusal, as opposed to a connection that
 * broke off. A stream that the instance ended because it could no longer verify
 * the key has an error of that type as its last event. */
function isRefused(answer: TimedResponse): boolean {
  if (!answer.ended) return false;
  return answer.status >= STATUS_ERROR ||
    bodyOf(answer).includes(STALE_ERROR);
}

/** Finds requests that were cut off and, if `must_serve` is true, refused
 * ones. */
export function checkCutRequests(
  rows: readonly NamedResponse[],
  must_serve: boolean,
): readonly string[] {
  return rows.flatMap(({ name, answer }) => {
    if (isServed(answer)) return [];
    if (!isRefused(answer)) {
      const body_end = bodyOf(answer).slice(-80);
      return [`${name}: was cut off (status ${answer.status}: ${body_end})`];
    }
    if (!must_serve) return [];
    return [`${name}: was refused: ${bodyOf(answer)}`];
  });
}

/** Finds steering responses that were requested after `from_ms` and still list
 * the instance. */
export function checkSteering(
  probes: readonly Probe[],
  options: { readonly url: string; readonly from_ms: number },
): readonly string[] {
  const { url, from_ms } = options;
  const late = probes.filter(({ answer }) => {
    if (answer.status !== STATUS_OK || answer.sent_ms < from_ms) return false;
    const { addresses } = JSON.parse(bodyOf(answer)) as SteeringResponse;
    return addresses.some((address) => address.url === url);
  });
  const last = late.at(-1);
  if (last === undefined) return [];
  const late_ms = (last.answer.sent_ms - from_ms).toFixed(0);
  return [
    `${late.length} steering responses listed the stopping instance, ` +
    `the last ${late_ms} ms after the bound`,
  ];
}
