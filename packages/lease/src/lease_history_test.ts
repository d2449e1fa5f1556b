import {
  EventLog,
  ManualClock,
  type Member,
  MemoryObjectStore,
  NoopMetrics,
  type ObjectStore,
  type Session,
  type StoreFault,
} from "@banyanlb/core";
import fc from "fast-check";
import { errAsync, ResultAsync } from "neverthrow";
import { pino } from "pino";
import { expect, test } from "vitest";
import {
  chooseSuccessors,
  chooseWatchedSessions,
} from "./choose_successors.ts";
import type { PromiseAsk, PromiseReply } from "./generated/lease_messages.ts";
import { LeasePeers, type PeerError } from "./lease_peers.ts";
import { SessionLease } from "./session_lease.ts";
import { SuccessorWatch } from "./successor_watch.ts";

const SEED = 20_261;
const RUNS = 400;
const TERM_MS = 3_000;
const LAST_TERM_MS = 12_000;
const STEP_MS = 50;
const DOMAINS = ["a", "b", "c"];
const log = new EventLog(pino({ level: "silent" }));
const metrics = new NoopMetrics();

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let h = Math.imul(state ^ (state >>> 15), 1 | state);
    h = (h + Math.imul(h ^ (h >>> 7), 61 | h)) ^ h;
    return ((h ^ (h >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Faults of the simulated store and links. `lost` and `peer_loss_ratio` are
 * probabilities from 0 to 1. */
interface FaultRates {
  readonly outage: boolean;
  readonly lost: number;
  readonly max_delay_ms: number;
  readonly peer_loss_ratio: number;
}

const NO_FAULTS: FaultRates = {
  outage: false,
  lost: 0,
  max_delay_ms: 0,
  peer_loss_ratio: 0,
};

class Process {
  readonly clock = new ManualClock();
  readonly member: Member;
  lease: SessionLease | undefined;
  watch: SuccessorWatch | undefined;
  frozen_until = 0;
  partitioned_until = 0;
  #unapplied_ms = 0;
  #clock_rate: number;
  #resume_callbacks: (() => void)[] = [];

  constructor(member: Member, rate: number) {
    this.member = member;
    this.#clock_rate = rate;
  }

  /** Advances the clock. While the process is frozen, the time accumulates and
   * no timer fires. */
  advance(ms: number, frozen: boolean): void {
    this.#unapplied_ms += ms * this.#clock_rate;
    if (frozen) return;
    this.clock.advance(this.#unapplied_ms);
    this.#unapplied_ms = 0;
    for (const resolve of this.#resume_callbacks.splice(0)) resolve();
  }

  /** Delivers a value once the process is not frozen. */
  async receive<T>(value: T, frozen: () => boolean): Promise<T> {
    while (frozen()) {
      await new Promise<void>((resolve) =>
        this.#resume_callbacks.push(resolve)
      );
    }
    return value;
  }
}

class SimulatedFleet {
  readonly store = new MemoryObjectStore();
  readonly violations: string[] = [];
  processes: Process[] = [];
  fault_rates = NO_FAULTS;
  now = 0;
  ended = 0;
  promises = 0;
  #random: () => number;
  #timers: { readonly at: number; readonly wake: () => void }[] = [];
  #start_count = 0;

  constructor(seed: number) {
    this.#random = createRandom(seed);
    this.store.setFaults(() => this.#drawFault());
    this.store.onWrite((key, value) =>
      this.#checkSessionEnd(key.name, value as Session)
    );
  }

  isFrozen = (process: Process): boolean => process.frozen_until > this.now;

  /** Starts a process of an instance with a new session id. */
  start(instance: number): void {
    const member: Member = {
      id: `s${this.#start_count++}`,
      instance: `i${instance}`,
      peer_url: "ws://127.0.0.1",
      caller_url: "http://127.0.0.1",
      region: "r",
      failure_domain: DOMAINS[instance % DOMAINS.length] ?? "",
      state: "live",
    };
    const process = new Process(member, 0.992 + 0.016 * this.#random());
    const deps = {
      store: this.#storeOf(process),
      clock: process.clock,
      peers: this.#peersOf(process),
      log,
      metrics,
    };
    const options = {
      id: member.id,
      term_ms: TERM_MS,
      last_term_ms: LAST_TERM_MS,
      successors: [] as string[],
    };
    void SessionLease.start(deps, options).map((lease) => {
      process.lease = lease;
      process.watch = new SuccessorWatch({ ...deps, lease }, {
        ...options,
        visit_interval_ms: TERM_MS,
      });
      process.watch.onEnded((id) => this.#removeProcess(id));
      this.processes.push(process);
      this.#updateMembers();
    });
  }

  async run(ms: number): Promise<void> {
    for (let t = 0; t < ms; t += STEP_MS) {
      this.now += STEP_MS;
      for (const process of this.processes) {
        process.advance(STEP_MS, this.isFrozen(process));
      }
      const due = this.#timers.filter((timer) => timer.at <= this.now);
      this.#timers = this.#timers.filter((timer) => timer.at > this.now);
      for (const timer of due) timer.wake();
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  async close(): Promise<void> {
    for (const process of this.processes) {
      void process.watch?.close();
      void process.lease?.close();
    }
    await this.store.close();
  }

  #removeProcess(id: string): void {
    const removed = this.processes.find((process) => process.member.id === id);
    if (removed !== undefined) removed.frozen_until = Infinity;
    this.processes = this.processes.filter((process) => process !== removed);
    this.#updateMembers();
  }

  #updateMembers(): void {
    const members = this.processes.map((process) => process.member);
    for (const { lease, watch, member } of this.processes) {
      lease?.setSuccessors(chooseSuccessors(member, members));
      watch?.setWatchedSessions(chooseWatchedSessions(member, members));
      watch?.setMembers(members.map((other) => other.id));
    }
  }

  #randomDelay(): Promise<void> {
    const at = this.now + this.#random() * this.fault_rates.max_delay_ms;
    if (at === this.now) return Promise.resolve();
    return new Promise((wake) => this.#timers.push({ at, wake }));
  }

  async #drawFault(): Promise<StoreFault> {
    const { outage, lost } = this.fault_rates;
    await this.#randomDelay();
    if (outage) return { kind: "unavailable" };
    const draw = this.#random();
    if (draw < lost / 2) return { kind: "lost_answer" };
    if (draw < lost) return { kind: "late", until: this.#randomDelay() };
    return { kind: "none" };
  }

  /** Called when a write takes effect. Records a violation if the lease of an
   * ended session is still valid at its holder. */
  #checkSessionEnd(id: string, session: Session): void {
    if (session.state !== "ended") return;
    this.ended++;
    const process = this.processes.find((p) => p.member.id === id);
    if (process === undefined || this.isFrozen(process)) return;
    const left_ms = process.lease?.remaining() ?? 0;
    if (left_ms > 0) {
      this.violations.push(`${id} had ${left_ms} ms at ${this.now}`);
    }
  }

  #storeOf(process: Process): ObjectStore {
    const delayReply = <T, E>(result: ResultAsync<T, E>) =>
      new ResultAsync(
        (async () => {
          const value = await result;
          await this.#randomDelay();
          return await process.receive(value, () => this.isFrozen(process));
        })(),
      );
    const isPartitioned = () => process.partitioned_until > this.now;
    const partitionError = () =>
      errAsync({ kind: "unavailable", message: "cut" });
    return new Proxy(this.store, {
      get: (store, name) => {
        const method = Reflect.get(store, name) as (
          ...args: unknown[]
        ) => ResultAsync<unknown, unknown>;
        return (...args: unknown[]) =>
          delayReply(
            isPartitioned() ? partitionError() : method.apply(store, args),
          );
      },
    });
  }

  #peersOf(from: Process): LeasePeers {
    const deliver = (id: string, request: PromiseAsk) =>
      this.#deliver(id, request);
    const receive = (reply: PromiseReply) =>
      from.receive(reply, () => this.isFrozen(from));
    return new class extends LeasePeers {
      override requestPromise(id: string, request: PromiseAsk) {
        const lost: PeerError = { kind: "unreachable", message: "lost" };
        return ResultAsync.fromPromise(
          deliver(id, request).then(receive),
          () => lost,
        );
      }
    }();
  }

  async #deliver(id: string, request: PromiseAsk): Promise<PromiseReply> {
    await this.#randomDelay();
    const to = this.processes.find((process) => process.member.id === id);
    if (to === undefined || this.#isLost()) throw new Error("lost");
    const watch = await to.receive(to.watch, () => this.isFrozen(to));
    const reply = watch?.handlePromiseRequest(request);
    await this.#randomDelay();
    if (reply === undefined || this.#isLost()) throw new Error("lost");
    if (reply.ok) this.promises++;
    return reply;
  }

  #isLost(): boolean {
    return this.#random() < this.fault_rates.peer_loss_ratio;
  }
}

type Step =
  | { readonly kind: "weather"; readonly fault_rates: FaultRates }
  | {
    readonly kind: "freeze" | "cut" | "restart";
    readonly index: number;
    readonly ms: number;
  };

const fault_rates = fc.record({
  outage: fc.boolean(),
  lost: fc.constantFrom(0, 0.1, 0.5),
  max_delay_ms: fc.constantFrom(0, 300, 1_500),
  peer_loss_ratio: fc.constantFrom(0, 0.1),
});
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant("weather" as const), fault_rates }),
  fc.record({
    kind: fc.constantFrom(
      "freeze" as const,
      "cut" as const,
      "restart" as const,
    ),
    index: fc.nat(4),
    ms: fc.integer({ min: 500, max: 9_000 }),
  }),
);
const history = fc.record({
  seed: fc.nat(),
  steps: fc.array(
    fc.record({ step, run_ms: fc.integer({ min: 50, max: 6_000 }) }),
    { minLength: 4, maxLength: 24 },
  ),
});

function applyStep(fleet: SimulatedFleet, step: Step): void {
  if (step.kind === "weather") {
    fleet.fault_rates = step.fault_rates;
    return;
  }
  const process = fleet.processes[step.index];
  if (process === undefined) return;
  const until = fleet.now + step.ms;
  if (step.kind === "cut") process.partitioned_until = until;
  else process.frozen_until = step.kind === "freeze" ? until : Infinity;
  if (step.kind === "restart") fleet.start(step.index);
}

async function startFleet(seed: number): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet(seed);
  for (let i = 0; i < 5; i++) fleet.start(i);
  await fleet.run(2 * TERM_MS);
  return fleet;
}

test("no lease is valid after another process ended its session", async () => {
  const totals = { ended: 0, promises: 0 };
  await fc.assert(
    fc.asyncProperty(history, async ({ seed, steps }) => {
      const fleet = await startFleet(seed);
      for (const { step, run_ms } of steps) {
        applyStep(fleet, step);
        await fleet.run(run_ms);
      }
      await fleet.close();
      totals.ended += fleet.ended;
      totals.promises += fleet.promises;
      expect(fleet.violations).toEqual([]);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  console.log(`seed ${SEED}: ${JSON.stringify(totals)}`);
  expect(totals.ended).toBeGreaterThan(100);
  expect(totals.promises).toBeGreaterThan(1_000);
});

test("leases stay valid by promises in an outage of many terms", async () => {
  const fleet = await startFleet(1);
  fleet.fault_rates = { ...NO_FAULTS, outage: true };
  await fleet.run(3.5 * TERM_MS);
  for (const { lease } of fleet.processes) {
    expect(lease?.remaining()).toBeGreaterThan(0);
  }
  await fleet.run(LAST_TERM_MS);
  for (const { lease } of fleet.processes) expect(lease?.remaining()).toBe(0);
  fleet.fault_rates = NO_FAULTS;
  await fleet.run(2 * TERM_MS);
  for (const { lease } of fleet.processes) {
    expect(lease?.remaining()).toBeGreaterThan(0);
  }
  expect(fleet.ended).toBe(0);
  await fleet.close();
});

test("a lease expires in an outage while one successor is lost", async () => {
  const fleet = await startFleet(2);
  const [holder] = fleet.processes;
  const lost = holder?.lease?.successors()[0];
  fleet.fault_rates = { ...NO_FAULTS, outage: true };
  await fleet.run(TERM_MS / 2);
  const successor = fleet.processes.find((p) => p.member.id === lost);
  if (successor !== undefined) successor.frozen_until = Infinity;
  await fleet.run(2.5 * TERM_MS);
  expect(holder?.lease?.remaining()).toBe(0);
  await fleet.close();
});

test("a session lost with its successors is ended after the last term", async () => {
  const fleet = await startFleet(3);
  const survivor = fleet.processes[4];
  for (const process of fleet.processes) {
    if (process !== survivor) process.frozen_until = Infinity;
  }
  await fleet.run(1.5 * LAST_TERM_MS + 8 * TERM_MS);
  expect(fleet.ended).toBe(4);
  expect(fleet.processes).toEqual([survivor]);
  await fleet.close();
});
