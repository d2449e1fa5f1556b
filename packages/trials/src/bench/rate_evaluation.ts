/** Compares the system's refusals with those of one central token bucket.
 *
 * @module
 */

/** One request with its tokens and its outcome. */
export interface EvaluatedRequest {
  readonly workspace: string;
  readonly at_ms: number;
  /** Tokens that the request reserves on arrival. */
  readonly reserved: number;
  /** Tokens that the request uses if it is served. */
  readonly used: number;
  /** Time at which its unused tokens are refunded. */
  readonly refund_at_ms: number;
  /** True if the system refused it. */
  readonly refused: boolean;
}

/** Rate and burst of a workspace. */
export interface WorkspaceLimits {
  readonly name: string;
  readonly rate_tokens_per_s: number;
  readonly burst_tokens: number;
}

/** The refusals of one workspace, compared with those of a central bucket. */
export interface RateEvaluation {
  readonly workspace: string;
  readonly requests: number;
  readonly refused: number;
  /** Requests that the central bucket would have refused. */
  readonly refused_centrally: number;
  /** Requests that the system refused although the central bucket would have
   * admitted them. */
  readonly wrongly_refused: number;
}

const MS_PER_S = 1_000;

/** Tokens to return to the bucket at a time. */
interface Refund {
  readonly at_ms: number;
  readonly tokens: number;
}

/** A token bucket for all requests of one workspace. */
class CentralTokenBucket {
  readonly #limits: WorkspaceLimits;
  readonly #refunds: Refund[] = [];
  #available_tokens: number;
  #updated_ms = 0;

  constructor(limits: WorkspaceLimits) {
    this.#limits = limits;
    this.#available_tokens = limits.burst_tokens;
  }

  /** Takes the tokens that a request reserves. Returns false and takes none if
   * there are too few. */
  tryTake(request: EvaluatedRequest): boolean {
    this.#advance(request.at_ms);
    if (this.#available_tokens < request.reserved) return false;
    this.#available_tokens -= request.reserved;
    this.#refunds.push({
      at_ms: Math.max(request.at_ms, request.refund_at_ms),
      tokens: Math.max(0, request.reserved - request.used),
    });
    this.#refunds.sort((a, b) => a.at_ms - b.at_ms);
    return true;
  }

  #advance(until_ms: number): void {
    for (;;) {
      const refund = this.#refunds[0];
      if (refund === undefined || refund.at_ms > until_ms) break;
      this.#refunds.shift();
      this.#refill(refund.at_ms);
      this.#add(refund.tokens);
    }
    this.#refill(until_ms);
  }

  #refill(until_ms: number): void {
    const elapsed_ms = Math.max(0, until_ms - this.#updated_ms);
    this.#add(elapsed_ms * this.#limits.rate_tokens_per_s / MS_PER_S);
    this.#updated_ms = Math.max(this.#updated_ms, until_ms);
  }

  #add(tokens: number): void {
    const { burst_tokens } = this.#limits;
    this.#available_tokens = Math.min(
      burst_tokens,
      this.#available_tokens + tokens,
    );
  }
}

/** Evaluates the refusals of one workspace against a central token bucket.
 *
 * @example
 * ```ts
 * evaluateRate(limits, requests).wrongly_refused; // 0
 * ```
 */
export function evaluateRate(
  limits: WorkspaceLimits,
  requests: readonly EvaluatedRequest[],
): RateEvaluation {
  const bucket = new CentralTokenBucket(limits);
  const sorted = [...requests].sort((a, b) => a.at_ms - b.at_ms);
  const evaluated = sorted.map((request) => ({
    refused: request.refused,
    allowed: bucket.tryTake(request),
  }));
  return {
    workspace: limits.name,
    requests: requests.length,
    refused: evaluated.filter((row) => row.refused).length,
    refused_centrally: evaluated.filter((row) => !row.allowed).length,
    wrongly_refused:
      evaluated.filter((row) => row.refused && row.allowed).length,
  };
}
