/** The rates of all workspaces at this instance: its shares, and the units that
 * instances lend each other.
 *
 * @module
 */
import {
  type ClockPair,
  LOAN_MAX_MS,
  LoanSearch,
  type Member,
  type MemberTable,
  RateLenders,
  rateSharers,
  type ReportRow,
  SLICE_MS,
  type TakenUnits,
  TokenRate,
  unitsInWindow,
  type Workspace,
} from "@banyanlb/serving";

import type { PeerLinks, SendReply } from "./peer_links.ts";
import type { TakeRequest } from "./peer_messages.ts";

/** Time after which a caller returns to an instance without a share, which does
 * not know when the others have units again, in milliseconds. */
const NO_SHARE_WAIT_MS = 1000;

/** Reported rooms differ by at least this fraction of a share. */
const REPORTED_ROOM_STEP = 1 / 16;

/** Time without digests of half of the members after which an instance gives up
 * its shares, unless the store confirms its entry, in milliseconds. The others
 * remove an entry that was not renewed for as long, and divide its shares. */
const CUT_OFF_MS = 5000;

/** A share is nearly used if less than this fraction is left. */
const NEARLY_USED_FRACTION = 0.5;

/** Loans that can be given back. Older ones leave the window on their own. */
const LOANS_KEPT_MAX = 4096;

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

/** Parts of the gateway that the rates use. */
export interface WorkspaceRatesOptions {
  readonly self: Member;
  readonly members: MemberTable;
  /** Whether the list of members was read. */
  readonly areMembersKnown: () => boolean;
  /** Whether the store has confirmed this instance's entry recently, so that it
   * is still listed. */
  readonly keepsEntry?: () => boolean;
  readonly clocks: ClockPair;
  readonly windowMs: number;
  readonly links: () => Pick<PeerLinks, "ask" | "send">;
}

/** The use of shares by workspace, see `TokenRate.useAt`. */
export type UseByWorkspace = Readonly<Record<string, readonly number[]>>;

/** The use of a share, for the log; see event 858. */
export interface RateState {
  readonly workspace: string;
  readonly share: number;
  readonly shareUnits: number;
  readonly left: number;
  readonly lent: number;
  readonly borrowed: number;
  readonly asked: number;
  readonly unanswered: number;
}

interface Entry {
  readonly name: string;
  readonly rate: TokenRate;
  /** Units of a usual request. */
  requestUnits: number;
  /** The instances that share the limit equally. */
  sharers: readonly Member[];
  /** Counts since the last `states`. */
  counts: LoanCounts;
  /** When a configuration left the workspace out. The next one may contain it
   * again, so its use is kept for a window. */
  removedAt: number | undefined;
}

interface LoanCounts {
  lent: number;
  borrowed: number;
  asked: number;
  unanswered: number;
}

interface FormerUse {
  /** By workspace, as far as it was not restored yet. */
  readonly slices: Map<string, readonly number[]>;
  readonly at: number;
}

interface Loan {
  readonly rate: TokenRate;
  readonly taken: TakenUnits;
}

/** Takes units for requests, from this instance's shares or from others'. */
export class WorkspaceRates {
  readonly #options: WorkspaceRatesOptions;
  readonly #lenders: RateLenders;
  readonly #entries = new Map<string, Entry>();
  /** Units that were lent, by borrower and number of its request, oldest
   * first. */
  readonly #loans = new Map<string, Loan>();
  /** The use that an earlier process of this instance had kept. */
  #formerUse: FormerUse | undefined;
  /** What an earlier process of this instance had left, as far as peers know. */
  readonly #formerRooms = new Map<string, number>();

  constructor(options: WorkspaceRatesOptions) {
    this.#options = options;
    this.#lenders = new RateLenders(options.self, Math.random);
  }

