/** A fleet whose instances exchange digests, on one clock. Only the network is
 * simulated: messages arrive in order on each connection after a delay.
 *
 * @module
 */
import type { InstanceState } from "../digest_board.ts";
import { decodeDigest, type Digest } from "../digest_message.ts";
import { DIGEST_TICK_MS, DigestPlane } from "../digest_plane.ts";
import { MemberTable } from "../member_table.ts";
import type { Member } from "../types.ts";
import { memberOf } from "./member_of.ts";

/** One-way delays within a zone, between zones and between regions, in
 * milliseconds. */
const DELAYS_MS = [1, 1, 9] as const;

/** Time between steps of the simulation, in milliseconds. */
const STEP_MS = 10;

/** A row's value, with the time at which it was made. */
export interface Stamped {
  readonly madeAt: number;
}

/** One instance. */
export class FleetNode {
  readonly member: Member;
  readonly members: MemberTable;
  readonly plane: DigestPlane;
  /** Newest stamps of the others' rows by instance, and times of arrival. */
  readonly stamps = new Map<string, { value: Stamped; arrivedAt: number }>();
  /** Whether a row went back to an older value. */
  wentBack = false;
  loads: ReadonlyMap<string, number> = new Map();
  readonly used: (readonly [string, string])[] = [];
  state: Omit<InstanceState, "digestIntervalMs">;
  /** Until when it neither sends nor receives. */
  frozenUntil = -Infinity;
  isDead = false;
  /** Offset of the ticks. */
  readonly phaseMs: number;
  readonly backlog: (() => void)[] = [];
  /** Time for which it was suspended, which its clock does not count; and the
   * part of it that it has not noticed yet. */
  suspendedMs = 0;
  unnoticedMs = 0;
  messagesSent = 0;
  messagesReceived = 0;
  bytesReceived = 0;
  /** Peers that it has sent a message to. */
  readonly connections = new Set<string>();

  constructor(
    member: Member,
    options: {
      readonly now: number;
      readonly phaseMs: number;
      readonly known: readonly Member[];
      readonly isActive: boolean;
    },
  ) {
    const { now, phaseMs, known, isActive } = options;
    this.member = member;
    this.phaseMs = phaseMs;
    this.members = new MemberTable(member.name, now);
    this.members.setMembers(known, now);
    this.state = {
      ready: true,
      leaving: false,
      serves: isActive,
      orders: isActive,
      busy: 0,
      reachesStore: true,
      storeRoundTripMs: 5,
      tenure: "t",
    };
    this.plane = new DigestPlane(member, {
      members: this.members,
      now,
      onRows: (from, rows) => {
        for (const { kind, name, value } of rows) {
          if (kind !== "answers" || name !== "stamp") continue;
          const stamp = value as Stamped;
          const before = this.stamps.get(from.name);
          if (before !== undefined && stamp.madeAt < before.value.madeAt) {
            this.wentBack = true;
          }
          this.stamps.set(from.name, { value: stamp, arrivedAt: this.clock });
        }
      },
      onUse: (from, engine) => void this.used.push([from, engine]),
      onLoads: ({ counts }) => void (this.loads = counts),
      onRoundTrip: () => undefined,
      onDelivered: () => undefined,
      onPeer: () => undefined,
    });
  }

  /** The time by the monotonic clock of this instance. */
  clock = 0;
}

/** Options of a fleet. */
export interface DigestFleetOptions {
  readonly size: number;
  readonly zones: number;
  /** Number of instances of a zone that serve callers or order at engines. */
  readonly activePerZone: number;
}

/** All instances and the messages on their way. */
export class DigestFleet {
  readonly nodes = new Map<string, FleetNode>();
  readonly #options: DigestFleetOptions;
  readonly #cut = new Set<string>();
  readonly #inbox = new Map<number, (() => void)[]>();
  readonly #connections = new Map<string, number>();
  #connectionCount = 0;
  now = 0;
  /** Whether rows change: one of each active instance in each tick. */
  stampsRows = true;
  /** Passes each message on its way; may change, repeat or drop it. */
  tamper: (digest: Digest, from: string, to: string) => readonly Digest[] = (
    digest,
  ) => [digest];

