/** Decides which digests an instance sends, and learns from those that it
 * receives.
 *
 * @module
 */
import {
  type BoardRow,
  DigestBoard,
  type InstanceState,
  type Origin,
  type RowKind,
} from "./digest_board.ts";
import {
  type AdapterUse,
  decodeState,
  type Digest,
  HOPS_MAX,
  type LoadScope,
  type OriginField,
  type RowField,
  type UseField,
} from "./digest_message.ts";
import { IncomingStream, OutgoingStream, Transit } from "./digest_stream.ts";
import {
  allTargets,
  digestGroupOf,
  type DigestTargets,
  digestTargets,
  isLargeFleet,
  type RankedZones,
  rankZones,
} from "./digest_topology.ts";
import {
  type CountedLoads,
  type LoadCounts,
  LoadTotals,
} from "./load_totals.ts";
import type { MemberTable } from "./member_table.ts";
import type { ReportRow } from "./report_row.ts";
import type { Member } from "./types.ts";

/** Time between ticks, in milliseconds. */
export const DIGEST_TICK_MS = 200;

/** Ticks between digests of and to an instance that neither serves callers nor
 * sends orders, if they pass through a collector. */
export const IDLE_TICKS = 5;

/** Ticks between digests of the collectors of a group to each other. */
const SIBLING_TICKS = 2;

/** A peer counts as silent after this many of its intervals, and at least this
 * time, in milliseconds. The next in order then takes its place for a while. */
const SILENT_INTERVALS = 2.5;
const SILENT_MIN_MS = 500;
const PASSED_OVER_MS = 3000;

/** How long an instance of a zone is tried in which none answers, in
 * milliseconds. */
const TRY_MS = 1000;

/** How long after its last digest a peer still receives digests in return, in
 * intervals of the peer, and at least in milliseconds. */
const RETURN_INTERVALS = 2.5;
const RETURN_MIN_MS = 3000;

/** Counts of a peer are valid for this many of its intervals, and at least for
 * the minimum time, in milliseconds. */
const COUNTS_VALID_INTERVALS = 4;
const COUNTS_VALID_MIN_MS = 1500;

/** How long use waits for a digest to the next instance on its way, in
 * milliseconds. */
const USE_WAIT_MS = 3000;

/** Instances that were not heard of for so long are forgotten, in
 * milliseconds. */
const FORGET_MS = 60_000;

/** Number of messages to a peer of which the time is known. */
const SENT_KEPT = 64;

/** Age of an instance that is serving callers at which its group is told at once,
 * in milliseconds. */
const LOST_MS = 1000;

/** What passes between two instances. */
type LinkKind =
  /** To a collector: the own state and rows. */
  | "report"
  /** To the other collector of the group: everything. */
  | "sibling"
  /** To a collector of another group: those of the own group. */
  | "exchange"
  /** To an instance that reports here: everything. */
  | "distribute";

const SCOPES: Readonly<Record<LinkKind, LoadScope>> = {
  report: "own",
  sibling: "own",
  exchange: "group",
  distribute: "fleet",
};

/** A digest that is due. */
export interface PlannedDigest {
  readonly member: Member;
  /** Longest time until the next one, in milliseconds. */
  readonly everyMs: number;
  /** Builds the digest for a connection, whose number differs from that of each
   * one before. */
  readonly build: (connection: number) => Digest;
}

/** What the plane tells of what it learns. */
export interface DigestListener {
  /** The rows of another instance in one digest that are new here. */
  readonly onRows: (member: Member, rows: readonly BoardRow[]) => void;
  /** Use of adapters on an engine that this instance owns. */
  readonly onUse: (from: string, engine: string, use: AdapterUse) => void;
  /** The requests of all other instances, by engine, have changed. */
  readonly onLoads: (loads: CountedLoads, validUntil: number) => void;
  /** A message to a member and back took so long, in milliseconds. */
  readonly onRoundTrip: (
    member: Member,
    trip: { readonly roundTripMs: number; readonly intervalMs: number },
  ) => void;
  /** The peer has received what was sent to it at `sentAt`. */
  readonly onDelivered: (member: Member, sentAt: number) => void;
  /** The first digest of a peer's process arrived. */
  readonly onPeer: (member: Member) => void;
}

interface Peer {
  incoming: IncomingStream | undefined;
  outgoing: OutgoingStream | undefined;
  /** What the outgoing stream contains, and its connection. */
  outgoingOf: string;
  transit: Transit;
  readonly sentAt: Map<number, number>;
  lastSentTick: number;
  /** When this instance began to expect digests of the peer. */
  expectedSince: number | undefined;
  passedOverUntil: number;
  /** Scope of the last digest, and when it arrived. */
  scope: LoadScope | undefined;
  heardAt: number;
}

