/** Simulates a fleet that shares the limit of a workspace, with a queue of
 * delayed reports between each two instances. Deterministic by seed.
 *
 * @module
 */
import { isLargeFleet } from "../digest_topology.ts";
import type { FleetOptions, FleetResult } from "./fleet_options.ts";
import {
  AdmittedUnits,
  allowedUnits,
  STEP_MS,
  WINDOW_MS,
} from "./admitted_units.ts";
import {
  callersFraction,
  createRandom,
  exchangeWith,
  placeOf,
  type Process,
} from "./fleet_parts.ts";
import type { LoanReply, LoanSearch } from "../rate_lenders.ts";
import {
  type Envelope,
  type InstanceId,
  type SimulatedLoan,
  startInstance,
  type StoredUse,
} from "./simulated_instance.ts";

const REPORT_TICK_MS = 200;

/** Ticks after which a report has passed through the collectors of a large
 * fleet. */
const LARGE_FLEET_TICKS = 4;

/** How long the fleet runs without requests first, in milliseconds: longer than
 * a window, so that nothing is left of the initial level. */
const WARM_UP_MS = 12_000;

/** Time between two writes of an instance to the store, in milliseconds. */
const STORE_INTERVAL_MS = 2000;

const UNITS_MIN = 400;
const UNITS_MAX = 4000;

/** Delay of a report that nothing holds up, within a region and between two, in
 * milliseconds. */
const SAME_REGION_DELAY_MS = 1;
const OTHER_REGION_DELAY_MS = 10;

/** Runs a fleet.
 *
 * @example
 * ```ts
 * const { maxInWindow } = runFleet({ ...options, delayMs: () => 500 });
 * expect(maxInWindow).toBeLessThanOrEqual(unitsBound(options.limit));
 * ```
 */
export function runFleet(options: FleetOptions): FleetResult {
  return new FleetSimulation(options).run();
}

/** A request that looks for units of other instances. */
interface BorrowingRequest {
  readonly id: InstanceId;
  readonly process: Process;
  readonly units: number;
  readonly search: LoanSearch;
  readonly now: number;
  readonly startedAt: number;
}

class FleetSimulation {
  readonly #options: FleetOptions;
  readonly #random: () => number;
  readonly #linkRandom: () => number;
  readonly #processes: (Process | undefined)[] = [];
  readonly #phases: readonly number[];
  /** Events by step, in the order in which they were added. */
  readonly #eventsByStep = new Map<number, (() => void)[]>();
  /** When the last report on a link arrives: reports do not overtake. */
  readonly #lastArrival = new Map<string, number>();
  readonly #admitted: AdmittedUnits;
  /** What the instances keep in the store. */
  readonly #stored = new Map<InstanceId, StoredUse>();
  /** Units that each instance is asked for beyond its requests so far. */
  readonly #pending: number[];
  #requests = 0;
  #needlesslyRefused = 0;