  /** Replaces the workspaces and their limits. */
  setWorkspaces(workspaces: readonly Workspace[], now: number): void {
    const { windowMs } = this.#options;
    const names = new Set<string>();
    for (const workspace of workspaces) {
      const { name, ratePerSecond, burst } = workspace;
      if (ratePerSecond <= 0) continue;
      names.add(name);
      const requestUnits = workspace.countsTokens ? workspace.defaultTokens : 1;
      const limit = { perSecond: ratePerSecond, burst };
      const entry = this.#entries.get(name);
      if (entry !== undefined) {
        entry.rate.setLimit(limit);
        entry.requestUnits = requestUnits;
        continue;
      }
      // Performance time starts with the process.
      const hasEarlierUse = now < windowMs;
      const rate = new TokenRate(limit, { now, windowMs, hasEarlierUse });
      const counts = noLoans();
      this.#entries.set(name, {
        name,
        rate,
        requestUnits,
        sharers: [],
        counts,
        removedAt: undefined,
      });
    }
    for (const [name, entry] of this.#entries) {
      if (names.has(name)) entry.removedAt = undefined;
      else entry.removedAt ??= now;
    }
    this.update(now);
  }

  /** Adapts the shares to the present members. */
  update(now: number): void {
    const { self, members, areMembersKnown, keepsEntry, windowMs } =
      this.#options;
    // Without the list a process would take its share for too large.
    if (!areMembersKnown()) return;
    const isListed = keepsEntry?.() === true ||
      !members.isCutOffFor(CUT_OFF_MS, now);
    const all = [self, ...members.list()];
    for (const entry of this.#entries.values()) {
      const { name: workspace, rate, removedAt = now } = entry;
      if (now - removedAt > windowMs + LOAN_MAX_MS) {
        this.#entries.delete(workspace);
        continue;
      }
      const { limit } = rate;
      const { requestUnits } = entry;
      entry.sharers = rateSharers(all, {
        workspace,
        limit,
        windowMs,
        requestUnits,
      });
      const rank = entry.sharers.findIndex(({ name }) => name === self.name);
      const share = isListed && rank >= 0 ? 1 / entry.sharers.length : 0;
      rate.setShare(share, now, rank === 0);
      this.#restoreUse(entry, now);
      const formerRoom = this.#formerRooms.get(workspace);
      if (formerRoom !== undefined) rate.adoptLevel(formerRoom, now);
    }
    this.#formerRooms.clear();
    this.#lenders.keepOnly(
      new Set(all.map(({ name }) => name)),
      (name) => this.#entries.has(name),
    );
  }

  /** Takes units for a request, which may wait for `waitMaxMs` for a loan.
   * Returns undefined if the workspace has no limit.
   *
   * @example
   * ```ts
   * const taken = await rates.take("w1", { units: 1200, waitMaxMs: 500 });
   * if (taken !== undefined && "waitMs" in taken) refuse(taken.waitMs);
   * ```
   */
  async take(
    workspace: string,
    request: { readonly units: number; readonly waitMaxMs: number },
  ): Promise<RateGrant | RateRefusal | undefined> {
    const entry = this.#entries.get(workspace);
    if (entry === undefined) return undefined;
    const { rate } = entry;
    const taken = rate.tryTake(request.units, { now: performance.now() });
    if (taken !== undefined) {
      return { refund: () => rate.refund(taken, performance.now()) };
    }
    return await this.#borrow(entry, request);
  }

  /** Replies to an instance that asks for units. */
  lend(from: string, request: TakeRequest, sendReply: SendReply): void {
    const { n, workspace, units, validMs } = request;
    const now = performance.now();
    const entry = this.#entries.get(workspace);
    const taken = entry?.rate.tryTake(units, { now, validMs });
    if (entry !== undefined && taken !== undefined) {
      this.#recordLoan(this.#loanKey(from, n), { rate: entry.rate, taken });
      entry.counts.lent += units;
    } else this.#loans.delete(this.#loanKey(from, n));
    const room = Math.max(0, Math.floor(entry?.rate.levelAt(now) ?? 0));
    sendReply({ t: "taken", n, ok: taken !== undefined, room });
  }

  /** Takes units back that were lent for a request of another instance. */
  takeBack(from: string, n: number): void {
    const key = this.#loanKey(from, n);
    const loan = this.#loans.get(key);
    if (loan === undefined) return;
    this.#loans.delete(key);
    loan.rate.refund(loan.taken, performance.now());
  }

  /** The use of shares that a next process of this instance has to know. */
  useAt(now: number): UseByWorkspace {
    const use: Record<string, readonly number[]> = {};
    for (const [workspace, slices] of this.#formerUse?.slices ?? []) {
      // Not restored yet, since no configuration is known.
      const ageMs = now - (this.#formerUse?.at ?? now);
      const passed = new Array<number>(Math.floor(ageMs / SLICE_MS)).fill(0);
      use[workspace] = [...passed, ...slices];
    }
    for (const { name, rate } of this.#entries.values()) {
      if (rate.share > 0) use[name] = rate.useAt(now);
    }
    return use;
  }

  /** Whether much of a share is used, so that the use should be kept often. */
  isNearlyUsed(now: number): boolean {
    const { windowMs } = this.#options;
    return [...this.#entries.values()].some(({ rate }) =>
      rate.share > 0 &&
      rate.levelAt(now) <
        rate.share * unitsInWindow(rate.limit, windowMs) * NEARLY_USED_FRACTION
    );
  }

  /** Adopts the use that an earlier process of this instance kept `ageMs` ago. */
  adoptFormerUse(use: UseByWorkspace, ageMs: number): void {
    const now = performance.now();
    if (ageMs > this.#options.windowMs) return;
    this.#formerUse = {
      slices: new Map(Object.entries(use)),
      at: now - ageMs,
    };
    this.update(now);
  }

  /** The use of all shares at `now`. Starts new counts. */
  states(now: number): readonly RateState[] {
    const { windowMs } = this.#options;
    return [...this.#entries.values()].map((entry) => {
      const { name: workspace, rate, counts } = entry;
      entry.counts = noLoans();
      return {
        workspace,
        share: rate.share,
        shareUnits: rate.share * unitsInWindow(rate.limit, windowMs),
        left: Math.round(rate.levelAt(now)),
        ...counts,
      };
    });
  }

  /** What is left of this instance's shares, for digests. */
  roomRows(now: number): readonly ReportRow<number>[] {
    const { windowMs } = this.#options;
    return [...this.#entries.values()].flatMap(
      ({ name, rate }): readonly ReportRow<number>[] => {
        if (rate.share === 0) return [];
        const room = Math.max(0, Math.floor(rate.levelAt(now)));
        const fullRoom = rate.share * unitsInWindow(rate.limit, windowMs);
        return [[
          name,
          Math.round(room / fullRoom / REPORTED_ROOM_STEP),
          room,
        ]];
      },
    );
  }

  /** Records what a peer has left of its shares. */
  recordRooms(from: string, rooms: Readonly<Record<string, number>>): void {
    for (const [workspace, room] of Object.entries(rooms)) {
      this.#lenders.recordRoom(workspace, from, room);
    }
  }

  /** What a peer last reported to have left; 0 for a share of which it reported
   * nothing. */
  roomsOf(peer: string): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this.#entries.keys()].map((workspace) => [
        workspace,
        this.#lenders.roomOf(workspace, peer) ?? 0,
      ]),
    );
  }

  /** Adopts what an earlier process of this instance had left, as a peer that
   * has been running for longer reports it. */
  adoptFormerRooms(rooms: Readonly<Record<string, number>>): void {
    for (const [workspace, room] of Object.entries(rooms)) {
      const known = this.#formerRooms.get(workspace) ?? Infinity;
      this.#formerRooms.set(workspace, Math.min(known, room));
    }
    this.update(performance.now());
  }

  #restoreUse({ name, rate }: Entry, now: number): void {
    const former = this.#formerUse;
    const slices = former?.slices.get(name);
    if (former === undefined || slices === undefined) return;
    former.slices.delete(name);
    rate.restoreUse(slices, { at: former.at, now });
  }

  async #borrow(
    entry: Entry,
    request: { readonly units: number; readonly waitMaxMs: number },
  ): Promise<RateGrant | RateRefusal> {
    const { members, clocks, links, windowMs } = this.#options;
    const { rate, name: workspace } = entry;
    const { waitMaxMs } = request;
    // Otherwise what is left of each share would be too small for any request.
    const own = rate.takeRest(request.units, performance.now());
    const units = request.units - own.units;
    const search = new LoanSearch(
      this.#lenders,
      entry.sharers.filter(({ name }) =>
        members.isAlive(name, performance.now())
      ),
      {
        workspace,
        units,
        fullRoom: unitsInWindow(rate.limit, windowMs) / entry.sharers.length,
        waitMaxMs,
      },
    );
    const startedAt = clocks.read();
    for (;;) {
      const offer = search.next(clocks.elapsedMs(startedAt));
      if (offer === undefined) break;
      const { validMs, lender: { peerAddress } } = offer;
      entry.counts.asked += 1;
      const askedAt = clocks.read();
      let number = 0;
      const reply = await links().ask(peerAddress, (n) => {
        number = n;
        return { t: "take", n, workspace, units, validMs };
      }, validMs);
      const giveBack = () => {
        links().send(peerAddress, { t: "return", n: number });
      };
      const isAccepted = search.accept(offer, {
        reply: reply?.t === "taken" ? reply : undefined,
        elapsedMs: clocks.elapsedMs(askedAt),
      });
      if (isAccepted) {
        entry.counts.borrowed += units;
        return {
          refund: () => {
            rate.refund(own, performance.now());
            giveBack();
          },
        };
      }
      if (reply === undefined) entry.counts.unanswered += 1;
      if (reply?.t !== "taken" || reply.ok) giveBack();
    }
    const now = performance.now();
    rate.refund(own, now);
    return {
      waitMs: rate.share > 0
        ? rate.waitMs(request.units, now)
        : NO_SHARE_WAIT_MS,
      left: rate.levelAt(now),
      share: rate.share,
      asked: search.asked,
    };
  }

  /** Numbers begin anew with each process of the borrower. */
  #loanKey(from: string, n: number): string {
    return `${from} ${this.#options.members.get(from)?.incarnation} ${n}`;
  }

  #recordLoan(key: string, loan: Loan): void {
    this.#loans.delete(key);
    this.#loans.set(key, loan);
    for (const [oldest] of this.#loans) {
      if (this.#loans.size <= LOANS_KEPT_MAX) return;
      this.#loans.delete(oldest);
    }
  }
}

function noLoans(): LoanCounts {
  return { lent: 0, borrowed: 0, asked: 0, unanswered: 0 };
}
