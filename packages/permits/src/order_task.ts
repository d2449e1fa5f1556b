/** Loads adapters on one engine on demand and evicts others to free slots.
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
import { recentGrantCount } from "./adapter_table.ts";
import {
  DRAIN_WAIT_MS,
  MAX_IDLE_WAIT_MS,
  MAX_PARALLEL_LOADS,
  MIN_RESIDENCY_MS,
  SLOT_POLL_MS,
} from "./constants.ts";
import { events } from "./events.ts";
import { LoadBackoff } from "./load_backoff.ts";
import { LoadShares } from "./load_shares.ts";
import type { TargetState } from "./target_state.ts";
import { Wakeup } from "./wakeup.ts";

type OrderKind = "load" | "evict";

/** Callbacks from the order task to its target. */
export interface OrderTaskHooks {
  /** An adapter's status changed: permits may now be grantable. */
  readonly onChange: () => void;
  /** Loads of a version failed so often that requests for it are refused. */
  readonly onLoadFailed: (version: string, retry_after_ms: number) => void;
  /** The target rejected this owner's epoch as outdated. */
  readonly onFenced: () => void;
}

/** A version to load, with the workspace and class of the request that waits
 * for it. */
interface ColdVersion {
  readonly version: Version;
  readonly workspace: string;
  readonly class: RequestClass;
}

/** Runs {@linkcode MAX_PARALLEL_LOADS} workers, each with at most one order in
 * progress. */
export class OrderTask {
  readonly backoff = new LoadBackoff();
  readonly #shares = new LoadShares();
  readonly #state: TargetState;
  readonly #hooks: OrderTaskHooks;
  readonly #wakeups: readonly Wakeup[];
  readonly #reserved_names = new Set<string>();
  readonly #active_loads = new Set<Promise<void>>();

