/** Which instances may lend units of a workspace's rate.
 *
 * What peers report of their shares is a hint for the choice: a lender decides
 * by its own share whether it lends, and a loan that takes too long to arrive
 * is not used.
 *
 * @module
 */
import { distanceBetween } from "./distance.ts";
import { LOAN_MAX_MS } from "./token_rate.ts";
import type { Member } from "./types.ts";
import { BUCKET_MS } from "./use_window.ts";

/** Assumed response time of an instance that was not asked yet, in
 * milliseconds. */
const INITIAL_RESPONSE_MS = 50;

/** A loan is valid for this multiple of the lender's response time. */
const VALID_RESPONSES = 4;

/** Factor by which the assumed response time falls with each faster
 * response. */
const RESPONSE_DECAY = 0.8;

/** Response time that halves the preference for a lender, in milliseconds. */
const SLOW_RESPONSE_MS = 100;

/** Number of instances that are asked for the units of one request. */
const ASKED_MAX = 3;

/** Preference for lenders in the same zone, in another zone of the region, and
 * in another region: links between regions have little bandwidth. */
const WEIGHTS_BY_DISTANCE = [3, 2, 1] as const;

/** An instance to ask for units, and how long the units may be used after the
 * question, in milliseconds. */
export interface LoanOffer {
  readonly lender: Member;
  readonly validMs: number;
}

/** Units that a request needs. */
export interface LoanNeed {
  readonly workspace: string;
  readonly units: number;
  /** Units of a share of which nothing was used. */
  readonly fullRoom: number;
  /** How long the request may wait for them, in milliseconds. */
  readonly waitMaxMs: number;
}

/** A lender's reply: whether it lends the units, and how many it has left. */
export interface LoanReply {
  readonly ok: boolean;
  readonly room: number;
}

/** What is known of other instances' shares and response times. */
export class RateLenders {
  readonly #self: Member;
  readonly #random: () => number;
  /** Units left at a lender, by workspace and name. */
  readonly #rooms = new Map<string, Map<string, number>>();
  /** Response times in milliseconds, by name. */
  readonly #responseMs = new Map<string, number>();

  constructor(self: Member, random: () => number) {
    this.#self = self;
    this.#random = random;
  }

  /** Records how many units a peer has left of its share. */
  recordRoom(workspace: string, lender: string, room: number): void {
    let rooms = this.#rooms.get(workspace);
    if (rooms === undefined) {
      rooms = new Map();
      this.#rooms.set(workspace, rooms);
    }
    rooms.set(lender, room);
  }

  /** Units that a peer has left, as far as known. */
  roomOf(workspace: string, lender: string): number | undefined {
    return this.#rooms.get(workspace)?.get(lender);
  }

