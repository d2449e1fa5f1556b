/** Budget for loads from the weight store. The fleet shares it in the same way
 * as the rate of a workspace.
 *
 * @module
 */
import { LoadBudget, type LoadBudgetReply } from "@banyanlb/permits";
import type { RateClient } from "@banyanlb/rate";
import { TOKENS_PER_LOAD, WEIGHT_STORE_WORKSPACE } from "./constants.ts";

/** Retry-after time if the tokens exceed the burst of the rate. */
const OVER_BURST_RETRY_MS = 1_000;

/** Fraction of the burst that low-priority loads leave available for other
 * loads. */
const LOW_PRIORITY_RESERVE_FRACTION = 0.25;

/** Acquires loads from the shares of the weight store's rate. */
export class RateLoadBudget extends LoadBudget {
  readonly #rate_client: RateClient;
  readonly #reserve_tokens: number;

  /** `burst`: loads that may start at once in the whole fleet. */
  constructor(rate_client: RateClient, burst: number) {
    super();
    this.#rate_client = rate_client;
    this.#reserve_tokens = Math.floor(burst * LOW_PRIORITY_RESERVE_FRACTION);
  }

  override async acquire(
    signal: AbortSignal,
    options: { readonly is_low_priority?: boolean } = {},
  ): Promise<LoadBudgetReply> {
    const reserve_tokens = options.is_low_priority === true
      ? this.#reserve_tokens
      : 0;
    const result = await this.#rate_client.acquire({
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

  /** Has no effect: a load is settled when it is granted, and granted loads
   * that are then not ordered are rare. */
  override refund(): void {}
}
