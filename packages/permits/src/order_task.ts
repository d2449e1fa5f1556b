/** Loads cold adapters on one engine and evicts others to make room.
 *
 * @module
 */
import type {
  EngineError,
  QueuedRequest,
  RequestClass,
  Version,
} from "@banyanlb/core";
import type { Result } from "neverthrow";
import { valueOf } from "./adapter_table.ts";
import {
  GROUPING_WAIT_MS,
  IDLE_WAIT_MS,
  MIN_RESIDENCY_MS,
  ORDER_POLL_MS,
  PARALLEL_LOADS,
} from "./constants.ts";
import { events } from "./events.ts";
import { LoadBackoff } from "./load_backoff.ts";
import { LoadShares } from "./load_shares.ts";
import type { TargetState } from "./target_state.ts";
import { Wakeup } from "./wakeup.ts";

type Order = "load" | "evict";

/** Calls of the order task into its target. */
export interface OrderTaskHooks {
  /** Adapters changed: grants may be possible. */
  readonly onChange: () => void;
  /** Loads of a version failed often enough. */
  readonly onLoadFailed: (version: string, retry_after_ms: number) => void;
  /** The target rejected the epoch. */
  readonly onFenced: () => void;
}

/** A version to load, and for whom. */
interface ColdVersion {
  readonly version: Version;
  readonly workspace: string;
  readonly class: RequestClass;
}

/** One task a lane, each with at most one order under way. */
export class OrderTask {
  readonly backoff = new LoadBackoff();
  readonly #shares = new LoadShares();
  readonly #state: TargetState;
  readonly #hooks: OrderTaskHooks;
  readonly #wakeups: readonly Wakeup[];
  readonly #reserved = new Set<string>();
  readonly #active = new Set<Promise<void>>();