  constructor(options: DigestFleetOptions) {
    this.#options = options;
    const members = Array.from(
      { length: options.size },
      (_, i) => this.#memberOf(i, 0),
    );
    members.forEach((member, i) => this.#start(member, i, members));
  }

  #memberOf(i: number, process: number): Member {
    const zone = i % this.#options.zones;
    // Callers use the strong instances, and weak ones may own engines.
    const cores = Math.floor(i / this.#options.zones) < 3 ? 1.35 : 0.324;
    return memberOf(`i${String(i).padStart(4, "0")}`, {
      zone: `z${zone}`,
      region: `r${zone % 2}`,
      cores,
      incarnation: `p${process}`,
    });
  }

  #start(member: Member, i: number, known: readonly Member[]): void {
    const node = new FleetNode(member, {
      now: this.now,
      phaseMs: (i * 37) % DIGEST_TICK_MS,
      known,
      isActive:
        Math.floor(i / this.#options.zones) < this.#options.activePerZone,
    });
    node.clock = this.now;
    this.nodes.set(member.name, node);
  }

  /** The instances of a zone, in the order of their names. */
  zone(zone: number): readonly FleetNode[] {
    return [...this.nodes.values()].filter(({ member }) =>
      member.zone === `z${zone}`
    );
  }

  /** The collectors of a zone. */
  collectors(zone: number): readonly FleetNode[] {
    return this.zone(zone).filter(({ plane }) => plane.isCollector);
  }

  /** Ends an instance. */
  kill(node: FleetNode): void {
    node.isDead = true;
    for (const key of this.#connections.keys()) {
      if (key.split(" ").includes(node.member.name)) {
        this.#connections.delete(key);
      }
    }
  }

  /** Starts an instance again, as a new process that knows all members. */
  restart(node: FleetNode): FleetNode {
    this.kill(node);
    const i = Number(node.member.name.slice(1));
    const process = Number(node.member.incarnation.slice(1)) + 1;
    const member = this.#memberOf(i, process);
    const known = [...this.nodes.values()].map((other) => other.member);
    this.#start(member, i, known);
    const restarted = this.nodes.get(member.name);
    if (restarted === undefined) throw new Error("not started");
    return restarted;
  }

  /** Cuts two instances off from each other; returns the undo. */
  cut(a: FleetNode, b: FleetNode): () => void {
    const keys = [
      `${a.member.name} ${b.member.name}`,
      `${b.member.name} ${a.member.name}`,
    ];
    for (const key of keys) this.#cut.add(key);
    return () => {
      for (const key of keys) {
        this.#cut.delete(key);
        this.#connections.delete(key);
      }
    };
  }

  /** Suspends an instance: its clock stands still, and what arrives waits. */
  suspend(node: FleetNode, ms: number): void {
    node.frozenUntil = this.now + ms;
    node.suspendedMs += ms;
    node.unnoticedMs += ms;
  }

  /** Lets time pass; calls `observe` after each step. */
  advance(ms: number, observe: () => void = () => undefined): void {
    for (const until = this.now + ms; this.now < until;) {
      this.now += STEP_MS;
      const due = this.#inbox.get(this.now) ?? [];
      this.#inbox.delete(this.now);
      for (const deliver of due) deliver();
      for (const node of this.nodes.values()) this.#step(node);
      observe();
    }
  }

  #step(node: FleetNode): void {
    if (node.isDead || this.now < node.frozenUntil) return;
    node.clock = this.now - node.suspendedMs;
    const backlog = node.backlog.splice(0);
    for (const deliver of backlog) deliver();
    if (node.unnoticedMs > 0) {
      node.plane.recordSuspension(node.unnoticedMs);
      node.unnoticedMs = 0;
    }
    const isTick = (this.now - node.phaseMs) % DIGEST_TICK_MS < STEP_MS;
    if (!isTick && !node.plane.isUrgent) return;
    node.plane.setState(node.state, node.clock);
    if (isTick && this.stampsRows && node.state.serves) {
      const stamp = { madeAt: this.now };
      node.plane.publish("answers", [["stamp", this.now, stamp]], node.clock);
    }
    for (
      const { member, build } of node.plane.plan(node.clock, {
        isUrgent: !isTick,
      })
    ) {
      const to = this.nodes.get(member.name);
      if (to === undefined || to.isDead) continue;
      this.#send(node, to, build(this.#connection(node, to)));
    }
  }

  #connection(from: FleetNode, to: FleetNode): number {
    const key = `${from.member.name} ${to.member.name}`;
    let connection = this.#connections.get(key);
    if (connection === undefined) {
      this.#connectionCount += 1;
      connection = this.#connectionCount;
      this.#connections.set(key, connection);
    }
    return connection;
  }

  #send(from: FleetNode, to: FleetNode, sent: Digest): void {
    from.messagesSent += 1;
    from.connections.add(to.member.name);
    const names = [from.member.name, to.member.name] as const;
    if (this.#cut.has(names.join(" "))) return;
    for (const digest of this.tamper(sent, ...names)) {
      const text = JSON.stringify(digest);
      const distance = from.member.zone === to.member.zone
        ? 0
        : from.member.region === to.member.region
        ? 1
        : 2;
      const at = this.now + Math.ceil(DELAYS_MS[distance] / STEP_MS) * STEP_MS;
      const inbox = this.#inbox.get(at) ?? [];
      this.#inbox.set(at, inbox);
      inbox.push(() => this.#deliver(from, to, text));
    }
  }

  #deliver(from: FleetNode, to: FleetNode, text: string): void {
    if (to.isDead) return;
    if (this.now < to.frozenUntil || to.backlog.length > 0) {
      to.backlog.push(() => this.#deliver(from, to, text));
      return;
    }
    to.clock = this.now - to.suspendedMs;
    to.messagesReceived += 1;
    to.bytesReceived += text.length;
    const digest = decodeDigest(JSON.parse(text));
    if (digest === undefined) return;
    to.members.add(from.member);
    to.plane.receive(from.member, digest, to.clock);
  }
}
