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
import { chooseSuccessors, chooseWatched } from "./choose_successors.ts";
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

/** Chances of faults, from 0 to 1; `slow_ms` is the longest delay. */
interface Weather {
  readonly outage: boolean;
  readonly lost: number;
  readonly slow_ms: number;
  readonly peer_loss: number;
}

const FINE: Weather = { outage: false, lost: 0, slow_ms: 0, peer_loss: 0 };

class Process {
  readonly clock = new ManualClock();
  readonly member: Member;
  lease: SessionLease | undefined;
  watch: SuccessorWatch | undefined;
  frozen_until = 0;
  cut_until = 0;
  #lag_ms = 0;
  #rate: number;
  #waiting: (() => void)[] = [];

  constructor(member: Member, rate: number) {
    this.member = member;
    this.#rate = rate;
  }

  /** The clock goes on during a freeze, but nothing runs. */
  advance(ms: number, frozen: boolean): void {
    this.#lag_ms += ms * this.#rate;
    if (frozen) return;
    this.clock.advance(this.#lag_ms);
    this.#lag_ms = 0;
    for (const resolve of this.#waiting.splice(0)) resolve();
  }

  /** Holds a value back while the process is frozen. */
  async receive<T>(value: T, frozen: () => boolean): Promise<T> {
    while (frozen()) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
    return value;
  }
}

class World {
  readonly store = new MemoryObjectStore();
  readonly violations: string[] = [];
  processes: Process[] = [];
  weather = FINE;
  now = 0;
  ended = 0;
  promises = 0;
  #random: () => number;
  #timers: { readonly at: number; readonly wake: () => void }[] = [];
  #starts = 0;

  constructor(seed: number) {
    this.#random = createRandom(seed);
    this.store.setFaults(() => this.#fault());
    this.store.onWrite((key, value) => this.#judge(key.name, value as Session));
  }

  isFrozen = (process: Process): boolean => process.frozen_until > this.now;

  /** Starts a process of an instance, with another session id each time. */
  start(instance: number): void {
    const member: Member = {
      id: `s${this.#starts++}`,
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
      process.watch.onEnded((id) => this.#leave(id));
      this.processes.push(process);
      this.#refresh();
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

  #leave(id: string): void {
    const left = this.processes.find((process) => process.member.id === id);
    if (left !== undefined) left.frozen_until = Infinity;
    this.processes = this.processes.filter((process) => process !== left);
    this.#refresh();
  }

  #refresh(): void {
    const members = this.processes.map((process) => process.member);
    for (const { lease, watch, member } of this.processes) {
      lease?.setSuccessors(chooseSuccessors(member, members));
      watch?.setWatched(chooseWatched(member, members));
      watch?.setMembers(members.map((other) => other.id));
    }
  }

  #delay(): Promise<void> {
    const at = this.now + this.#random() * this.weather.slow_ms;
    if (at === this.now) return Promise.resolve();
    return new Promise((wake) => this.#timers.push({ at, wake }));
  }

  async #fault(): Promise<StoreFault> {
    const { outage, lost } = this.weather;
    await this.#delay();
    if (outage) return { kind: "unavailable" };
    const draw = this.#random();
    if (draw < lost / 2) return { kind: "lost_answer" };
    if (draw < lost) return { kind: "late", until: this.#delay() };
    return { kind: "none" };
  }

  /** Called as a write takes effect. */
  #judge(id: string, session: Session): void {
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
    const hold = <T, E>(result: ResultAsync<T, E>) =>
      new ResultAsync(
        (async () => {
          const value = await result;
          await this.#delay();
          return await process.receive(value, () => this.isFrozen(process));
        })(),
      );
    const isCut = () => process.cut_until > this.now;
    const cut = () => errAsync({ kind: "unavailable", message: "cut" });
    return new Proxy(this.store, {
      get: (store, name) => {
        const method = Reflect.get(store, name) as (
          ...args: unknown[]
        ) => ResultAsync<unknown, unknown>;
        return (...args: unknown[]) =>
          hold(isCut() ? cut() : method.apply(store, args));
      },
    });
  }

  #peersOf(from: Process): LeasePeers {
    const call = (id: string, ask: PromiseAsk) => this.#deliver(id, ask);
    const receive = (reply: PromiseReply) =>
      from.receive(reply, () => this.isFrozen(from));
    return new class extends LeasePeers {
      override promise(id: string, ask: PromiseAsk) {
        const lost: PeerError = { kind: "unreachable", message: "lost" };
        return ResultAsync.fromPromise(call(id, ask).then(receive), () => lost);
      }
    }();
  }

  async #deliver(id: string, ask: PromiseAsk): Promise<PromiseReply> {
    await this.#delay();
    const to = this.processes.find((process) => process.member.id === id);
    if (to === undefined || this.#isLost()) throw new Error("lost");
    const watch = await to.receive(to.watch, () => this.isFrozen(to));
    const reply = watch?.promise(ask);
    await this.#delay();
    if (reply === undefined || this.#isLost()) throw new Error("lost");
    if (reply.ok) this.promises++;
    return reply;
  }

  #isLost(): boolean {
    return this.#random() < this.weather.peer_loss;
  }
}

type Step =
  | { readonly kind: "weather"; readonly weather: Weather }
  | {
    readonly kind: "freeze" | "cut" | "restart";
    readonly index: number;
    readonly ms: number;
  };

const weather = fc.record({
  outage: fc.boolean(),
  lost: fc.constantFrom(0, 0.1, 0.5),
  slow_ms: fc.constantFrom(0, 300, 1_500),
  peer_loss: fc.constantFrom(0, 0.1),
});
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant("weather" as const), weather }),
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

function apply(world: World, step: Step): void {
  if (step.kind === "weather") {
    world.weather = step.weather;
    return;
  }
  const process = world.processes[step.index];
  if (process === undefined) return;
  const until = world.now + step.ms;
  if (step.kind === "cut") process.cut_until = until;
  else process.frozen_until = step.kind === "freeze" ? until : Infinity;
  if (step.kind === "restart") world.start(step.index);
}

async function startWorld(seed: number): Promise<World> {
  const world = new World(seed);
  for (let i = 0; i < 5; i++) world.start(i);
  await world.run(2 * TERM_MS);
  return world;
}

test("no holder is valid after another ended its session", async () => {
  const totals = { ended: 0, promises: 0 };
  await fc.assert(
    fc.asyncProperty(history, async ({ seed, steps }) => {
      const world = await startWorld(seed);
      for (const { step, run_ms } of steps) {
        apply(world, step);
        await world.run(run_ms);
      }
      await world.close();
      totals.ended += world.ended;
      totals.promises += world.promises;
      expect(world.violations).toEqual([]);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  console.log(`seed ${SEED}: ${JSON.stringify(totals)}`);
  expect(totals.ended).toBeGreaterThan(100);
  expect(totals.promises).toBeGreaterThan(1_000);
});

test("an outage of many terms leaves holders valid by promises", async () => {
  const world = await startWorld(1);
  world.weather = { ...FINE, outage: true };
  await world.run(3.5 * TERM_MS);
  for (const { lease } of world.processes) {
    expect(lease?.remaining()).toBeGreaterThan(0);
  }
  await world.run(LAST_TERM_MS);
  for (const { lease } of world.processes) expect(lease?.remaining()).toBe(0);
  world.weather = FINE;
  await world.run(2 * TERM_MS);
  for (const { lease } of world.processes) {
    expect(lease?.remaining()).toBeGreaterThan(0);
  }
  expect(world.ended).toBe(0);
  await world.close();
});

test("a holder lapses in an outage while one successor is lost", async () => {
  const world = await startWorld(2);
  const [holder] = world.processes;
  const lost = holder?.lease?.successors()[0];
  world.weather = { ...FINE, outage: true };
  await world.run(TERM_MS / 2);
  const successor = world.processes.find((p) => p.member.id === lost);
  if (successor !== undefined) successor.frozen_until = Infinity;
  await world.run(2.5 * TERM_MS);
  expect(holder?.lease?.remaining()).toBe(0);
  await world.close();
});

test("a session lost with its successors is ended after the last term", async () => {
  const world = await startWorld(3);
  const survivor = world.processes[4];
  for (const process of world.processes) {
    if (process !== survivor) process.frozen_until = Infinity;
  }
  await world.run(1.5 * LAST_TERM_MS + 8 * TERM_MS);
  expect(world.ended).toBe(4);
  expect(world.processes).toEqual([survivor]);
  await world.close();
});