/** The digests of one instance. */
export class DigestPlane {
  readonly #self: Member;
  readonly #members: MemberTable;
  readonly #listener: DigestListener;
  readonly #board = new DigestBoard();
  readonly #loads = new LoadTotals();
  readonly #peers = new Map<string, Peer>();
  readonly #startedAt: number;
  readonly #publishedStates = new Map<string, number>();
  #state: InstanceState | undefined;
  #version = 0;
  #tick = 0;
  #reportTick = -Infinity;
  #reports = 0;
  #targets: DigestTargets = allTargets([]);
  #zones: RankedZones = new Map();
  /** Version of the list of members for which the zones were ranked. */
  #rankedAt = -1;
  #isLarge = false;
  /** Number of streams so far. */
  #epochs = 0;
  /** Time for which this process was suspended, in milliseconds. */
  #suspendedMs = 0;
  #use: { readonly field: UseField; readonly until: number }[] = [];
  #useNumber = 0;
  /** The newest use applied, by instance and engine. */
  readonly #appliedUse = new Map<string, number>();
  /** Whether peers must be told before the next tick. */
  #isUrgent = false;

  /** `now` is when this process started. */
  constructor(
    self: Member,
    options: DigestListener & {
      readonly members: MemberTable;
      readonly now: number;
    },
  ) {
    this.#self = self;
    this.#members = options.members;
    this.#listener = options;
    this.#startedAt = options.now;
  }

  /** Everything that is known of other instances. */
  get board(): DigestBoard {
    return this.#board;
  }

  /** Whether something has arrived that others must be told at once. */
  get isUrgent(): boolean {
    return this.#isUrgent;
  }

  /** Whether this instance passes digests on. */
  get isCollector(): boolean {
    return this.#targets.isCollector;
  }

