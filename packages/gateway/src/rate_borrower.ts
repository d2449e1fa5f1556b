/** Borrows units of other instances' shares for single requests.
 *
 * @module
 */
import {
  type ClockPair,
  type LoanOffer,
  type LoanReply,
  LoanSearch,
  type Member,
  type MemberTable,
  type RateLenders,
  type TakenUnits,
  type TokenRate,
  unitsInWindow,
} from "@banyanlb/serving";
import type { PeerLinks } from "./peer_links.ts";
import type { TakeRequest } from "./peer_messages.ts";

/** Time after which a caller returns to an instance without a share, which does
 * not know when the others have units again, in milliseconds. */
const NO_SHARE_WAIT_MS = 1000;

/** Units that were taken for a request. */
export interface RateGrant {
  /** Gives the units back, because the request did not run. */
  readonly refund: () => void;
}

/** Why no units were taken, for the log. */
export interface RateRefusal {
  /** Time until enough units are available, in milliseconds. */
  readonly waitMs: number;
  /** Units left of the share, and the share, in [0, 1]. */
  readonly left: number;
  readonly share: number;
  /** Instances that were asked for the units in vain. */
  readonly asked: readonly string[];
}

/** Loans of one workspace: units lent and borrowed, questions, and those without
 * a reply in time. */
export interface LoanCounts {
  lent: number;
  borrowed: number;
  asked: number;
  unanswered: number;
}

/** A request that needs units. */
export interface UnitsRequest {
  readonly units: number;
  /** The stream that it goes on with, by the id of its first attempt. */
  readonly resumes?: string | undefined;
  /** How long it may wait for a loan, in milliseconds. */
  readonly waitMaxMs: number;
}

/** The workspace of a request: its rate at this instance, and the instances that
 * share the limit equally. */
export interface SharedRate {
  readonly name: string;
  readonly rate: TokenRate;
  readonly sharers: readonly Member[];
  readonly counts: LoanCounts;
}

/** Parts of the gateway that the borrower uses. */
export interface RateBorrowerOptions {
  readonly lenders: RateLenders;
  readonly members: Pick<MemberTable, "isAlive">;
  readonly clocks: ClockPair;
  readonly windowMs: number;
  readonly links: () => Pick<PeerLinks, "ask" | "send">;
}

/** Asks other instances for units. */
export class RateBorrower {
  readonly #options: RateBorrowerOptions;

  constructor(options: RateBorrowerOptions) {
    this.#options = options;
  }

  /** Takes what the own share has left of a request's units and borrows the rest,
   * since the rests of shares would be too small for any request by themselves. */
  async borrow(
    shared: SharedRate,
    request: UnitsRequest,
  ): Promise<RateGrant | RateRefusal> {
    const { lenders, members, clocks, windowMs } = this.#options;
    const { rate, name: workspace, sharers, counts } = shared;
    const now = performance.now();
    const { resumes } = request;
    const own = rate.takeRest(request.units, now, resumes !== undefined);
    const units = request.units - own.units;
    const need = { workspace, units, resumes };
    const alive = sharers.filter(({ name }) => members.isAlive(name, now));
    const search = new LoanSearch(lenders, alive, {
      workspace,
      units,
      fullRoom: unitsInWindow(rate.limit, windowMs) / sharers.length,
      waitMaxMs: request.waitMaxMs,
    });
    const startedAt = clocks.read();
    for (;;) {
      const offer = search.next(clocks.elapsedMs(startedAt));
      if (offer === undefined) break;
      counts.asked += 1;
      const askedAt = clocks.read();
      const { reply, giveBack } = await this.#ask(offer, need);
      const elapsedMs = clocks.elapsedMs(askedAt);
      if (search.accept(offer, { reply, elapsedMs })) {
        counts.borrowed += units;
        return {
          refund: () => {
            rate.refund(own, performance.now());
            giveBack();
          },
        };
      }
      if (reply === undefined) counts.unanswered += 1;
      if (reply === undefined || reply.ok) giveBack();
    }
    return this.#refuse(shared, { ...request, own, asked: search.asked });
  }

  async #ask(
    { lender: { peerAddress }, validMs }: LoanOffer,
    need: Pick<TakeRequest, "workspace" | "units" | "resumes">,
  ): Promise<{ readonly reply: LoanReply | undefined; giveBack: () => void }> {
    const { links } = this.#options;
    let number = 0;
    const reply = await links().ask(peerAddress, (n) => {
      number = n;
      return { t: "take", n, ...need, validMs };
    }, validMs);
    return {
      reply: reply?.t === "taken" ? reply : undefined,
      giveBack: () =>
        void links().send(peerAddress, { t: "return", n: number }),
    };
  }

  #refuse(
    { rate }: SharedRate,
    request: UnitsRequest & {
      readonly own: TakenUnits;
      readonly asked: readonly string[];
    },
  ): RateRefusal {
    const now = performance.now();
    rate.refund(request.own, now);
    const { units, resumes } = request;
    if (resumes !== undefined) rate.claim(resumes, units, now);
    return {
      waitMs: rate.share > 0
        ? rate.waitMs(units, now, resumes !== undefined)
        : NO_SHARE_WAIT_MS,
      left: rate.levelAt(now),
      share: rate.share,
      asked: request.asked,
    };
  }
}
