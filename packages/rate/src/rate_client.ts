/** Entry side of the rate limiter: reserves tokens at the holders of a
 * workspace's shares.
 *
 * @module
 */
import type { Clock, EventLog, Metrics } from "@banyanlb/core";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import {
  ESTIMATE_MAX_AGE_MS,
  RESERVATION_VALIDITY_MS,
  TOKEN_EPSILON,
  UNREACHABLE_TTL_MS,
} from "./constants.ts";
import { RATE_HOLDER_UNREACHABLE, RATE_REPLY_INVALID } from "./events.ts";
import type { ReserveAsk, ReserveReply } from "./generated/rate_messages.ts";
import {
  groupByHolder,
  type Holding,
  holdingKey,
  type ShareView,
} from "./holdings.ts";
import { type HolderLevel, LevelEstimates } from "./level_estimates.ts";
import { validateReserveReply } from "./messages.ts";
import type { RatePeers } from "./rate_peers.ts";
import { explainRefusal, type RateRefusal } from "./rate_refusal.ts";
import { type Grant, Reservation } from "./rate_reservation.ts";
import type { RateShares } from "./rate_shares.ts";
import { SettleQueue, toSettlements } from "./settle_queue.ts";

const PRUNE_INTERVAL_MS = 60_000;

/** Dependencies of {@linkcode RateClient}. */
export interface RateClientDeps {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: EventLog;
  /** Id of this process, unique over all process starts. */
  readonly self: string;
  readonly view: ShareView;
  /** Shares that this process holds. */
  readonly shares: RateShares;
  readonly peers: RatePeers;
}

/** A request for tokens. */
export interface AcquireRequest {
  readonly workspace: string;
  /** Prompt tokens plus the maximum number of output tokens. */
  readonly tokens: number;
}

/** State of one call of {@linkcode RateClient.acquire}. */
interface Acquisition {
  readonly req: AcquireRequest;
  readonly sent_at: number;
  readonly grants: Grant[];
  missing_tokens: number;
  validity_ms: number;
}

/** Reserves tokens for requests.
 *
 * @example
 * ```ts
 * const tokens = await client.acquire({ workspace: "acme", tokens: 700 });
 * if (tokens.isErr()) return refuse(tokens.error);
 * if (tokens.value.isUsable()) await send(req);
 * tokens.value.settle(used);
 * ```
 */
export class RateClient {
  readonly #deps: RateClientDeps;
  readonly #estimates: LevelEstimates;
  readonly #settlements: SettleQueue;
  #request_count = 0;
  #pruned_at = 0;

  constructor(deps: RateClientDeps) {
    this.#deps = deps;
    this.#estimates = new LevelEstimates(deps.clock);
    this.#settlements = new SettleQueue(deps);
  }

  /** Reserves `req.tokens` in total from the workspace's shares. If they cannot
   * all be reserved, none are. */
  acquire(req: AcquireRequest): ResultAsync<Reservation, RateRefusal> {
    return new ResultAsync(this.#acquire(req));
  }

  /** Sends the queued settlements once and stops. */
  async close(): Promise<void> {
    await this.#settlements.close();
  }

  async #acquire(
    req: AcquireRequest,
  ): Promise<Result<Reservation, RateRefusal>> {
    this.#prune();
    const shares = this.#deps.view(req.workspace);
    const holdings = groupByHolder(req.workspace, shares);
    const refusal = this.#refuseByEstimate(req, holdings);
    if (refusal !== undefined) return err(this.#countRefusal(refusal, "known"));
    const acquisition: Acquisition = {
      req,
      sent_at: this.#deps.clock.now(),
      grants: [],
      missing_tokens: req.tokens,
      validity_ms: RESERVATION_VALIDITY_MS,
    };
    const ranked = this.#rankHoldings(holdings);
    await this.#requestInProportion(acquisition, ranked);
    for (const holding of ranked) {
      if (acquisition.missing_tokens <= TOKEN_EPSILON) break;
      await this.#requestFromHolder(
        acquisition,
        holding,
        acquisition.missing_tokens,
      );
    }
    return this.#finish(acquisition, holdings);
  }

