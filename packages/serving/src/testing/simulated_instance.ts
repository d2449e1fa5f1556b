/** The code under test in the simulation of a fleet's limit: what one process
 * decides, and what it reports.
 *
 * @module
 */
import { MemberTable } from "../member_table.ts";
import { type RateLimit, TokenRate } from "../token_rate.ts";

/** How long a peer's process counts as new, in milliseconds: reports to it have
 * the sender's level. */
const NEW_PEER_MS = 1500;

/** Number of reports to a peer after which the use is repeated unchanged. */
const REFRESH_EVERY_REPORTS = 10;

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

/** Content of a report. */
export interface UseReport {
  readonly used: number | undefined;
  readonly level: number | undefined;
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
  readonly tryTake: (units: number, now: number) => boolean;
  /** Refunds units that were taken at `takenAt`. */
  readonly refund: (units: number, now: number, takenAt: number) => void;
  readonly report: (to: Receiver, now: number) => UseReport;
  readonly receive: (
    report: UseReport,
    options: { readonly envelope: Envelope; readonly now: number },
  ) => void;
}

/** Where and when a process starts. */
export interface InstanceContext {
  readonly id: InstanceId;
  /** The peers that the process knows at its start. It learns of others from
   * their first reports. */
  readonly peers: readonly InstanceId[];
  readonly limit: RateLimit;
  readonly windowMs: number;
  readonly startedAt: number;
}

/** Starts a process. This is the only function that calls the code under test.
 */
export function startInstance(context: InstanceContext): SimulatedInstance {
  const { id, peers, limit, windowMs, startedAt } = context;
  const rate = new TokenRate(limit, { now: startedAt, windowMs });
  const members = new MemberTable(`${id}`, startedAt);
  for (const peer of peers) members.add(member(peer));
  const sent = new Map<
    InstanceId,
    { process: number; used: number; reports: number }
  >();
  let silent = { at: NaN, share: 0 };
  return {
    tryTake: (units, now) => {
      if (silent.at !== now) {
        silent = { at: now, share: members.silentShare(now) };
      }
      rate.advance(now, silent.share);
      return rate.tryTake(units);
    },
    refund: (units) => rate.refund(units),
    report: (to, now) => {
      const last = sent.get(to.id);
      const isSame = last?.process === to.process;
      const reports = (isSame ? last.reports : 0) + 1;
      const used = isSame && last.used === rate.used &&
          reports % REFRESH_EVERY_REPORTS !== 0
        ? undefined
        : rate.used;
      sent.set(to.id, { process: to.process, used: rate.used, reports });
      const isNew = to.knownForMs !== undefined && to.knownForMs <= NEW_PEER_MS;
      return { used, level: isNew ? rate.levelAt(now) : undefined };
    },
    receive: ({ used, level }, { envelope, now }) => {
      const peer = `${envelope.from}`;
      if (members.get(peer) === undefined) members.add(member(envelope.from));
      members.setState(peer, now, {
        leaving: false,
        ready: true,
        digestIntervalMs: envelope.intervalMs,
        serves: true,
        orders: false,
        busy: 0,
        reachesStore: true,
        tenure: undefined,
      });
      if (used !== undefined) {
        rate.recordPeerUse(peer, {
          incarnation: `${envelope.process}`,
          used,
          digestIntervalMs: envelope.intervalMs,
          now,
        });
      }
      const upMs = now - startedAt;
      if (
        level !== undefined && envelope.upMs > upMs + NEW_PEER_MS &&
        upMs < NEW_PEER_MS * 2
      ) rate.adoptLevel(level, now);
    },
  };
}

function member(id: InstanceId) {
  return {
    name: `${id}`,
    zone: "",
    region: "",
    peerAddress: "",
    callerAddress: "",
    incarnation: "",
    cores: 1,
  };
}
