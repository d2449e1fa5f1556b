/** The rates of all workspaces at this instance: its shares, and the units that
 * instances lend each other.
 *
 * @module
 */
import {
  type ClockPair,
  LOAN_MAX_MS,
  type Member,
  type MemberTable,
  RateLenders,
  rateSharers,
  type ReportRow,
  TokenRate,
  type Workspace,
} from "@banyanlb/serving";
import { FormerUse, type UseByWorkspace } from "./former_use.ts";
import { LentUnits } from "./lent_units.ts";
import type { PeerLinks, SendReply } from "./peer_links.ts";
import type { TakeRequest } from "./peer_messages.ts";
import {
  type LoanCounts,
  RateBorrower,
  type RateGrant,
  type RateRefusal,
  type SharedRate,
  type UnitsRequest,
} from "./rate_borrower.ts";

/** Reported rooms differ by at least this fraction of a share. */
const REPORTED_ROOM_STEP = 1 / 16;

/** Time without digests of half of the members after which an instance gives up
 * its shares, unless the store confirms its entry, in milliseconds. The others
 * remove an entry that was not renewed for as long, and divide its shares. */
const CUT_OFF_MS = 5000;

/** A share is nearly used if less than this fraction is left. */
const NEARLY_USED_FRACTION = 0.5;

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

interface Entry extends SharedRate {
  /** Units of a usual request. */
  requestUnits: number;
  /** The instances that share the limit equally, and what they follow from. */
  sharers: readonly Member[];
  sharersBasis: string;
  /** Counts since the last `states`. */
  counts: LoanCounts;
  /** When a configuration left the workspace out. The next one may contain it
   * again, so its use is kept for a window. */
  removedAt: number | undefined;
}

/** Takes units for requests, from this instance's shares or from others'. */
export class WorkspaceRates {
  readonly #options: WorkspaceRatesOptions;
  readonly #lenders: RateLenders;
  readonly #entries = new Map<string, Entry>();
  readonly #lent: LentUnits;
  readonly #borrower: RateBorrower;
  /** The use that an earlier process of this instance had kept. */
  #formerUse: FormerUse | undefined;
  /** What an earlier process of this instance had left, as far as peers know. */
  readonly #formerRooms = new Map<string, number>();

  constructor(options: WorkspaceRatesOptions) {
    this.#options = options;
    const lenders = new RateLenders(options.self, Math.random);
    this.#lenders = lenders;
    this.#lent = new LentUnits(options.members);
    this.#borrower = new RateBorrower({ ...options, lenders });
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
      // Where requests are counted, none is smaller than another.
      const smallUnits = workspace.countsTokens ? requestUnits : Infinity;
      const limit = { perSecond: ratePerSecond, burst };
      const entry = this.#entries.get(name);
      if (entry !== undefined) {
        entry.rate.setLimit(limit, smallUnits);
        entry.requestUnits = requestUnits;
        continue;
      }
      // Performance time starts with the process.
      const hasEarlierUse = now < windowMs;
      const rate = new TokenRate(limit, {
        now,
        windowMs,
        hasEarlierUse,
        smallUnits,
      });
      const counts = noLoans();
      this.#entries.set(name, {
        name,
        rate,
        requestUnits,
        sharers: [],
        sharersBasis: "",
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
      const { name: workspace, rate, requestUnits, removedAt = now } = entry;
      if (now - removedAt > windowMs + LOAN_MAX_MS) {
        this.#entries.delete(workspace);
        continue;
      }
      const { limit } = rate;
      const basis =
        `${members.generation} ${limit.perSecond} ${limit.burst} ${requestUnits}`;
      if (basis !== entry.sharersBasis) {
        const options = { workspace, limit, windowMs, requestUnits };
        entry.sharers = rateSharers(all, options);
        entry.sharersBasis = basis;
      }
      const rank = entry.sharers.findIndex(({ name }) => name === self.name);
      const share = isListed && rank >= 0 ? 1 / entry.sharers.length : 0;
      rate.setShare(share, now, rank === 0);
      this.#formerUse?.restore(workspace, rate, now);
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
    request: UnitsRequest,
  ): Promise<RateGrant | RateRefusal | undefined> {
    const entry = this.#entries.get(workspace);
    if (entry === undefined) return undefined;
    const { rate } = entry;
    const { units, resumes } = request;
    const taken = rate.tryTake(units, { now: performance.now(), resumes });
    if (taken !== undefined) {
      return { refund: () => rate.refund(taken, performance.now()) };
    }
    return await this.#borrower.borrow(entry, request);
  }

  /** Replies to an instance that asks for units. */
  lend(from: string, request: TakeRequest, sendReply: SendReply): void {
    const { n, workspace, units, validMs, resumes } = request;
    const now = performance.now();
    const entry = this.#entries.get(workspace);
    const taken = entry?.rate.tryTake(units, { now, validMs, resumes });
    const loan = entry !== undefined && taken !== undefined
      ? { rate: entry.rate, taken }
      : undefined;
    this.#lent.record(from, n, loan);
    if (loan !== undefined && entry !== undefined) entry.counts.lent += units;
    const room = Math.max(0, Math.floor(entry?.rate.levelAt(now) ?? 0));
    sendReply({ t: "taken", n, ok: taken !== undefined, room });
  }

  /** Takes units back that were lent for a request of another instance. */
  takeBack(from: string, n: number): void {
    this.#lent.takeBack(from, n);
  }

  /** The use of shares that a next process of this instance has to know. */
  useAt(now: number): UseByWorkspace {
    const use: Record<string, readonly number[]> = {
      ...this.#formerUse?.remaining(now),
    };
    for (const { name, rate } of this.#entries.values()) {
      if (rate.share > 0) use[name] = rate.useAt(now);
    }
    return use;
  }

  /** Whether much of a share is used, so that the use should be kept often. */
  isNearlyUsed(now: number): boolean {
    return [...this.#entries.values()].some(({ rate }) =>
      rate.share > 0 &&
      rate.levelAt(now) < rate.shareUnits * NEARLY_USED_FRACTION
    );
  }

  /** Adopts the use that an earlier process of this instance kept `ageMs` ago. */
  adoptFormerUse(use: UseByWorkspace, ageMs: number): void {
    const now = performance.now();
    if (ageMs > this.#options.windowMs) return;
    this.#formerUse = new FormerUse(use, now - ageMs);
    this.update(now);
  }

  /** The use of all shares at `now`. Starts new counts. */
  states(now: number): readonly RateState[] {
    return [...this.#entries.values()].map((entry) => {
      const { name: workspace, rate, counts } = entry;
      entry.counts = noLoans();
      return {
        workspace,
        share: rate.share,
        shareUnits: rate.shareUnits,
        left: Math.round(rate.levelAt(now)),
        ...counts,
      };
    });
  }

  /** What is left of this instance's shares, for digests. */
  roomRows(now: number): readonly ReportRow<number>[] {
    return [...this.#entries.values()].flatMap(
      ({ name, rate }): readonly ReportRow<number>[] => {
        if (rate.share === 0) return [];
        const room = Math.max(0, Math.floor(rate.levelAt(now)));
        const left = room / rate.shareUnits;
        return [[name, Math.round(left / REPORTED_ROOM_STEP), room]];
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
}

function noLoans(): LoanCounts {
  return { lent: 0, borrowed: 0, asked: 0, unanswered: 0 };
}
