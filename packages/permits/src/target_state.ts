/** The state of one owned target that its tasks share.
 *
 * @module
 */
import type {
  Clock,
  EngineClient,
  EventLog,
  LoadHint,
  LogEvent,
  Metrics,
  PermitQueue,
  QueuedRequest,
  Target,
  Version,
} from "@banyanlb/core";
import { setMaxListeners } from "node:events";
import { AdapterTable } from "./adapter_table.ts";
import { CircuitBreaker } from "./circuit_breaker.ts";
import {
  DEFAULT_ADAPTER_SLOTS,
  DEFAULT_MAX_RUNNING,
  MAX_CLOCK_DRIFT_RATIO,
  MAX_DEADLINE_MS,
  ORDER_SETTLE_MS,
  ORDER_TIMEOUT_MS,
  TRANSIT_MARGIN_MS,
} from "./constants.ts";
import { PermitTable } from "./permit_table.ts";
import { SafetyRules } from "./safety_rules.ts";
import type {
  HeldPermit,
  LeaseView,
  LoadBudget,
  PermitPeers,
} from "./types.ts";
import { WaitingList } from "./waiting_list.ts";

/** What an owner needs from its surroundings. */
export interface OwnerDeps {
  readonly clock: Clock;
  readonly engine: EngineClient;
  readonly lease: LeaseView;
  readonly load_budget: LoadBudget;
  readonly peers: PermitPeers;
  readonly createQueue: (target: Target) => PermitQueue;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Default: {@linkcode SafetyRules}. */
  readonly rules?: SafetyRules;
  /** Greatest deadline of a request; longer ones are cut. The same on all
   * instances. Default 600,000 ms. */
  readonly max_deadline_ms?: number;
  readonly order_timeout_ms?: number;
  readonly order_settle_ms?: number;
}

/** Shared by the tasks of one owned target; changed only in their turns. */
export class TargetState {
  readonly deps: OwnerDeps;
  readonly epoch: number;
  readonly rules: SafetyRules;
  readonly versions: (name: string) => Version | undefined;
  readonly permits = new PermitTable();
  readonly adapters = new AdapterTable();
  readonly breaker = new CircuitBreaker();
  readonly waiting: WaitingList;
  /** Members whose permits of a former owner are not known yet. */
  readonly unreported_members = new Set<string>();
  readonly stop = new AbortController();
  target: Target;
  /** True once no order of a former owner can take effect any more. */
  are_orders_settled = false;
  /** True once the target is handed over: no grants and no orders. */
  is_quiesced = false;
  /** True once the target showed that a newer owner exists. */
  fenced = false;
  /** True if a report is wanted at once. */
  is_report_needed = false;

  constructor(
    deps: OwnerDeps,
    options: {
      readonly target: Target;
      readonly epoch: number;
      readonly versions: (name: string) => Version | undefined;
    },
  ) {
    // Each member's report may wait on it at once.
    setMaxListeners(0, this.stop.signal);
    this.deps = deps;
    this.target = options.target;
    this.epoch = options.epoch;
    this.versions = options.versions;
    this.rules = deps.rules ?? new SafetyRules();
    this.waiting = new WaitingList(deps.createQueue(options.target));
  }

  get now(): number {
    return this.deps.clock.now();
  }

  get is_stopped(): boolean {
    return this.stop.signal.aborted;
  }

  get order_timeout_ms(): number {
    return this.deps.order_timeout_ms ?? ORDER_TIMEOUT_MS;
  }

  get order_settle_ms(): number {
    return this.deps.order_settle_ms ?? ORDER_SETTLE_MS;
  }

  get max_deadline_ms(): number {
    return this.deps.max_deadline_ms ?? MAX_DEADLINE_MS;
  }

  get max_running(): number {
    return this.target.max_running ?? DEFAULT_MAX_RUNNING;
  }

  get adapter_slots(): number {
    return this.target.adapter_slots ?? DEFAULT_ADAPTER_SLOTS;
  }

  /** True if the target is to get no new work from here. */
  get is_ending(): boolean {
    return this.is_stopped || this.is_quiesced || this.fenced ||
      this.target.leaving === true;
  }

  /** True if an order may be sent in this turn. */
  mayOrder(): boolean {
    const remaining = this.deps.lease.remaining();
    return !this.is_ending && this.are_orders_settled &&
      this.rules.mayOrder(remaining, this.order_timeout_ms);
  }

  /** True if an adapter may be evicted in this turn. */
  mayEvict(name: string): boolean {
    const record = this.adapters.get(name);
    if (record === undefined) return false;
    return this.rules.mayEvict({
      status: record.status,
      outstanding: this.permits.countOf(name),
      in_doubt: record.in_doubt_since !== undefined,
      unreported_count: this.unreported_members.size,
    });
  }

  /** True if the ask could be granted once the target has a place. */
  canServe(request: QueuedRequest): boolean {
    return request.version === undefined ||
      this.adapters.serves(request.version);
  }

  /** Counts a permit that a former owner granted. */
  adoptPermit(permit: HeldPermit): void {
    this.permits.add({
      ...permit,
      deadline_at: this.now + permit.remaining_ms,
      expires_at: this.now + addSafetyMargin(permit.remaining_ms),
    });
  }

  /** The load that a reply about `version` carries. */
  loadHintFor(version: string | undefined): LoadHint {
    const loaded = version === undefined || this.adapters.serves(version);
    return {
      running: this.permits.size,
      max_running: this.max_running,
      waiting: this.waiting.size,
      loaded,
      has_room: this.adapters.size < this.adapter_slots ||
        this.adapters.records().some((record) => this.mayEvict(record.name)),
    };
  }

  /** Writes a log event with the target's name and epoch. */
  log(event: LogEvent, fields: Readonly<Record<string, unknown>> = {}): void {
    const target_fields = { target: this.target.name, epoch: this.epoch };
    this.deps.log.write(event, { ...target_fields, ...fields });
  }
}

/** Time after which a request with this much time left can no longer run,
 * whatever the drift between the clocks concerned. */
export function addSafetyMargin(remaining_ms: number): number {
  return remaining_ms * (1 + MAX_CLOCK_DRIFT_RATIO) + TRANSIT_MARGIN_MS;
}
