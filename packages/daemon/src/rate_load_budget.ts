/** The weight store's loads a second, shared over the fleet like a
 * workspace's rate.
 *
 * @module
 */
import { LoadBudget, type LoadBudgetReply } from "@banyanlb/permits";
import type { RateClient } from "@banyanlb/rate";
import { TOKENS_PER_LOAD, WEIGHT_STORE_WORKSPACE } from "./constants.ts";

const OVER_BURST_RETRY_MS = 1_000;

/** Part of the burst that a load which yields leaves to others. */
const LOW_PRIORITY_RESERVE_FRACTION = 0.25;

/** Takes loads from the shares of the weight store's rate. */
export class RateLoadBudget extends LoadBudget {
  readonly #rate: RateClient;
  readonly #reserve_tokens: number;

  /** `burst`: loads that may start at once over the whole fleet. */
  constructor(rate: RateClient, burst: number) {
    super();
    this.#rate = rate;
    this.#reserve_tokens = Math.floor(burst * LOW_PRIORITY_RESERVE_FRACTION);
  }

  override async acquire(
    signal: AbortSignal,
    options: { readonly is_low_priority?: boolean } = {},
  ): Promise<LoadBudgetReply> {
    const reserve_tokens = options.is_low_priority === true
      ? this.#reserve_tokens
      : 0;
    const result = await this.#rate.acquire({
      workspace: WEIGHT_STORE_WORKSPACE,
      tokens: TOKENS_PER_LOAD + reserve_tokens,
    });
    if (result.isErr()) {
      const rate_refusal = result.error;
      const retry_after_ms = rate_refusal.kind === "over_burst"
        ? OVER_BURST_RETRY_MS
        : rate_refusal.retry_after_ms;
      return { granted: false, retry_after_ms };
    }
    const granted = !signal.aborted && result.value.isUsable();
    result.value.settle(granted ? TOKENS_PER_LOAD : 0);
    return { granted, retry_after_ms: 0 };
  }

  /** Gives nothing back: the load is counted when it is granted, and loads
   * that are not ordered are rare. */
  override refund(): void {}
}