  /** Records a reply that arrived in time. */
  recordReply(lender: string, elapsedMs: number): void {
    const known = this.#responseMsOf(lender);
    this.#responseMs.set(
      lender,
      Math.max(elapsedMs, known * RESPONSE_DECAY),
    );
  }

  /** Records that a reply did not arrive within `waitedMs`. The lender is asked
   * again when it has reported what it has left. */
  recordTimeout(lender: string, waitedMs: number): void {
    const known = this.#responseMsOf(lender);
    this.#responseMs.set(lender, Math.max(known * 2, waitedMs));
    for (const rooms of this.#rooms.values()) {
      if (rooms.has(lender)) rooms.set(lender, 0);
    }
  }

  /** The instance to ask for units, among those that share the limit equally;
   * undefined if none is known to have enough.
   *
   * @example
   * ```ts
   * const offer = lenders.choose(sharers, {
   *   workspace: "w1",
   *   units: 1200,
   *   fullRoom: 50_000,
   *   excluded: new Set(),
   * });
   * ```
   */
  choose(
    sharers: readonly Member[],
    options: Omit<LoanNeed, "waitMaxMs"> & {
      readonly excluded: ReadonlySet<string>;
    },
  ): LoanOffer | undefined {
    const { workspace, units, fullRoom, excluded } = options;
    let best: Member | undefined;
    let bestWeight = 0;
    // The first of them admits requests above a share.
    const candidates = units > fullRoom ? sharers.slice(0, 1) : sharers;
    for (const member of candidates) {
      if (member.name === this.#self.name || excluded.has(member.name)) {
        continue;
      }
      const room = this.roomOf(workspace, member.name) ?? fullRoom;
      if (room < Math.min(units, fullRoom)) continue;
      const weight = room *
        WEIGHTS_BY_DISTANCE[distanceBetween(this.#self, member)] *
        (0.5 + this.#random()) /
        (1 + this.#responseMsOf(member.name) / SLOW_RESPONSE_MS);
      if (weight <= bestWeight) continue;
      best = member;
      bestWeight = weight;
    }
    if (best === undefined) return undefined;
    const validMs = Math.min(
      LOAN_MAX_MS,
      Math.max(BUCKET_MS, this.#responseMsOf(best.name) * VALID_RESPONSES),
    );
    return { lender: best, validMs };
  }

  /** Forgets instances and workspaces that are gone. */
  keepOnly(
    members: ReadonlySet<string>,
    hasWorkspace: (name: string) => boolean,
  ): void {
    for (const name of this.#responseMs.keys()) {
      if (!members.has(name)) this.#responseMs.delete(name);
    }
    for (const [workspace, rooms] of this.#rooms) {
      if (!hasWorkspace(workspace)) this.#rooms.delete(workspace);
      for (const name of rooms.keys()) {
        if (!members.has(name)) rooms.delete(name);
      }
    }
  }

  #responseMsOf(lender: string): number {
    return this.#responseMs.get(lender) ?? INITIAL_RESPONSE_MS;
  }
}

/** The search for units that one request needs from other instances. */
export class LoanSearch {
  readonly #lenders: RateLenders;
  readonly #sharers: readonly Member[];
  readonly #request: LoanNeed;
  readonly #asked = new Set<string>();

  /** `sharers` are the instances that share the limit equally. */
  constructor(
    lenders: RateLenders,
    sharers: readonly Member[],
    request: LoanNeed,
  ) {
    this.#lenders = lenders;
    this.#sharers = sharers;
    this.#request = request;
  }

  /** Names of the instances that were asked. */
  get asked(): readonly string[] {
    return [...this.#asked];
  }

  /** The instance to ask next, `elapsedMs` after the search began; undefined if
   * there is none, or no time for it. */
  next(elapsedMs: number): LoanOffer | undefined {
    const { waitMaxMs, ...need } = this.#request;
    const leftMs = waitMaxMs - elapsedMs;
    if (this.#asked.size >= ASKED_MAX || leftMs <= 0) return undefined;
    const offer = this.#lenders.choose(this.#sharers, {
      ...need,
      excluded: this.#asked,
    });
    if (offer === undefined) return undefined;
    this.#asked.add(offer.lender.name);
    return {
      lender: offer.lender,
      validMs: Math.ceil(Math.min(offer.validMs, leftMs)),
    };
  }

  /** Records the reply to an offer, undefined if there was none. Returns whether
   * the units may be used; if not, they must be given back.
   *
   * @example
   * ```ts
   * if (search.accept(offer, { reply, elapsedMs })) return serve();
   * giveBack(offer);
   * ```
   */
  accept(
    { lender, validMs }: LoanOffer,
    options: {
      readonly reply: LoanReply | undefined;
      /** Time since the lender was asked, in milliseconds. */
      readonly elapsedMs: number;
    },
  ): boolean {
    const { reply, elapsedMs } = options;
    const { name } = lender;
    if (reply === undefined || elapsedMs > validMs) {
      this.#lenders.recordTimeout(name, validMs);
      this.#lenders.recordRoom(this.#request.workspace, name, 0);
      return false;
    }
    this.#lenders.recordReply(name, elapsedMs);
    this.#lenders.recordRoom(this.#request.workspace, name, reply.room);
    return reply.ok;
  }
}