  /** Requests tokens from all holders concurrently if no single holder has the
   * capacity for all of them. Each holder contributes in proportion to its
   * level, because buckets from which nothing is taken would overflow. */
  async #requestInProportion(
    acquisition: Acquisition,
    holdings: readonly Holding[],
  ): Promise<void> {
    const { tokens, workspace } = acquisition.req;
    const levels = this.#levelsOf(workspace, holdings);
    const largest = Math.max(0, ...levels.map((row) => row.capacity));
    const total = levels.reduce((sum, row) => sum + row.level, 0);
    if (tokens <= largest || total <= TOKEN_EPSILON) return;
    await Promise.all(holdings.map((holding, index) => {
      const part = tokens * Math.max(0, levels[index]?.level ?? 0) / total;
      if (part <= TOKEN_EPSILON) return undefined;
      return this.#requestFromHolder(acquisition, holding, part);
    }));
  }

  #finish(
    acquisition: Acquisition,
    holdings: readonly Holding[],
  ): Result<Reservation, RateRefusal> {
    const { grants, req, sent_at, validity_ms } = acquisition;
    const { clock } = this.#deps;
    const settle = (grant: Grant, used: number) =>
      this.#settle({ grant, used, workspace: req.workspace });
    const options = { tokens: req.tokens, grants, sent_at, validity_ms, clock };
    const reservation = new Reservation({ ...options, settle });
    if (acquisition.missing_tokens <= TOKEN_EPSILON) return ok(reservation);
    reservation.settle(0);
    return err(this.#countRefusal(this.#explain(req, holdings), "asked"));
  }

  /** Orders own shares first, then the other holders by level, highest first.
   * Leaves out holders that recently failed to reply. */
  #rankHoldings(holdings: readonly Holding[]): readonly Holding[] {
    const level = (holding: Holding) => {
      if (holding.holder === this.#deps.self) return Infinity;
      return this.#estimates.get(holding.key)?.level ?? Number.MAX_VALUE;
    };
    return holdings
      .filter((holding) => !this.#estimates.isUnreachable(holding.key))
      .map((holding) => ({ holding, level: level(holding) }))
      .sort((a, b) => b.level - a.level)
      .map((row) => row.holding);
  }

  async #requestFromHolder(
    acquisition: Acquisition,
    holding: Holding,
    tokens: number,
  ): Promise<void> {
    const request: ReserveAsk = {
      w: acquisition.req.workspace,
      i: `${this.#deps.self}.${(this.#request_count++).toString(36)}`,
      n: Math.min(tokens, acquisition.missing_tokens),
      s: holding.slots,
    };
    const reply = holding.holder === this.#deps.self
      ? this.#deps.shares.reserve(request)
      : await this.#requestFromPeer(holding, request);
    if (reply === undefined) return;
    acquisition.validity_ms = Math.min(acquisition.validity_ms, reply.d);
    if (reply.g === 0) return;
    const grant = { holder: holding.holder, id: request.i, tokens: reply.g };
    acquisition.grants.push(grant);
    acquisition.missing_tokens -= reply.g;
  }

  async #requestFromPeer(
    holding: Holding,
    request: ReserveAsk,
  ): Promise<ReserveReply | undefined> {
    const { holder, key } = holding;
    const batch = this.#settlements.take(holder);
    const message = batch.length === 0
      ? request
      : { ...request, x: toSettlements(batch) };
    this.#deps.metrics.count("rate.asks");
    const result = await this.#deps.peers.reserve(holder, message);
    if (result.isErr()) {
      this.#settlements.requeue(holder, batch);
      this.#recordFailure(key, { holder, id: request.i });
      return undefined;
    }
    const reply = validateReserveReply(result.value);
    if (reply.isErr()) {
      this.#deps.log.write(RATE_REPLY_INVALID, { holder, at: reply.error });
      this.#estimates.putUnreachable(key);
      return undefined;
    }
    this.#estimates.put(key, reply.value);
    return reply.value;
  }

  #recordFailure(
    key: string,
    request: { readonly holder: string; readonly id: string },
  ): void {
    this.#deps.log.write(RATE_HOLDER_UNREACHABLE, { holder: request.holder });
    this.#deps.metrics.count("rate.unanswered");
    this.#estimates.putUnreachable(key);
    // The holder may have granted tokens; a settlement with 0 returns them.
    this.#settlements.add(request.holder, { i: request.id, u: 0 });
  }

  #settle(
    row: {
      readonly workspace: string;
      readonly grant: Grant;
      readonly used: number;
    },
  ): void {
    const { grant, used } = row;
    const settlement = { i: grant.id, u: used };
    if (grant.holder === this.#deps.self) {
      this.#deps.shares.settle({ x: [settlement] });
      return;
    }
    const key = holdingKey(row.workspace, grant.holder);
    this.#estimates.addTokens(key, grant.tokens - used);
    this.#settlements.add(grant.holder, settlement);
  }

  /** Returns a refusal, without sending a message, if the estimated levels of
   * all holders are known and too low for the request. */
  #refuseByEstimate(
    req: AcquireRequest,
    holdings: readonly Holding[],
  ): RateRefusal | undefined {
    const { self } = this.#deps;
    const has_estimates = holdings.every((holding) =>
      holding.holder === self || this.#estimates.isFresh(holding.key) ||
      this.#estimates.isUnreachable(holding.key)
    );
    if (!has_estimates) return undefined;
    const level = this.#projectedLevel(req.workspace, holdings);
    if (level >= req.tokens - TOKEN_EPSILON) return undefined;
    return this.#explain(req, holdings);
  }

  #projectedLevel(workspace: string, holdings: readonly Holding[]): number {
    return holdings.reduce((sum, { holder, key, slots }) => {
      const row = holder === this.#deps.self
        ? this.#deps.shares.levelOf(workspace, slots)
        : this.#estimates.getProjected(key);
      return sum + (row?.level ?? 0);
    }, 0);
  }

  #levelsOf(
    workspace: string,
    holdings: readonly Holding[],
  ): readonly HolderLevel[] {
    return holdings.map((holding) => {
      if (holding.holder === this.#deps.self) {
        return this.#deps.shares.levelOf(workspace, holding.slots);
      }
      return this.#estimates.get(holding.key) ??
        { level: 0, rate: 0, capacity: 0, shares: 0 };
    });
  }

  #explain(
    req: AcquireRequest,
    holdings: readonly Holding[],
  ): RateRefusal {
    return explainRefusal({
      ...req,
      shares: holdings.reduce((sum, row) => sum + row.slots.length, 0),
      levels: this.#levelsOf(req.workspace, holdings),
    });
  }

  #countRefusal(refusal: RateRefusal, how: "known" | "asked"): RateRefusal {
    this.#deps.metrics.count("rate.refused", { kind: refusal.kind, how });
    return refusal;
  }

  #prune(): void {
    const now = this.#deps.clock.now();
    if (now - this.#pruned_at < PRUNE_INTERVAL_MS) return;
    this.#pruned_at = now;
    this.#estimates.prune(UNREACHABLE_TTL_MS + ESTIMATE_MAX_AGE_MS);
  }
}