  /** Sets the state that this instance reports. */
  setState(state: Omit<InstanceState, "digestIntervalMs">, now: number): void {
    this.#updateTargets(now);
    const isIdle = this.#isIdle(state) && !this.#targets.isCollector;
    const digestIntervalMs = DIGEST_TICK_MS * (isIdle ? IDLE_TICKS : 1);
    const next = { ...state, digestIntervalMs };
    const current = this.#state;
    if (current !== undefined && isSameState(current, next)) return;
    this.#state = next;
    this.#version += 1;
    this.#board.mergeState(this.#self, {
      state: next,
      version: this.#version,
      startedAt: this.#startedAt,
      heardAt: now,
    });
  }

  /** Sets the rows of a kind that this instance reports. Those whose state has
   * changed are sent, and those that are left out are withdrawn. */
  publish<T>(kind: RowKind, rows: readonly ReportRow<T>[], now: number): void {
    const names = new Set<string>();
    for (const [name, state, value] of rows) {
      names.add(name);
      const key = `${kind} ${name}`;
      if (this.#publishedStates.get(key) === state) continue;
      this.#publishedStates.set(key, state);
      this.#publishRow(kind, { name, value, now });
    }
    for (
      const { kind: of, name, value } of this.#board.rowsOf(this.#self.name)
    ) {
      if (of !== kind || value === null || names.has(name)) continue;
      this.#publishedStates.delete(`${kind} ${name}`);
      this.#publishRow(kind, { name, value: null, now });
    }
  }

  /** Sets the requests of this instance in flight, by engine. */
  setLoads(counts: LoadCounts): void {
    this.#loads.setOwn(counts);
  }

  /** Sends use of adapters to the owner of an engine with the next digests. */
  sendUse(to: string, engine: string, use: AdapterUse, now: number): void {
    this.#useNumber += 1;
    this.#use.push({
      field: [to, this.#self.name, this.#useNumber, engine, use, 0],
      until: now + USE_WAIT_MS,
    });
  }

  /** Makes all that is known older by the time for which this process was
   * suspended, which its clock did not count. */
  recordSuspension(ms: number): void {
    this.#suspendedMs += ms;
    this.#board.addAge(ms);
  }

  /** The digests that are due at a tick; those to all peers, between ticks, if
   * `isUrgent`.
   *
   * @example
   * ```ts
   * for (const { member, build } of plane.plan(performance.now())) {
   *   links.send(member.peerAddress, build(1));
   * }
   * ```
   */
  plan(
    now: number,
    { isUrgent = false, ticks = 1 }: {
      readonly isUrgent?: boolean;
      /** Number of ticks since the last plan; an idle instance may plan less
       * often. */
      readonly ticks?: number;
    } = {},
  ): readonly PlannedDigest[] {
    if (!isUrgent) this.#tick += ticks;
    this.#isUrgent = false;
    const { name, incarnation } = this.#self;
    this.#board.recordHeard(name, incarnation, now);
    this.#board.recordDirect(name, now);
    this.#dropLost(now);
    this.#updateTargets(now);
    const links = this.#linksNow(now);
    this.#expectOnly(links);
    const planned: PlannedDigest[] = [];
    for (const [member, kind] of links) {
      const ticks = this.#ticksOf(member, kind);
      const peer = this.#peerOf(member.name);
      const isDue = kind === "report"
        ? peer.expectedSince === undefined || this.#isReportDue(member, ticks)
        : this.#tick - peer.lastSentTick >= ticks;
      if (!isUrgent && !isDue) continue;
      peer.lastSentTick = this.#tick;
      if (kind !== "distribute") peer.expectedSince ??= now;
      const everyMs = ticks * DIGEST_TICK_MS *
        (kind === "report" ? this.#targets.collectors.length : 1);
      planned.push({
        member,
        everyMs,
        build: (connection) =>
          this.#build(member, { kind, everyMs, connection, isUrgent, now }),
      });
    }
    if (!isUrgent) this.#countReport();
    this.#reportLoads(now, now + COUNTS_VALID_MIN_MS);
    this.#use = this.#use.filter(({ until }) => now < until);
    return planned;
  }

  /** Learns from a digest of the member `from`. */
  receive(from: Member, digest: Digest, now: number): void {
    const peer = this.#peerOf(from.name);
    let stream = peer.incoming;
    if (stream === undefined || !stream.isContinuedBy(digest)) {
      const begins = stream === undefined
        ? digest.seq === 1
        : stream.isReplacedBy(digest, now);
      if (!begins) return;
      const isOtherProcess = stream?.incarnation !== digest.inc;
      stream = new IncomingStream(digest, now);
      peer.incoming = stream;
      if (isOtherProcess) {
        peer.transit = new Transit();
        this.#listener.onPeer(from);
      }
    }
    const changeBefore = this.#board.change;
    stream.seq = digest.seq;
    stream.receivedAt = now;
    stream.everyMs = digest.every;
    peer.heardAt = now;
    peer.scope = digest.scope;
    peer.passedOverUntil = -Infinity;
    const arrivedMs = peer.transit.record(digest.up, now);
    this.#recordAck(from, peer, digest, now);
    for (const field of digest.origins ?? []) {
      this.#receiveOrigin(stream, field, now - arrivedMs);
    }
    this.#board.recordDirect(from.name, now);
    this.#receiveAges(stream, digest, { now, arrivedMs });
    this.#receiveRows(stream, digest.rows ?? [], now - arrivedMs);
    this.#receiveLoads(from, stream, digest, { now, arrivedMs });
    for (const field of digest.use ?? []) this.#receiveUse(field, now);
    const hasNews = this.#board.change > changeBefore;
    if (digest.urgent === true && hasNews && this.#passesOn) {
      this.#isUrgent = true;
    }
  }

  #publishRow(
    kind: RowKind,
    row: {
      readonly name: string;
      readonly value: unknown;
      readonly now: number;
    },
  ): void {
    const { name, value, now: madeAt } = row;
    this.#version += 1;
    const { name: self, incarnation } = this.#self;
    const version = this.#version;
    this.#board.mergeRow(self, incarnation, {
      kind,
      name,
      version,
      madeAt,
      value,
    });
  }

  /** The peers to which digests go, with what they receive. */
  #linksNow(now: number): ReadonlyMap<Member, LinkKind> {
    const { collectors, siblings, counterparts } = this.#targets;
    const links = new Map<Member, LinkKind>();
    for (const member of collectors) links.set(member, "report");
    for (const member of siblings) links.set(member, "sibling");
    for (const member of counterparts) links.set(member, "exchange");
    const linked = new Set([...links.keys()].map(({ name }) => name));
    for (const [name, { scope, heardAt, incoming }] of this.#peers) {
      if (scope === undefined || linked.has(name)) continue;
      const everyMs = incoming?.everyMs ?? 0;
      const returnMs = Math.max(RETURN_MIN_MS, everyMs * RETURN_INTERVALS);
      if (now - heardAt > returnMs) continue;
      const member = this.#members.get(name);
      if (member === undefined) continue;
      // A peer may not know yet who collects its digests.
      const isCollector = scope === "group" && member.zone !== this.#self.zone;
      if (scope === "own") links.set(member, "distribute");
      else if (scope === "group") {
        links.set(member, isCollector ? "exchange" : "distribute");
      }
    }
    return links;
  }

  #updateTargets(now: number): void {
    const { generation } = this.#members;
    if (generation !== this.#rankedAt) {
      this.#rankedAt = generation;
      const peers = this.#members.list();
      this.#isLarge = isLargeFleet(peers.length);
      this.#zones = rankZones([this.#self, ...peers]);
      this.#targets = allTargets(peers);
    }
    if (!this.#isLarge) return;
    this.#targets = digestTargets(this.#self, this.#zones, {
      isUsable: (member) => this.#isUsable(member, now),
      turn: Math.floor(now / TRY_MS),
    });
  }

  /** Whether a member may be relied on: it answers as far as it was tried, and
   * nobody says that it is lost. */
  #isUsable({ name }: Member, now: number): boolean {
    const peer = this.#peers.get(name);
    if (peer === undefined) return !this.#members.isReportedLost(name);
    if (now < peer.passedOverUntil) return false;
    const { expectedSince, incoming, heardAt } = peer;
    if (expectedSince !== undefined) {
      const everyMs = incoming?.everyMs ?? 0;
      const limitMs = Math.max(SILENT_MIN_MS, everyMs * SILENT_INTERVALS);
      if (now - Math.max(heardAt, expectedSince) > limitMs) {
        peer.passedOverUntil = now + PASSED_OVER_MS;
        peer.expectedSince = undefined;
        return false;
      }
      return true;
    }
    return !this.#members.isReportedLost(name);
  }

  /** Expects answers only of the peers that receive digests here. */
  #expectOnly(links: ReadonlyMap<Member, LinkKind>): void {
    const names = new Set([...links.keys()].map(({ name }) => name));
    for (const [name, peer] of this.#peers) {
      if (!names.has(name)) peer.expectedSince = undefined;
    }
  }

  #ticksOf(member: Member, kind: LinkKind): number {
    switch (kind) {
      case "exchange":
        return 1;
      case "sibling":
        return SIBLING_TICKS;
      case "report":
        return this.#isIdle(this.#state) ? IDLE_TICKS : 1;
      case "distribute":
        return this.#isIdle(this.#board.get(member.name)?.state)
          ? IDLE_TICKS
          : 1;
    }
  }

  #isIdle(
    state: Pick<InstanceState, "serves" | "orders"> | undefined,
  ): boolean {
    return state !== undefined && !state.serves && !state.orders;
  }

  /** Reports go to the collectors in turn. */
  #isReportDue(member: Member, ticks: number): boolean {
    if (!this.#isRoundDue(ticks)) return false;
    const { collectors } = this.#targets;
    return collectors[this.#reports % collectors.length] === member;
  }

  #isRoundDue(ticks: number): boolean {
    return this.#tick - this.#reportTick >= ticks;
  }

  #countReport(): void {
    if (!this.#isRoundDue(this.#isIdle(this.#state) ? IDLE_TICKS : 1)) return;
    this.#reportTick = this.#tick;
    this.#reports += 1;
  }

  #build(
    member: Member,
    options: {
      readonly kind: LinkKind;
      readonly everyMs: number;
      readonly connection: number;
      readonly isUrgent: boolean;
      readonly now: number;
    },
  ): Digest {
    const { kind, everyMs, connection, isUrgent, now } = options;
    const peer = this.#peerOf(member.name);
    const group = this.#group;
    const of = `${kind} ${this.#isLarge} ${connection}`;
    let stream = peer.outgoing;
    if (stream === undefined || peer.outgoingOf !== of) {
      this.#epochs += 1;
      stream = new OutgoingStream(this.#epochs);
      peer.outgoing = stream;
      peer.outgoingOf = of;
      peer.sentAt.clear();
    }
    const { counts, countedAt } = this.#loadsFor(member, { kind, group, now });
    const content = stream.next(this.#board, {
      includes: (origin) => this.#includes(origin, kind, now),
      loads: counts,
      now,
    });
    peer.sentAt.set(stream.seq, now);
    peer.sentAt.delete(stream.seq - SENT_KEPT);
    const { incoming } = peer;
    const use = this.#takeUse(member, kind);
    return {
      t: "digest2",
      inc: this.#self.incarnation,
      epoch: stream.epoch,
      seq: stream.seq,
      ack: incoming === undefined
        ? [0, 0, 0]
        : [incoming.epoch, incoming.seq, Math.round(now - incoming.receivedAt)],
      up: Math.max(0, Math.round(now - this.#startedAt + this.#suspendedMs)),
      every: everyMs,
      ...(isUrgent ? { urgent: true as const } : {}),
      group,
      scope: SCOPES[kind],
      ...content,
      ...(Number.isFinite(countedAt)
        ? { loadAge: Math.max(0, Math.round(now - countedAt)) }
        : {}),
      ...(use.length > 0 ? { use } : {}),
    };
  }

  get #group(): string {
    return digestGroupOf(this.#self, this.#isLarge);
  }

  #includes({ member }: Origin, kind: LinkKind, now: number): boolean {
    if (member.name === this.#self.name) return true;
    if (kind === "report") return false;
    if (kind !== "exchange") return true;
    return digestGroupOf(member, this.#isLarge) === this.#group &&
      this.#board.isDirect(member.name, now);
  }

  #loadsFor(
    member: Member,
    options: {
      readonly kind: LinkKind;
      readonly group: string;
      readonly now: number;
    },
  ): CountedLoads {
    const { kind, group, now } = options;
    switch (kind) {
      case "report":
      case "sibling":
        return { counts: this.#loads.own, countedAt: now };
      case "exchange":
        return this.#loads.ofGroup(now);
      case "distribute":
        return this.#isIdle(this.#board.get(member.name)?.state)
          ? { counts: new Map(), countedAt: now }
          : this.#loads.ofAllExcept(member.name, { group, now });
    }
  }

  /** Takes the use whose way leads to a peer. */
  #takeUse(member: Member, kind: LinkKind): readonly UseField[] {
    const taken: UseField[] = [];
    this.#use = this.#use.filter((waiting) => {
      const [to, from, number, engine, use, hops] = waiting.field;
      const isOnWay = kind === "report" || to === member.name ||
        (this.#passesOn && kind === "exchange" &&
          this.#members.get(to)?.zone === member.zone);
      if (isOnWay) taken.push([to, from, number, engine, use, hops + 1]);
      return !isOnWay;
    });
    return taken;
  }

  #recordAck(from: Member, peer: Peer, digest: Digest, now: number): void {
    const [epoch, seq, heldMs] = digest.ack;
    if (epoch !== peer.outgoing?.epoch) return;
    const sentAt = peer.sentAt.get(seq);
    if (sentAt === undefined) return;
    const roundTripMs = Math.max(0, now - sentAt - heldMs);
    peer.transit.recordRoundTrip(roundTripMs, now);
    this.#listener.onDelivered(from, sentAt);
    this.#listener.onRoundTrip(from, { roundTripMs, intervalMs: digest.every });
  }

  #receiveOrigin(
    stream: IncomingStream,
    [index, sent, upMs, version, stateField]: OriginField,
    sentAt: number,
  ): void {
    const known = stream.processAt(index);
    const member = sent ??
      (known === undefined ? undefined : this.#board.get(known.name)?.member);
    if (member === undefined) return;
    stream.setProcess(index, member.name, member.incarnation);
    if (member.name === this.#self.name) return;
    const state = decodeState(stateField);
    const before = this.#board.get(member.name)?.state;
    const isNew = this.#board.mergeState(member, {
      state,
      version,
      startedAt: sentAt - upMs,
      heardAt: -Infinity,
    });
    if (!isNew) return;
    this.#members.setState(member.name, state);
    const hasLeft = before?.ready === true && (!state.ready || state.leaving);
    if (hasLeft && this.#passesOn) this.#isUrgent = true;
  }

  #receiveAges(
    stream: IncomingStream,
    digest: Digest,
    times: { readonly now: number; readonly arrivedMs: number },
  ): void {
    const { now, arrivedMs } = times;
    stream.forEachAge(digest, ({ name, incarnation }, ageMs) => {
      if (name === this.#self.name) return;
      const heardAt = now - arrivedMs - ageMs;
      if (!this.#board.recordHeard(name, incarnation, heardAt)) return;
      const origin = this.#board.get(name);
      if (origin === undefined) return;
      this.#addMember(origin, now);
      const isSilent = origin.state.serves &&
        now - origin.heardAt > LOST_MS;
      const wasAlive = isSilent && this.#passesOn &&
        this.#members.isAlive(name, now);
      this.#members.recordEvidence(name, {
        heardAt,
        checkedAt: now,
        intervalMs: digest.every,
      });
      if (wasAlive && !this.#members.isAlive(name, now)) this.#isUrgent = true;
    });
  }

  /** Adds an instance that was heard of lately to the members; an old row must
   * not bring one back that was removed. */
  #addMember({ member, heardAt, state }: Origin, now: number): void {
    const known = this.#members.get(member.name);
    if (known?.incarnation === member.incarnation) return;
    if (now - heardAt > state.digestIntervalMs + LOST_MS) return;
    this.#members.add(member);
    this.#members.setState(member.name, state);
  }

  #receiveRows(
    stream: IncomingStream,
    fields: readonly RowField[],
    sentAt: number,
  ): void {
    const rowsByOrigin = new Map<string, BoardRow[]>();
    for (const [index, kind, name, version, ageMs, value] of fields) {
      const process = stream.processAt(index);
      if (process === undefined || process.name === this.#self.name) continue;
      const row = { kind, name, version, madeAt: sentAt - ageMs, value };
      const { name: from, incarnation } = process;
      if (!this.#board.mergeRow(from, incarnation, row)) continue;
      const rows = rowsByOrigin.get(from);
      if (rows === undefined) rowsByOrigin.set(from, [row]);
      else rows.push(row);
    }
    for (const [from, rows] of rowsByOrigin) {
      const member = this.#board.get(from)?.member;
      if (member !== undefined) this.#listener.onRows(member, rows);
    }
  }

  #receiveLoads(
    from: Member,
    stream: IncomingStream,
    digest: Digest,
    times: { readonly now: number; readonly arrivedMs: number },
  ): void {
    const { now, arrivedMs } = times;
    const changed = Object.entries(digest.loads ?? {});
    for (const [engine, count] of changed) {
      if (count === 0) stream.loads.delete(engine);
      else stream.loads.set(engine, count);
    }
    const validUntil = now +
      Math.max(COUNTS_VALID_MIN_MS, digest.every * COUNTS_VALID_INTERVALS);
    this.#loads.record(from.name, {
      scope: digest.scope,
      group: digest.group,
      counts: stream.loads,
      countedAt: now - arrivedMs - (digest.loadAge ?? digest.every),
      at: now,
      validUntil,
    });
    if (changed.length > 0) this.#reportLoads(now, validUntil);
  }

  #reportLoads(now: number, validUntil: number): void {
    const loads = this.#loads.ofOthers({
      isCollector: this.#targets.isCollector,
      group: this.#group,
      now,
    });
    this.#listener.onLoads(loads, validUntil);
  }

  #receiveUse(field: UseField, now: number): void {
    const [to, from, number, engine, use, hops] = field;
    if (to !== this.#self.name) {
      if (hops >= HOPS_MAX || !this.#passesOn) return;
      this.#use.push({ field, until: now + USE_WAIT_MS });
      return;
    }
    const key = `${from} ${engine}`;
    if (number <= (this.#appliedUse.get(key) ?? 0)) return;
    this.#appliedUse.set(key, number);
    this.#listener.onUse(from, engine, use);
  }

  /** Whether others receive from this instance what it receives. */
  get #passesOn(): boolean {
    return this.#isLarge && this.#targets.isCollector;
  }

  #peerOf(name: string): Peer {
    let peer = this.#peers.get(name);
    if (peer === undefined) {
      peer = {
        incoming: undefined,
        outgoing: undefined,
        outgoingOf: "",
        transit: new Transit(),
        sentAt: new Map(),
        lastSentTick: -Infinity,
        expectedSince: undefined,
        passedOverUntil: -Infinity,
        scope: undefined,
        heardAt: -Infinity,
      };
      this.#peers.set(name, peer);
    }
    return peer;
  }

  #dropLost(now: number): void {
    this.#loads.dropExpired(now);
    for (const name of this.#board.dropSilent(now - FORGET_MS)) {
      for (const key of this.#appliedUse.keys()) {
        if (key.startsWith(`${name} `)) this.#appliedUse.delete(key);
      }
    }
    for (const [name, { heardAt }] of this.#peers) {
      const isListed = this.#members.get(name) !== undefined;
      if (!isListed && now - heardAt > FORGET_MS) this.#peers.delete(name);
    }
  }
}

function isSameState(a: InstanceState, b: InstanceState): boolean {
  const keys = Object.keys(b) as (keyof InstanceState)[];
  return keys.every((key) => a[key] === b[key]);
}
