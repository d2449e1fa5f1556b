/** The code under test in the simulation of a fleet's limit: what one process
 * decides, and what it reports.
 *
 * @module
 */
import { MemberTable } from "../member_table.ts";
import { type LoanReply, LoanSearch, RateLenders } from "../rate_lenders.ts";
import { rateSharers } from "../rate_sharers.ts";
import {
  type RateLimit,
  type TakenUnits,
  TokenRate,
  unitsInWindow,
} from "../token_rate.ts";
import type { Member } from "../types.ts";
import { memberOf } from "./member_of.ts";

/** How long a peer's process counts as new, in milliseconds: reports to it have
 * what the peer's earlier process had left. */
const NEW_PEER_MS = 1500;

/** How long requests may wait for units of other instances, in milliseconds: a
 * quarter of their deadline. The deployments' generations have a deadline of 12
 * s, one in four of 3 s. */
const WAIT_MAX_MS = 3000;
const SHORT_WAIT_MAX_MS = 750;
const SHORT_WAIT_FRACTION = 0.25;

const WORKSPACE = "w";

/** Number that identifies an instance; its processes have the same. */
export type InstanceId = number;

/** What the transport adds to each report. Times are those of the sender. */
export interface Envelope {
  readonly from: InstanceId;
  /** Which process of the sender reports, from 0. */
  readonly process: number;
  /** Number of the report, from 1 for each process. */
  readonly seq: number;
  /** The newest report that the sender has received from the receiver's process;
   * 0 if it has received none. */
  readonly ack: number;
  readonly intervalMs: number;
  /** Milliseconds since the start of the sender's process. */
  readonly upMs: number;
}

/** Content of a report: units left of the sender's share, and those that an
 * earlier process of the receiver had left. */
export interface UseReport {
  readonly room: number;
  readonly formerRoom: number | undefined;
}

/** Units that were lent, or the refusal to lend them. */
export interface SimulatedLoan {
  readonly reply: LoanReply;
  readonly takeBack: (now: number) => void;
}

/** The use of a share that an instance keeps in the store. */
export interface StoredUse {
  readonly slices: readonly number[];
  readonly at: number;
}

/** The receiver of a report. */
export interface Receiver {
  readonly id: InstanceId;
  readonly process: number;
  /** Milliseconds since its first report arrived; undefined before. */
  readonly knownForMs: number | undefined;
  /** Number that the report to be sent will have. */
  readonly seq: number;
}

/** A process of the simulated fleet. */
export interface SimulatedInstance {
  readonly tryTake: (units: number, now: number) => TakenUnits | undefined;
  /** What the instance writes to the store. */
  readonly store: (now: number) => StoredUse;
  readonly takeRest: (units: number, now: number) => TakenUnits;
  readonly refund: (taken: TakenUnits, now: number) => void;
  /** The search for units of other instances. */
  readonly search: (units: number, now: number) => LoanSearch;
  readonly lend: (
    units: number,
    options: { readonly validMs: number; readonly now: number },
  ) => SimulatedLoan;
  readonly report: (to: Receiver, now: number) => UseReport;
  readonly receive: (
    report: UseReport,
    options: { readonly envelope: Envelope; readonly now: number },
  ) => void;
}

/** Where and when a process starts. */
export interface InstanceContext {
  readonly id: InstanceId;
  readonly random: () => number;
  /** Where an instance is. */
  readonly placeOf: (
    id: InstanceId,
  ) => { readonly zone: string; readonly region: string };
  /** The peers that the process knows at its start. It learns of others from
   * their first reports. */
  readonly peers: readonly InstanceId[];
  readonly limit: RateLimit;
  readonly windowMs: number;
  readonly startedAt: number;
  /** What an earlier process has written to the store. */
  readonly storedUse: StoredUse | undefined;
}

/** Starts a process. This is the only function that calls the code under test.
 */
export function startInstance(context: InstanceContext): SimulatedInstance {
  const { id, peers, limit, windowMs, startedAt, random } = context;
  const member = (peer: InstanceId) =>
    memberOf(`${peer}`, context.placeOf(peer));
  const self = member(id);
  const rate = new TokenRate(limit, {
    now: startedAt,
    windowMs,
    hasEarlierUse: true,
  });
  const lenders = new RateLenders(self, random);
  const members = new MemberTable(self.name, startedAt);
  let sharers: readonly Member[] = [];
  const addMember = (peer: InstanceId) => members.add(member(peer));
  const updateShare = (now: number) => {
    sharers = rateSharers([self, ...members.list()], {
      workspace: WORKSPACE,
      limit,
      windowMs,
      requestUnits: 1,
    });
    const isSharer = sharers.some(({ name }) => name === self.name);
    rate.setShare(isSharer ? 1 / sharers.length : 0, now);
  };
  for (const peer of peers) addMember(peer);
  updateShare(startedAt);
  if (context.storedUse !== undefined) {
    const { slices, at } = context.storedUse;
    rate.restoreUse(slices, { at, now: startedAt });
  }
  const roomAt = (now: number) => Math.max(0, Math.floor(rate.levelAt(now)));
  /** Which process of a peer is known, and what the one before had left. */
  const processes = new Map<
    string,
    { readonly number: number; readonly formerRoom: number }
  >();
  return {
    tryTake: (units, now) => rate.tryTake(units, { now }),
    takeRest: (units, now) => rate.takeRest(units, now),
    store: (now) => ({ slices: rate.useAt(now), at: now }),
    refund: (taken, now) => rate.refund(taken, now),
    search: (units, now) =>
      new LoanSearch(
        lenders,
        sharers.filter(({ name }) => members.isAlive(name, now)),
        {
          workspace: WORKSPACE,
          units,
          fullRoom: unitsInWindow(limit, windowMs) / sharers.length,
          waitMaxMs: random() < SHORT_WAIT_FRACTION
            ? SHORT_WAIT_MAX_MS
            : WAIT_MAX_MS,
        },
      ),
    lend: (units, { validMs, now }) => {
      const taken = rate.tryTake(units, { now, validMs });
      return {
        reply: { ok: taken !== undefined, room: roomAt(now) },
        takeBack: (at) => {
          if (taken !== undefined) rate.refund(taken, at);
        },
      };
    },
    report: (to, now) => {
      const isNew = to.knownForMs !== undefined && to.knownForMs <= NEW_PEER_MS;
      return {
        room: roomAt(now),
        formerRoom: isNew ? processes.get(`${to.id}`)?.formerRoom : undefined,
      };
    },
    receive: ({ room, formerRoom }, { envelope, now }) => {
      const peer = `${envelope.from}`;
      if (members.get(peer) === undefined) {
        addMember(envelope.from);
        updateShare(now);
      }
      members.setState(peer, {
        leaving: false,
        ready: true,
        digestIntervalMs: envelope.intervalMs,
        serves: true,
        orders: false,
        busy: 0,
        reachesStore: true,
        storeRoundTripMs: undefined,
        tenure: undefined,
      });
      members.recordEvidence(peer, {
        heardAt: now,
        checkedAt: now,
        intervalMs: envelope.intervalMs,
      });
      if (processes.get(peer)?.number !== envelope.process) {
        processes.set(peer, {
          number: envelope.process,
          formerRoom: lenders.roomOf(WORKSPACE, peer) ?? 0,
        });
      }
      lenders.recordRoom(WORKSPACE, peer, room);
      const upMs = now - startedAt;
      if (
        formerRoom !== undefined && envelope.upMs > upMs + NEW_PEER_MS &&
        upMs < NEW_PEER_MS * 2
      ) rate.adoptLevel(formerRoom, now);
    },
  };
}
