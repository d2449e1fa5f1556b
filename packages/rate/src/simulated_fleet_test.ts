/** Simulates holders and entry instances in virtual time. */
import { Clock, EventLog, NoopMetrics } from "@banyanlb/core";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { pino } from "pino";
import { expect, test } from "vitest";
import { NETWORK_DELAY_FRACTION, PEER_TIMEOUT_MS } from "./constants.ts";
import type {
  ReserveAsk,
  ReserveReply,
  SettleBatch,
} from "./generated/rate_messages.ts";
import {
  type RateWorkspace,
  reservationValidityMs,
  type ShareLimits,
} from "./limits.ts";
import type { ShareHolder } from "./holdings.ts";
import { RateClient } from "./rate_client.ts";
import { type RatePeerError, RatePeers } from "./rate_peers.ts";
import { RateShares } from "./rate_shares.ts";
import { ShareBucket, type ShareReservation } from "./share_bucket.ts";

/** Tokens that reached a target. */
export interface Arrival {
  readonly at: number;
  readonly tokens: number;
}

/** The largest excess of any window of time: the tokens that arrived within the
 * window less `rate * w + burst`, where `w` is the length of the window. */
export function worstExcess(
  arrivals: readonly Arrival[],
  limits: { readonly rate: number; readonly burst: number },
): number {
  const sorted = [...arrivals].sort((a, b) => a.at - b.at);
  let backlog = 0;
  let worst = -Infinity;
  let last = 0;
  // Kadane's algorithm: the largest sum of a window less its refill.
  for (const { at, tokens } of sorted) {
    const refill = limits.rate * (at - last) / 1_000;
    backlog = Math.max(0, backlog - refill) + tokens;
    worst = Math.max(worst, backlog - limits.burst);
    last = at;
  }
  return worst;
}

/** Returns unused tokens up to the capacity, without regard to the tokens that
 * would have overflowed since the reservation. */
export class NaiveBucket extends ShareBucket {
  override settle(
    reservation: ShareReservation,
    outcome: { readonly used: number; readonly now: number },
  ): void {
    super.settle(reservation, { ...outcome, used: reservation.granted });
    const used = outcome.used - reservation.granted;
    super.settle(this.reserve(1e-9, outcome.now), { used, now: outcome.now });
  }
}

/** A clock that advances to the next sleeper once nothing else can run. */
export class VirtualClock extends Clock {
  #now = 0;
  #sleepers: { at: number; wake: () => void }[] = [];

  override now(): number {
    return this.#now;
  }

  override sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        this.#sleepers = this.#sleepers.filter((s) => s !== sleeper);
        reject(signal?.reason);
      };
      const wake = () => {
        signal?.removeEventListener("abort", onAbort);
        resolve();
      };
      const sleeper = { at: this.#now + ms, wake };
      const index = this.#sleepers.findLastIndex((s) => s.at <= sleeper.at);
      this.#sleepers.splice(index + 1, 0, sleeper);
      signal?.addEventListener("abort", onAbort);
    });
  }

  async runUntil(at: number): Promise<void> {
    await new Promise(setImmediate);
    while ((this.#sleepers[0]?.at ?? Infinity) <= at) {
      const next = this.#sleepers.shift();
      this.#now = next?.at ?? at;
      next?.wake();
      await new Promise(setImmediate);
    }
    this.#now = at;
  }
}

/** Creates a seeded generator of numbers in [0, 1). */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = Math.imul(state ^ (state >>> 15), 1 | state);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Probabilities of faults of each message, and its delay. */
export interface MessageFaults {
  readonly loss: number;
  readonly duplicate: number;
  /** Mean one-way delay in milliseconds. Slow messages take up to ten times as
   * long. */
  readonly delay_ms: number;
  readonly slow: number;
}

/** Options of {@linkcode SimulatedFleet}. */
export interface FleetOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly message_faults: MessageFaults;
  readonly workspace: RateWorkspace;
  /** Maximum lag of a node's view of the holders, in milliseconds. */
  readonly view_lag_ms?: number;
  readonly create_bucket?: (limits: ShareLimits, now: number) => ShareBucket;
  readonly create_shares?: (
    deps: ConstructorParameters<typeof RateShares>[0],
  ) => RateShares;
}

interface Node {
  readonly id: string;
  readonly shares: RateShares;
  readonly client: RateClient;
  lease_until: number;
  frozen_until: number;
}

/** A simulated fleet with one workspace. */
export class SimulatedFleet {
  readonly clock = new VirtualClock();
  readonly random: () => number;
  readonly options: FleetOptions;
  readonly arrivals: Arrival[] = [];
  readonly holders = new Map<number, { holder: string; epoch: number }>();
  readonly #assigned: { at: number; slot: number; holder: string }[] = [];
  workspace: RateWorkspace;
  nodes: Node[] = [];
  readonly started: Node[] = [];
  reserve_calls = 0;
  settle_calls = 0;
  granted = 0;
  refused = 0;
  #starts = 0;

  constructor(options: FleetOptions) {
    this.options = options;
    this.workspace = options.workspace;
    this.random = createRandom(options.seed);
    for (let i = 0; i < options.nodes; i++) this.nodes.push(this.createNode());
    options.workspace.slots.forEach((slot, index) =>
      this.assign(slot, index % options.nodes)
    );
  }