  constructor(options: FleetOptions) {
    const { instances, durationMs, seed, restarts } = options;
    this.#options = options;
    this.#random = createRandom(seed);
    this.#linkRandom = createRandom(seed + 1);
    const ids = Array.from({ length: instances }, (_, i) => i);
    this.#phases = ids.map(() =>
      Math.floor(this.#random() * REPORT_TICK_MS / STEP_MS)
    );
    this.#pending = ids.map(() => -this.#random() * UNITS_MAX);
    this.#admitted = new AdmittedUnits(durationMs);
    for (const id of ids) {
      this.#start(id, { number: 0, now: -WARM_UP_MS, reportsAt: -WARM_UP_MS });
    }
    restarts?.forEach(({ instance, endsAt, startsAt, reportsAt }, i) => {
      this.#at(endsAt, () => this.#processes[instance] = undefined);
      this.#at(
        startsAt,
        () =>
          this.#start(instance, { number: i + 1, now: startsAt, reportsAt }),
      );
    });
  }

  run(): FleetResult {
    const { durationMs, limit, measuredFromMs = 0 } = this.#options;
    for (let now = -WARM_UP_MS; now < durationMs; now += STEP_MS) {
      for (const run of this.#eventsByStep.get(now) ?? []) run();
      this.#eventsByStep.delete(now);
      if (now >= 0) this.#sendRequests(now);
      this.#sendReports(now);
      this.#storeUse(now);
    }
    const { units: maxInWindow, startsAt: maxWindowAt } = this.#admitted
      .fullestWindow();
    const admitted = this.#admitted.totalSince(measuredFromMs);
    return {
      maxInWindow,
      maxWindowAt,
      admitted,
      usedFraction: admitted /
        (allowedUnits(limit) * (durationMs - measuredFromMs) / WINDOW_MS),
      requests: this.#requests,
      needlesslyRefused: this.#needlesslyRefused,
    };
  }

  #start(
    id: InstanceId,
    options: {
      readonly number: number;
      readonly now: number;
      readonly reportsAt: number;
    },
  ): void {
    const { number, now, reportsAt } = options;
    const { instances, limit } = this.#options;
    this.#processes[id] = {
      instance: startInstance({
        id,
        peers: Array.from({ length: instances }, (_, peer) => peer)
          .filter((peer) => !this.#areStrangers(id, { peer, now })),
        limit,
        windowMs: WINDOW_MS,
        startedAt: now,
        random: this.#random,
        placeOf,
        storedUse: this.#stored.get(id),
      }),
      number,
      startedAt: now,
      reportsAt,
      peers: new Map(),
    };
  }

  #areStrangers(
    id: InstanceId,
    { peer, now }: { readonly peer: InstanceId; readonly now: number },
  ): boolean {
    const { strangers } = this.#options;
    return strangers !== undefined && now < strangers.untilMs && id !== peer &&
      strangers.pair.includes(id) && strangers.pair.includes(peer);
  }

  #at(time: number, run: () => void): void {
    const events = this.#eventsByStep.get(time);
    if (events === undefined) this.#eventsByStep.set(time, [run]);
    else events.push(run);
  }

  #sendRequests(now: number): void {
    const { instances, demand, callers, limit } = this.#options;
    const unitsOfAll = allowedUnits(limit) * demand * STEP_MS / WINDOW_MS;
    for (let id = 0; id < instances; id++) {
      const pending = (this.#pending[id] ?? 0) +
        unitsOfAll * callersFraction(id, { instances, callers });
      this.#pending[id] = pending;
      for (;;) {
        const units = UNITS_MIN +
          Math.floor(this.#random() * (UNITS_MAX - UNITS_MIN));
        if ((this.#pending[id] ?? 0) < units) break;
        this.#pending[id] = (this.#pending[id] ?? 0) - units;
        this.#sendRequest(id, { units, now });
      }
    }
  }

  #sendRequest(
    id: InstanceId,
    { units, now }: { readonly units: number; readonly now: number },
  ): void {
    const process = this.#processes[id];
    if (process === undefined) return;
    const {
      refundedFraction = 0,
      refundAfterMs = 0,
      measuredFromMs = 0,
      limit,
    } = this.#options;
    const isMeasured = now >= measuredFromMs;
    if (isMeasured) this.#requests += 1;
    const refuse = (at: number) => {
      const isWithin = this.#admitted.inWindowAt(at) + units <=
        allowedUnits(limit);
      if (isMeasured && isWithin) this.#needlesslyRefused += 1;
    };
    const admit = (at: number, refund: (refundAt: number) => void) => {
      if (this.#random() >= refundedFraction) {
        this.#admitted.add(units, at);
        return;
      }
      const refundAt = at + refundAfterMs;
      this.#at(refundAt, () => {
        if (this.#processes[id] === process) refund(refundAt);
      });
    };
    const { instance } = process;
    const taken = instance.tryTake(units, now);
    if (taken !== undefined) {
      return admit(now, (at) => instance.refund(taken, at));
    }
    const own = instance.takeRest(units, now);
    const missing = units - own.units;
    const search = instance.search(missing, now);
    this.#borrow({
      id,
      process,
      units: missing,
      search,
      now,
      startedAt: now,
    }, {
      admit: (at, giveBack) =>
        admit(at, (refundAt) => {
          instance.refund(own, refundAt);
          giveBack(refundAt);
        }),
      refuse: (at) => {
        instance.refund(own, at);
        refuse(at);
      },
    });
  }

  /** Asks the next lender of a search. */
  #borrow(
    request: BorrowingRequest,
    outcome: {
      readonly admit: (now: number, refund: (now: number) => void) => void;
      readonly refuse: (now: number) => void;
    },
  ): void {
    const { id, process, units, search, now, startedAt } = request;
    if (this.#processes[id] !== process) return;
    const offer = search.next(now - startedAt);
    if (offer === undefined) return outcome.refuse(now);
    const { validMs } = offer;
    const to = Number(offer.lender.name);
    const lender = this.#processes[to];
    let loan: SimulatedLoan | undefined;
    let isSettled = false;
    const giveBack = (at: number) => {
      const delayMs = this.#delayMs(id, { to, now: at });
      if (delayMs === undefined) return;
      this.#at(at + delayMs, () => {
        if (this.#processes[to] === lender) loan?.takeBack(at + delayMs);
      });
    };
    const settle = (reply: LoanReply | undefined, at: number) => {
      if (isSettled || this.#processes[id] !== process) return;
      isSettled = true;
      if (search.accept(offer, { reply, elapsedMs: at - now })) {
        return outcome.admit(at, giveBack);
      }
      if (reply === undefined || reply.ok) giveBack(at);
      this.#borrow({ ...request, now: at }, outcome);
    };
    const timeoutAt = now + Math.ceil(validMs / STEP_MS) * STEP_MS;
    this.#at(timeoutAt, () => settle(undefined, timeoutAt));
    const delayMs = this.#delayMs(id, { to, now });
    if (lender === undefined || delayMs === undefined) return;
    const askedAt = now + delayMs;
    this.#at(askedAt, () => {
      if (this.#processes[to] !== lender) return;
      const given = lender.instance.lend(units, { validMs, now: askedAt });
      loan = given;
      const replyMs = this.#delayMs(to, { to: id, now: askedAt });
      if (replyMs === undefined) return;
      const repliedAt = askedAt + replyMs;
      this.#at(repliedAt, () => settle(given.reply, repliedAt));
    });
  }

  /** Time that a message takes; undefined if it is lost. */
  #delayMs(
    from: InstanceId,
    { to, now }: { readonly to: InstanceId; readonly now: number },
  ): number | undefined {
    const random = this.#linkRandom();
    const delayMs = this.#options.delayMs === undefined
      ? 0
      : this.#options.delayMs({ from, to, now, random });
    if (delayMs === undefined) return undefined;
    const networkMs = placeOf(from).region === placeOf(to).region
      ? SAME_REGION_DELAY_MS
      : OTHER_REGION_DELAY_MS;
    return Math.ceil((networkMs + delayMs) / STEP_MS) * STEP_MS;
  }

  #storeUse(now: number): void {
    this.#processes.forEach((process, id) => {
      const phaseMs = (this.#phases[id] ?? 0) * STORE_INTERVAL_MS /
        REPORT_TICK_MS * STEP_MS;
      if (
        process === undefined ||
        (now + WARM_UP_MS - phaseMs) % STORE_INTERVAL_MS !== 0
      ) return;
      this.#stored.set(id, process.instance.store(now));
    });
  }

  #sendReports(now: number): void {
    const { instances } = this.#options;
    for (let from = 0; from < instances; from++) {
      const process = this.#processes[from];
      if (process === undefined || now < process.reportsAt) continue;
      const sinceFirst = now + WARM_UP_MS - (this.#phases[from] ?? 0) * STEP_MS;
      if (sinceFirst < 0 || sinceFirst % REPORT_TICK_MS !== 0) continue;
      const tick = sinceFirst / REPORT_TICK_MS;
      const ticks = isLargeFleet(instances - 1) ? LARGE_FLEET_TICKS : 1;
      for (let to = 0; to < instances; to++) {
        if (from === to || (tick + to) % ticks !== 0) continue;
        if (this.#areStrangers(from, { peer: to, now })) continue;
        this.#sendReport(process, {
          from,
          to,
          now,
          intervalMs: ticks * REPORT_TICK_MS,
        });
      }
    }
  }

  #sendReport(
    process: Process,
    options: {
      readonly from: InstanceId;
      readonly to: InstanceId;
      readonly now: number;
      readonly intervalMs: number;
    },
  ): void {
    const { from, to, now, intervalMs } = options;
    const receiver = this.#processes[to];
    if (receiver === undefined) return;
    const exchange = exchangeWith(process, { id: to, peer: receiver });
    exchange.sent += 1;
    const envelope: Envelope = {
      from,
      process: process.number,
      seq: exchange.sent,
      ack: exchange.received,
      intervalMs,
      upMs: now - process.startedAt,
    };
    const report = process.instance.report({
      id: to,
      process: receiver.number,
      knownForMs: exchange.knownSince === undefined
        ? undefined
        : now - exchange.knownSince,
      seq: exchange.sent,
    }, now);
    const delayMs = this.#delayMs(from, { to, now });
    if (delayMs === undefined) return;
    const key = `${from} ${to}`;
    const arrivesAt = Math.max(
      now + delayMs,
      this.#lastArrival.get(key) ?? -Infinity,
    );
    this.#lastArrival.set(key, arrivesAt);
    this.#at(arrivesAt, () => {
      // The connection has ended with either process.
      if (this.#processes[from] !== process) return;
      if (this.#processes[to] !== receiver) return;
      const back = exchangeWith(receiver, { id: from, peer: process });
      back.received = envelope.seq;
      back.knownSince ??= arrivesAt;
      receiver.instance.receive(report, { envelope, now: arrivesAt });
    });
  }
}
