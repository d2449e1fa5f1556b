/** Estimates of the token levels at other holders, kept by an entry instance.
 *
 * @module
 */
import type { Clock } from "@banyanlb/core";
import {
  ESTIMATE_MAX_AGE_MS,
  MS_PER_S,
  NET_RATE_MAX_GAP_MS,
  RETRY_AFTER_MIN_MS,
  TOKEN_EPSILON,
  UNREACHABLE_TTL_MS,
} from "./constants.ts";
import type { ReserveReply } from "./generated/rate_messages.ts";

/** Total of one holder's shares of a workspace. */
export interface HolderLevel {
  /** Tokens in the buckets. */
  readonly level: number;
  /** Refill in tokens per second. */
  readonly rate: number;
  /** Maximum number of tokens in the buckets. */
  readonly capacity: number;
  /** Number of shares that are included. */
  readonly shares: number;
}

interface HolderEstimate extends HolderLevel {
  readonly at: number;
  readonly unreachable: boolean;
  /** Tokens per second by which the level rose between replies: the refill less
   * the tokens taken by other instances. */
  readonly net_rate: number;
}

function levelAfter(holder: HolderLevel, ms: number): number {
  return Math.min(holder.capacity, holder.level + holder.rate * ms / MS_PER_S);
}

/** Milliseconds until the holders' levels add up to `tokens`, or `undefined` if
 * their capacity is too small. */
export function timeUntilLevelMs(
  tokens: number,
  levels: readonly HolderLevel[],
): number | undefined {
  const totalAfter = (ms: number) =>
    levels.reduce((sum, holder) => sum + levelAfter(holder, ms), 0);
  const fill_ms = levels.map((holder) =>
    holder.rate > 0
      ? (holder.capacity - holder.level) / holder.rate * MS_PER_S
      : 0
  );
  let high = Math.max(0, ...fill_ms);
  if (totalAfter(high) < tokens - TOKEN_EPSILON) return undefined;
  let low = 0;
  while (high - low > RETRY_AFTER_MIN_MS) {
    const middle = (low + high) / 2;
    if (totalAfter(middle) < tokens) low = middle;
    else high = middle;
  }
  return Math.max(high, RETRY_AFTER_MIN_MS);
}

/** Estimates the levels at other holders from their latest replies. */
export class LevelEstimates {
  readonly #clock: Clock;
  readonly #estimates = new Map<string, HolderEstimate>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a holder's reply. */
  put(key: string, reply: ReserveReply): void {
    const net_rate = this.#netRate(this.#estimates.get(key), reply);
    this.#estimates.set(key, {
      level: reply.l,
      rate: reply.r,
      capacity: reply.c,
      shares: reply.h,
      at: this.#clock.now(),
      unreachable: false,
      net_rate,
    });
  }

  /** Records that a holder did not reply. */
  putUnreachable(key: string): void {
    const at = this.#clock.now();
    const estimate = { level: 0, rate: 0, capacity: 0, shares: 0, net_rate: 0 };
    this.#estimates.set(key, { ...estimate, at, unreachable: true });
  }

  /** Adds unused tokens that are returned to a holder. */
  addTokens(key: string, tokens: number): void {
    const estimate = this.#estimates.get(key);
    if (estimate === undefined) return;
    this.#estimates.set(key, { ...estimate, level: estimate.level + tokens });
  }

  /** The current level, on the assumption that no other instance took tokens
   * since the last reply; `undefined` if there was no reply. */
  get(key: string): HolderLevel | undefined {
    const estimate = this.#estimates.get(key);
    if (estimate === undefined) return undefined;
    return {
      ...estimate,
      level: levelAfter(estimate, this.#clock.now() - estimate.at),
    };
  }

  /** The current level, on the assumption that other instances take tokens at
   * the same rate as before the last reply. */
  getProjected(key: string): HolderLevel | undefined {
    const estimate = this.#estimates.get(key);
    if (estimate === undefined) return undefined;
    const elapsed_ms = this.#clock.now() - estimate.at;
    return {
      ...estimate,
      level: levelAfter({ ...estimate, rate: estimate.net_rate }, elapsed_ms),
    };
  }

  /** True if the estimate is recent enough to refuse requests by it. */
  isFresh(key: string): boolean {
    const estimate = this.#estimates.get(key);
    if (estimate === undefined) return false;
    return this.#clock.now() - estimate.at < ESTIMATE_MAX_AGE_MS;
  }

  /** True while a holder is skipped because it did not reply. */
  isUnreachable(key: string): boolean {
    const estimate = this.#estimates.get(key);
    if (estimate === undefined || !estimate.unreachable) return false;
    return this.#clock.now() - estimate.at < UNREACHABLE_TTL_MS;
  }

  #netRate(previous: HolderEstimate | undefined, reply: ReserveReply): number {
    if (previous === undefined || previous.unreachable) return reply.r;
    const elapsed_ms = this.#clock.now() - previous.at;
    if (elapsed_ms > NET_RATE_MAX_GAP_MS || elapsed_ms <= 0) return reply.r;
    const gained = reply.l + reply.g - previous.level;
    const mean_rate = (gained / elapsed_ms * MS_PER_S + previous.net_rate) / 2;
    return Math.min(reply.r, Math.max(0, mean_rate));
  }

  /** Removes estimates older than `max_age_ms`. */
  prune(max_age_ms: number): void {
    const now = this.#clock.now();
    for (const [key, estimate] of this.#estimates) {
      if (now - estimate.at > max_age_ms) this.#estimates.delete(key);
    }
  }
}