  createNode(): Node {
    const id = `n${this.#starts++}`;
    const { clock } = this;
    const metrics = new NoopMetrics();
    const lag_ms = this.random() * (this.options.view_lag_ms ?? 0);
    const lease = { remaining: () => node.lease_until - clock.now() };
    const create = this.options.create_shares ?? ((d) => new RateShares(d));
    const deps = { clock, metrics, lease };
    const { create_bucket } = this.options;
    const shares = create(
      create_bucket === undefined ? deps : { ...deps, create_bucket },
    );
    shares.setWorkspaces([this.workspace]);
    const client = new RateClient({
      clock,
      metrics,
      shares,
      log: new EventLog(pino({ level: "silent" })),
      self: id,
      view: () => this.view(lag_ms),
      peers: new SimulatedPeers(this),
    });
    const times = { lease_until: Infinity, frozen_until: 0 };
    const node: Node = { id, shares, client, ...times };
    this.started.push(node);
    return node;
  }

  /** The holders as of `lag_ms` ago. */
  view(lag_ms: number): readonly ShareHolder[] {
    const at = Math.max(0, this.clock.now() - lag_ms);
    return this.workspace.slots.map((slot) => {
      const row = this.#assigned.findLast((r) => r.slot === slot && r.at <= at);
      return { slot, holder: row?.holder ?? "" };
    });
  }

  findNode(id: string): Node | undefined {
    return this.started.find((node) => node.id === id);
  }

  /** Assigns a slot to a node, with or without its levels. */
  assign(
    slot: number,
    index: number,
    handover?: ReturnType<RateShares["release"]>,
  ): void {
    const node = this.nodes[index] as Node;
    const epoch = (this.holders.get(slot)?.epoch ?? 0) + 1;
    this.holders.set(slot, { holder: node.id, epoch });
    this.#assigned.push({ at: this.clock.now(), slot, holder: node.id });
    const options = handover === undefined ? { epoch } : { epoch, handover };
    node.shares.hold(slot, options);
  }

  /** Waits for the one-way delay of a message. Returns false if it is lost. */
  async transmit(): Promise<boolean> {
    const { message_faults } = this.options;
    const is_slow = this.random() < message_faults.slow;
    const factor = is_slow ? 10 * this.random() : 0.5 + this.random();
    await this.clock.sleep(message_faults.delay_ms * factor);
    return this.random() >= message_faults.loss;
  }

  /** Waits until a node is no longer frozen. */
  async waitUntilAwake(node: Node): Promise<void> {
    while (node.frozen_until > this.clock.now()) {
      await this.clock.sleep(node.frozen_until - this.clock.now());
    }
  }

  /** Serves one request from its arrival at a node to its settlement. */
  async serve(
    index: number,
    req: { tokens: number; used: number; run_ms: number; wait_ms?: number },
  ): Promise<void> {
    const node = this.nodes[index] as Node;
    const tokens = await node.client.acquire({
      workspace: this.workspace.name,
      tokens: req.tokens,
    });
    await this.waitUntilAwake(node);
    if (tokens.isErr()) {
      this.refused++;
      return;
    }
    if (req.wait_ms !== undefined) await this.clock.sleep(req.wait_ms);
    if (!tokens.value.isUsable()) {
      tokens.value.settle(0);
      return;
    }
    this.granted++;
    const network_delay_ms = reservationValidityMs(this.workspace) *
      NETWORK_DELAY_FRACTION * this.random();
    await this.clock.sleep(network_delay_ms);
    this.arrivals.push({ at: this.clock.now(), tokens: req.used });
    await this.clock.sleep(req.run_ms);
    await this.waitUntilAwake(node);
    tokens.value.settle(req.used);
  }
}

class SimulatedPeers extends RatePeers {
  readonly #fleet: SimulatedFleet;

  constructor(fleet: SimulatedFleet) {
    super();
    this.#fleet = fleet;
  }

  override reserve(holder: string, request: ReserveAsk) {
    this.#fleet.reserve_calls++;
    return this.#call(
      holder,
      (shares): ReserveReply => shares.reserve(request),
    );
  }

  override settle(holder: string, batch: SettleBatch) {
    this.#fleet.settle_calls++;
    return this.#call(holder, (shares): void => shares.settle(batch));
  }

  #call<T>(
    holder: string,
    act: (shares: RateShares) => T,
  ): ResultAsync<T, RatePeerError> {
    const fleet = this.#fleet;
    const deliver = async (): Promise<{ value: T } | undefined> => {
      const node = fleet.findNode(holder);
      if (!await fleet.transmit() || node === undefined) return undefined;
      await fleet.waitUntilAwake(node);
      const value = act(node.shares);
      return await fleet.transmit() ? { value } : undefined;
    };
    const duplicate = fleet.random() < fleet.options.message_faults.duplicate;
    if (duplicate) void fleet.clock.sleep(fleet.random() * 500).then(deliver);
    const failure = err<T, RatePeerError>({ kind: "no_answer", message: "" });
    const timeout = fleet.clock.sleep(PEER_TIMEOUT_MS).then(() => failure);
    const delivery = deliver().then((
      reply,
    ): Promise<Result<T, RatePeerError>> =>
      reply === undefined ? timeout : Promise.resolve(ok(reply.value))
    );
    return new ResultAsync(Promise.race([delivery, timeout]));
  }
}

test("the window check finds the window with the largest excess", () => {
  const arrivals = [{ at: 0, tokens: 5 }, { at: 1_000, tokens: 9 }];
  expect(worstExcess(arrivals, { rate: 1, burst: 8 })).toBe(5);
  expect(worstExcess(arrivals, { rate: 4, burst: 9 })).toBe(1);
});
