/** Load estimates of targets, kept by an entry instance.
 *
 * @module
 */
import type { LoadHint, TargetFeedback } from "@banyanlb/core";
import {
  FAILED_TTL_MS,
  HINT_HALF_LIFE_MS,
  TYPICAL_REQUEST_MS,
} from "./constants.ts";

interface LoadRecord {
  /** Load from the owner's last reply that contained it. */
  readonly hint: LoadHint | undefined;
  readonly hint_at: number;
  /** Permit requests of this instance that have no reply yet. */
  readonly asked: number;
  /** Requests of this instance that hold a permit. */
  readonly granted: number;
  /** Requests of this instance that ended since `hint_at`. */
  readonly ended: number;
  readonly failed_until: number;
}

const NO_LOAD: LoadRecord = {
  hint: undefined,
  hint_at: -Infinity,
  asked: 0,
  granted: 0,
  ended: 0,
  failed_until: -Infinity,
};

/** Estimates the load of targets from their owners' last replies and from the
 * requests that this instance sent since. */
export class TargetLoads {
  readonly #records = new Map<string, LoadRecord>();

  /** Records feedback received at `now`. */
  record(feedback: TargetFeedback, now: number): void {
    const previous = this.#recordOf(feedback.target);
    const counted = countFeedback(previous, feedback);
    const has_failed = feedback.kind === "failed" ||
      feedback.kind === "unavailable";
    const hint_fields = feedback.hint === undefined
      ? {}
      : { hint: feedback.hint, hint_at: now, ended: 0 };
    this.#records.set(feedback.target, {
      ...counted,
      ...hint_fields,
      failed_until: has_failed ? now + FAILED_TTL_MS : counted.failed_until,
    });
  }

  /** True for {@linkcode FAILED_TTL_MS} after the target failed or was
   * unavailable. */
  hasFailed(target: string, now: number): boolean {
    return this.#recordOf(target).failed_until > now;
  }

  /** False if the owner's last reply is recent and showed that a load would evict
   * an adapter in use. */
  hasAvailableSlot(target: string, now: number): boolean {
    const record = this.#recordOf(target);
    if (now - record.hint_at > HINT_HALF_LIFE_MS) return true;
    return record.hint?.has_available_slot ?? true;
  }

  /** Estimated wait in the target's queue, in milliseconds. */
  estimateWaitMs(target: string, now: number): number {
    const record = this.#recordOf(target);
    const hint = record.hint;
    if (hint === undefined) return 0;
    const decay = 0.5 ** ((now - record.hint_at) / HINT_HALF_LIFE_MS);
    const reported = Math.max(0, hint.running + hint.waiting - record.ended);
    const load = Math.max(reported * decay, record.granted) + record.asked;
    const excess = load + 1 - hint.max_running;
    return Math.max(0, excess) * TYPICAL_REQUEST_MS / hint.max_running;
  }

  /** Ratio of the target's load to its maximum number of running requests.
   * Breaks ties between targets of equal cost. */
  utilizationOf(target: string, now: number): number {
    const record = this.#recordOf(target);
    const decay = 0.5 ** ((now - record.hint_at) / HINT_HALF_LIFE_MS);
    const reported = (record.hint?.running ?? 0) * decay;
    const max_running = record.hint?.max_running ?? 1;
    return (Math.max(reported, record.granted) + record.asked) / max_running;
  }

  #recordOf(target: string): LoadRecord {
    return this.#records.get(target) ?? NO_LOAD;
  }
}

function countFeedback(
  previous: LoadRecord,
  feedback: TargetFeedback,
): LoadRecord {
  switch (feedback.kind) {
    case "sent":
      return { ...previous, asked: previous.asked + 1 };
    case "granted":
      return {
        ...previous,
        asked: Math.max(0, previous.asked - 1),
        granted: previous.granted + 1,
      };
    case "busy":
    case "unavailable":
      return { ...previous, asked: Math.max(0, previous.asked - 1) };
    case "done":
    case "failed":
      if (previous.granted === 0) {
        return { ...previous, asked: Math.max(0, previous.asked - 1) };
      }
      return {
        ...previous,
        granted: previous.granted - 1,
        ended: previous.ended + 1,
      };
  }
}