  constructor(state: TargetState, hooks: OrderTaskHooks) {
    this.#state = state;
    this.#hooks = hooks;
    this.#wakeups = Array.from(
      { length: PARALLEL_LOADS },
      () => new Wakeup(state.deps.clock),
    );
  }

  /** Runs until the target is stopped. */
  async run(): Promise<void> {
    await Promise.all(this.#wakeups.map((wakeup) => this.#runLane(wakeup)));
  }

  /** Looks for work at once. */
  wake(): void {
    for (const wakeup of this.#wakeups) wakeup.wake();
  }

  /** Resolves when no order is under way. */
  async idle(): Promise<void> {
    while (this.#active.size > 0) await Promise.all(this.#active);
  }

  async #runLane(wakeup: Wakeup): Promise<void> {
    const state = this.#state;
    while (!state.stopped) {
      const chosen = this.#chooseVersion();
      if (chosen === undefined) {
        await wakeup.wait(
          state.waiting.size > 0 ? ORDER_POLL_MS : IDLE_WAIT_MS,
        );
        continue;
      }
      const { version } = chosen;
      this.#reserved.add(version.name);
      const work = this.#loadVersion(chosen);
      this.#active.add(work);
      await work.finally(() => {
        this.#active.delete(work);
        this.#reserved.delete(version.name);
      });
    }
  }

  /** The first cold version in queue order, if there is room for it. */
  #chooseVersion(): ColdVersion | undefined {
    const state = this.#state;
    if (!state.mayOrder() || state.breaker.open) return undefined;
    const ask = state.waiting.peek(
      state.now,
      (queued) => this.#isCold(queued),
    );
    if (ask?.version === undefined) {
      this.#stopDraining();
      return undefined;
    }
    if (!this.#hasRoom()) {
      this.#drainFor(ask);
      return undefined;
    }
    const version = state.versions(ask.version);
    if (version === undefined) return undefined;
    return { version, workspace: ask.workspace, class: ask.class };
  }

  #isCold(ask: QueuedRequest): boolean {
    const { adapters, now } = this.#state;
    const name = ask.version;
    if (name === undefined || this.#reserved.has(name)) return false;
    return adapters.get(name) === undefined &&
      this.backoff.delay(name, now) <= 0 &&
      this.#state.versions(name) !== undefined;
  }

  #hasRoom(): boolean {
    return this.#hasFreeSlot() || this.#chooseVictim() !== undefined;
  }

  #hasFreeSlot(): boolean {
    return this.#state.adapters.size < this.#state.adapter_slots;
  }

  /** The least valuable adapter that may be evicted and that no ask wants. */
  #chooseVictim(): string | undefined {
    const { adapters, waiting } = this.#state;
    return this.#byValue((name) =>
      this.#state.mayEvict(name) &&
      (adapters.drained === name || waiting.countOf(name) === 0)
    );
  }

  #byValue(matches: (name: string) => boolean): string | undefined {
    const { adapters, now } = this.#state;
    const candidates = adapters.records()
      .filter((record) => record.status === "loaded")
      .filter((record) => now - record.since >= MIN_RESIDENCY_MS)
      .filter((record) => matches(record.name))
      .sort((a, b) => valueOf(a, now) - valueOf(b, now));
    return candidates[0]?.name;
  }

  /** Stops grants on one adapter once an ask has waited too long for room. */
  #drainFor(ask: QueuedRequest): void {
    const { adapters, now, unreported } = this.#state;
    if (adapters.drained !== undefined || unreported.size > 0) return;
    if (now - ask.queued_at < GROUPING_WAIT_MS[ask.class]) return;
    adapters.drained = this.#byValue(() => true);
  }

  /** No ask waits for room any more, and no lane is about to make it. */
  #stopDraining(): void {
    if (this.#reserved.size > 0) return;
    if (this.#state.adapters.drained === undefined) return;
    this.#state.adapters.drained = undefined;
    this.#hooks.onChange();
  }

  async #loadVersion(cold: ColdVersion): Promise<void> {
    const state = this.#state;
    const { workspace, version } = cold;
    const yields = cold.class === "batch" ||
      this.#shares.isOver(workspace, state.now);
    const { load_budget } = state.deps;
    const budget = await load_budget.acquire(state.stop.signal, { yields });
    if (!budget.granted) {
      state.deps.metrics.count("permits.load_budget_wait");
      await this.#sleep(budget.retry_after_ms);
      return;
    }
    const has_room = this.#hasFreeSlot() || await this.#makeRoom();
    if (!has_room || !state.mayOrder() || !this.#hasFreeSlot()) {
      state.deps.load_budget.refund();
      return;
    }
    this.#shares.count(workspace, state.now);
    await this.#sendLoad(version);
  }

  /** Evicts one adapter. True if a slot is free afterwards. */
  async #makeRoom(): Promise<boolean> {
    const state = this.#state;
    const victim = state.mayOrder() ? this.#chooseVictim() : undefined;
    if (victim === undefined) return false;
    state.adapters.set(victim, { status: "evicting", now: state.now });
    state.adapters.noteOrder(state.now);
    const result = await state.deps.engine.evict(state.target, victim, {
      epoch: state.epoch,
      timeout_ms: state.order_timeout_ms,
    });
    state.adapters.noteOrder(state.now);
    this.#count("evict", result);
    if (result.isOk()) {
      state.adapters.delete(victim);
      return true;
    }
    this.#leaveUnknown(victim, result.error);
    return false;
  }

  async #sendLoad(version: Version): Promise<void> {
    const state = this.#state;
    const name = version.name;
    state.adapters.set(name, { status: "loading", now: state.now });
    state.adapters.noteOrder(state.now);
    const started = state.now;
    const result = await state.deps.engine.load(state.target, version, {
      epoch: state.epoch,
      timeout_ms: state.order_timeout_ms,
    });
    state.adapters.noteOrder(state.now);
    state.deps.metrics.time("permits.load_ms", state.now - started);
    this.#count("load", result);
    if (result.isOk()) this.#finishLoad(name);
    else this.#failLoad(name, result.error);
    this.#hooks.onChange();
  }

  #finishLoad(name: string): void {
    const state = this.#state;
    state.adapters.set(name, { status: "loaded", now: state.now });
    this.backoff.succeed(name);
  }

  #failLoad(name: string, error: EngineError): void {
    const state = this.#state;
    if (error.kind === "unknown" || error.kind === "fenced") {
      this.#leaveUnknown(name, error);
      return;
    }
    state.adapters.delete(name);
    this.backoff.fail(name, state.now);
    state.log(
      error.kind === "rejected" ? events.order_rejected : events.load_failed,
      { version: name, reason: error.message },
    );
    state.report_wanted ||= error.kind === "rejected";
    if (this.backoff.refuses(name, state.now)) {
      this.#hooks.onLoadFailed(name, this.backoff.delay(name, state.now));
    }
  }

  /** Only a report taken after the order's end tells the version's status. */
  #leaveUnknown(name: string, error: EngineError): void {
    const state = this.#state;
    const may_linger = error.kind === "unknown";
    const settled_at = state.now + (may_linger ? state.order_settle_ms : 0);
    state.adapters.set(name, { status: "unknown", now: state.now, settled_at });
    state.log(events.order_unknown, { version: name, reason: error.message });
    if (error.kind === "fenced") this.#hooks.onFenced();
    this.#hooks.onChange();
  }

  #count(order: Order, result: Result<void, EngineError>): void {
    const outcome = result.isOk() ? "done" : result.error.kind;
    this.#state.deps.metrics.count(`permits.${order}`, { outcome });
  }

  async #sleep(ms: number): Promise<void> {
    const { clock } = this.#state.deps;
    await clock.sleep(ms, this.#state.stop.signal).catch(() => {});
  }
}
