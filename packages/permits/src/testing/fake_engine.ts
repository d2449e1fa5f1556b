/** An engine for tests that is driven by a manual clock.
 *
 * @module
 */
import {
  type Clock,
  EngineClient,
  type EngineError,
  type EngineReport,
  type OrderOptions,
  type Target,
  type Version,
} from "@banyanlb/core";
import { err, ok, type Result, ResultAsync } from "neverthrow";

/** Outcome of an order. `done`: it takes effect. `failed`: the engine replies
 * with a failure. `lost`: no reply and no effect. `late`: no reply, and the
 * order takes effect after its timeout. */
export type OrderOutcome = "done" | "failed" | "lost" | "late";

/** An engine with adapter slots, fencing tokens and delayed reports. */
export class FakeEngine extends EngineClient {
  readonly loaded = new Set<string>();
  readonly running = new Map<string, number>();
  /** Evictions of an adapter with a running request. */
  readonly violations: string[] = [];
  readonly orders: string[] = [];
  readonly #clock: Clock;
  next_outcomes: OrderOutcome[] = [];
  /** Called when an order arrives, before it takes effect. */
  onOrder: (text: string) => void = () => {};
  slots = 2;
  load_ms = 250;
  age_ms = 0;
  boot_count = 1;
  epoch = 0;
  down = false;
  #past_reports: { readonly at: number; readonly report: EngineReport }[] = [];

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override load(target: Target, version: Version, options: OrderOptions) {
    return this.#order(`load ${version.name}`, target, options, () => {
      if (!this.loaded.has(version.name) && this.loaded.size >= this.slots) {
        return err({ kind: "rejected" as const, message: "no slot" });
      }
      this.loaded.add(version.name);
      return ok(undefined);
    });
  }

  override evict(target: Target, name: string, options: OrderOptions) {
    return this.#order(`evict ${name}`, target, options, () => {
      if (this.loaded.delete(name) && (this.running.get(name) ?? 0) > 0) {
        this.violations.push(`${name} evicted at ${this.#clock.now()}`);
      }
      return ok(undefined);
    });
  }

  override report(): ResultAsync<EngineReport, EngineError> {
    if (this.down) {
      const error = { kind: "unknown" as const, message: "down" };
      return new ResultAsync(Promise.resolve(err(error)));
    }
    this.recordReport();
    const latest_at = this.#clock.now() - this.age_ms;
    const past =
      this.#past_reports.findLast((entry) => entry.at <= latest_at) ??
        this.#past_reports[0]!;
    const age_ms = this.#clock.now() - past.at;
    return new ResultAsync(Promise.resolve(ok({ ...past.report, age_ms })));
  }

  /** Records the current state for later reports. */
  recordReport(): void {
    this.#past_reports = [...this.#past_reports.slice(-200), {
      at: this.#clock.now(),
      report: {
        loaded: [...this.loaded],
        running: Object.fromEntries(this.running),
        waiting: 0,
        age_ms: 0,
        boot_id: `boot-${this.boot_count}`,
      },
    }];
  }

  /** Starts a request. Returns false if the version is not loaded. */
  start(name: string): boolean {
    if (!this.loaded.has(name)) return false;
    this.running.set(name, (this.running.get(name) ?? 0) + 1);
    return true;
  }

  /** Ends a request. */
  finish(name: string): void {
    const left = (this.running.get(name) ?? 0) - 1;
    if (left > 0) this.running.set(name, left);
    else this.running.delete(name);
  }

  /** Restarts the engine with no adapters loaded and no requests running. */
  restart(): void {
    this.loaded.clear();
    this.running.clear();
    this.boot_count += 1;
  }

  override async close(): Promise<void> {}

  #order(
    text: string,
    target: Target,
    options: OrderOptions,
    effect: () => Result<void, EngineError>,
  ): ResultAsync<void, EngineError> {
    return new ResultAsync(this.#run(text, target, options, effect));
  }

  async #run(
    text: string,
    target: Target,
    options: OrderOptions,
    effect: () => Result<void, EngineError>,
  ): Promise<Result<void, EngineError>> {
    const result = this.next_outcomes.shift() ?? "done";
    this.orders.push(text);
    if (this.#isFenced(target, options)) {
      return err({ kind: "fenced", message: "old epoch" });
    }
    this.onOrder(text);
    if (result === "late" || result === "lost") {
      await this.#clock.sleep(options.timeout_ms);
      if (result === "late") void this.#runLate(target, options, effect);
      return err({ kind: "unknown", message: "timeout" });
    }
    await this.#clock.sleep(text.startsWith("load") ? this.load_ms : 5);
    if (result === "failed") return err({ kind: "failed", message: "weights" });
    return effect();
  }

  async #runLate(
    target: Target,
    options: OrderOptions,
    effect: () => void,
  ): Promise<void> {
    await this.#clock.sleep(options.timeout_ms / 2);
    if (!this.#isFenced(target, options)) effect();
  }

  #isFenced(target: Target, options: OrderOptions): boolean {
    if (target.fencing !== true) return false;
    if (options.epoch < this.epoch) return true;
    this.epoch = options.epoch;
    return false;
  }
}