  constructor(state: TargetState, hooks: OrderTaskHooks) {
    this.#state = state;
    this.#hooks = hooks;
    this.#wakeups = Array.from(
      { length: MAX_PARALLEL_LOADS },
      () => new Wakeup(state.deps.clock),
    );
  }

  /** Runs until the target is stopped. */
  async run(): Promise<void> {
    await Promise.all(this.#wakeups.map((wakeup) => this.#runWorker(wakeup)));
  }

  /** Makes the workers check for work now. */
  wake(): void {
    for (const wakeup of this.#wakeups) wakeup.wake();
  }

  /** Resolves when no load or eviction is in progress. */
  async waitUntilIdle(): Promise<void> {
    while (this.#active_loads.size > 0) await Promise.all(this.#active_loads);
  }

  async #runWorker(wakeup: Wakeup): Promise<void> {
    const state = this.#state;
    while (!state.is_stopped) {
      const cold = this.#chooseVersion();
      if (cold === undefined) {
        await wakeup.wait(
          state.waiting.size > 0 ? SLOT_POLL_MS : MAX_IDLE_WAIT_MS,
        );
        continue;
      }
      const { version } = cold;
      this.#reserved_names.add(version.name);
      const load = this.#loadVersion(cold);
      this.#active_loads.add(load);
      await load.finally(() => {
        this.#active_loads.delete(load);
        this.#reserved_names.delete(version.name);
      });
    }
  }

  /** The first version in queue order that must be loaded, if an adapter slot
   * is available. Starts to drain an adapter if none is. */
  #chooseVersion(): ColdVersion | undefined {
    const state = this.#state;
    if (!state.mayOrder() || state.breaker.open) return undefined;
    const request = state.waiting.peek(
      state.now,
      (queued) => this.#isCold(queued),
    );
    if (request?.version === undefined) {
      this.#stopDraining();
      return undefined;
    }
    if (!this.#hasAvailableSlot()) {
      this.#drainFor(request);
      return undefined;
    }
    const version = state.versions(request.version);
    if (version === undefined) return undefined;
    return { version, workspace: request.workspace, class: request.class };
  }

  #isCold(request: QueuedRequest): boolean {
    const { adapters, now } = this.#state;
    const name = request.version;
    if (name === undefined || this.#reserved_names.has(name)) return false;
    return adapters.get(name) === undefined &&
      this.backoff.delayMs(name, now) <= 0 &&
      this.#state.versions(name) !== undefined;
  }

  #hasAvailableSlot(): boolean {
    return this.#hasFreeSlot() || this.#findEvictable() !== undefined;
  }

  #hasFreeSlot(): boolean {
    return this.#state.adapters.size < this.#state.adapter_slots;
  }

  /** The least used adapter that may be evicted: the drained one, or one that
   * no waiting request needs. */
  #findEvictable(): string | undefined {
    const { adapters, waiting } = this.#state;
    return this.#findLeastUsed((name) =>
      this.#state.mayEvict(name) &&
      (adapters.draining_version === name || waiting.countOf(name) === 0)
    );
  }

  #findLeastUsed(matches: (name: string) => boolean): string | undefined {
    const { adapters, now } = this.#state;
    const candidates = adapters.records()
      .filter((record) => record.status === "loaded")
      .filter((record) => now - record.status_since >= MIN_RESIDENCY_MS)
      .filter((record) => matches(record.name))
      .sort((a, b) => recentGrantCount(a, now) - recentGrantCount(b, now));
    return candidates[0]?.name;
  }

  /** Starts to drain the least used adapter once a request has waited too long
   * for an adapter slot. */
  #drainFor(request: QueuedRequest): void {
    const { adapters, now, unreported_members } = this.#state;
    if (
      adapters.draining_version !== undefined || unreported_members.size > 0
    ) return;
    if (now - request.queued_at < DRAIN_WAIT_MS[request.class]) return;
    adapters.draining_version = this.#findLeastUsed(() => true);
  }

  /** Ends draining unless a worker still needs the slot. Called when no request
   * waits for a load. */
  #stopDraining(): void {
    if (this.#reserved_names.size > 0) return;
    if (this.#state.adapters.draining_version === undefined) return;
    this.#state.adapters.draining_version = undefined;
    this.#hooks.onChange();
  }

  async #loadVersion(cold: ColdVersion): Promise<void> {
    const state = this.#state;
    const { workspace, version } = cold;
    const is_low_priority = cold.class === "batch" ||
      this.#shares.isOverShare(workspace, state.now);
    const { load_budget } = state.deps;
    const budget = await load_budget.acquire(state.stop.signal, {
      is_low_priority,
    });
    if (!budget.granted) {
      state.deps.metrics.count("permits.load_budget_wait");
      await this.#sleep(budget.retry_after_ms);
      return;
    }
    const is_slot_free = this.#hasFreeSlot() || await this.#freeSlot();
    if (!is_slot_free || !state.mayOrder() || !this.#hasFreeSlot()) {
      state.deps.load_budget.refund();
      return;
    }
    this.#shares.count(workspace, state.now);
    await this.#sendLoad(version);
  }

  /** Evicts one adapter. Returns true if this freed a slot. */
  async #freeSlot(): Promise<boolean> {
    const state = this.#state;
    const victim = state.mayOrder() ? this.#findEvictable() : undefined;
    if (victim === undefined) return false;
    state.adapters.set(victim, { status: "evicting", now: state.now });
    state.adapters.recordOrder(state.now);
    const result = await state.deps.engine.evict(state.target, victim, {
      epoch: state.epoch,
      timeout_ms: state.order_timeout_ms,
    });
    state.adapters.recordOrder(state.now);
    this.#countOrder("evict", result);
    if (result.isOk()) {
      state.adapters.delete(victim);
      return true;
    }
    this.#markUnknown(victim, result.error);
    return false;
  }

  async #sendLoad(version: Version): Promise<void> {
    const state = this.#state;
    const name = version.name;
    state.adapters.set(name, { status: "loading", now: state.now });
    state.adapters.recordOrder(state.now);
    const started_at = state.now;
    const result = await state.deps.engine.load(state.target, version, {
      epoch: state.epoch,
      timeout_ms: state.order_timeout_ms,
    });
    state.adapters.recordOrder(state.now);
    state.deps.metrics.time("permits.load_ms", state.now - started_at);
    this.#countOrder("load", result);
    if (result.isOk()) this.#recordLoaded(name);
    else this.#recordLoadFailure(name, result.error);
    this.#hooks.onChange();
  }

  #recordLoaded(name: string): void {
    const state = this.#state;
    state.adapters.set(name, { status: "loaded", now: state.now });
    this.backoff.recordSuccess(name);
  }

  #recordLoadFailure(name: string, error: EngineError): void {
    const state = this.#state;
    if (error.kind === "unknown" || error.kind === "fenced") {
      this.#markUnknown(name, error);
      return;
    }
    state.adapters.delete(name);
    this.backoff.recordFailure(name, state.now);
    state.log(
      error.kind === "rejected" ? events.order_rejected : events.load_failed,
      { version: name, reason: error.message },
    );
    state.is_report_needed ||= error.kind === "rejected";
    if (this.backoff.isRefusing(name, state.now)) {
      this.#hooks.onLoadFailed(name, this.backoff.delayMs(name, state.now));
    }
  }

  /** Records that an order's outcome is unknown. Only a report that is taken
   * once the order can no longer take effect resolves the status. */
  #markUnknown(name: string, error: EngineError): void {
    const state = this.#state;
    const may_take_effect = error.kind === "unknown";
    const settled_at = state.now +
      (may_take_effect ? state.order_settle_ms : 0);
    state.adapters.set(name, { status: "unknown", now: state.now, settled_at });
    state.log(events.order_unknown, { version: name, reason: error.message });
    if (error.kind === "fenced") this.#hooks.onFenced();
    this.#hooks.onChange();
  }

  #countOrder(order: OrderKind, result: Result<void, EngineError>): void {
    const outcome = result.isOk() ? "done" : result.error.kind;
    this.#state.deps.metrics.count(`permits.${order}`, { outcome });
  }

  async #sleep(ms: number): Promise<void> {
    const { clock } = this.#state.deps;
    await clock.sleep(ms, this.#state.stop.signal).catch(() => {});
  }
}
