/** Judges the status of a response.
 *
 * @module
 */

/** The lowest and the highest status of an answer. */
const ANSWER_STATUS_MIN = 200;
const ANSWER_STATUS_MAX = 599;

/** Whether a status can be that of an answer. HTTP parsers let any three digits
 * pass, such as 000; a response with another status says nothing about the request,
 * which may have run. Interim statuses (1xx) are no answers either.
 *
 * Source: RFC 9110, section 15.
 *
 * @example
 * ```ts
 * isAnswerStatus(404); // true
 * isAnswerStatus(0); // false
 * ```
 */
export function isAnswerStatus(status: number | undefined): boolean {
  return status !== undefined && status >= ANSWER_STATUS_MIN &&
    status <= ANSWER_STATUS_MAX;
}
