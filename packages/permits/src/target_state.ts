/** State of one owned target that is shared by the target's tasks.
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

/** Dependencies and settings of an owner. */
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
  /** Upper limit of a request's deadline; longer deadlines are reduced to it.
   * Must be the same on all instances. Default 600,000 ms. */
  readonly max_deadline_ms?: number;
  readonly order_timeout_ms?: number;
  readonly order_settle_ms?: number;
}

/** Shared state of the tasks of one owned target. */
export class TargetState {
  readonly deps: OwnerDeps;
  readonly epoch: number;
  readonly rules: SafetyRules;
  readonly versions: (name: string) => Version | undefined;
  readonly permits = new PermitTable();
  readonly adapters = new AdapterTable();
  readonly breaker = new CircuitBreaker();
  readonly waiting: WaitingList;
  /** Members that have not yet reported their permits of former owners. */
  readonly unreported_members = new Set<string>();
  readonly stop = new AbortController();
  target: Target;
  /** True once no order of a former owner can still take effect. */
  are_orders_settled = false;
  /** True once the handoff to the next owner has begun: no permits are granted
   * and no orders are sent. */
  is_quiesced = false;
  /** True once the target has rejected this owner's epoch as outdated. */
  fenced = false;
  /** True if the engine's report is to be read as soon as possible. */
  is_report_needed = false;

  constructor(
    deps: OwnerDeps,
    options: {
      readonly target: Target;
      readonly epoch: number;
      readonly versions: (name: string) => Version | undefined;
    },
  ) {
    // Each member's report task may listen to the signal at the same time.
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

  /** True if this owner grants no more permits and sends no more orders. */
  get is_ending(): boolean {
    return this.is_stopped || this.is_quiesced || this.fenced ||
      this.target.leaving === true;
  }

  /** True if an order may be sent in this turn of the event loop. */
  mayOrder(): boolean {
    const remaining = this.deps.lease.remaining();
    return !this.is_ending && this.are_orders_settled &&
      this.rules.mayOrder(remaining, this.order_timeout_ms);
  }

  /** True if an adapter may be evicted in this turn of the event loop. */
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

  /** True if the request needs no load: its version is loaded and not being
   * drained, or it is for a plain service. */
  canServe(request: QueuedRequest): boolean {
    return request.version === undefined ||
      this.adapters.serves(request.version);
  }

  /** Adds a permit that a former owner granted. */
  adoptPermit(permit: HeldPermit): void {
    this.permits.add({
      ...permit,
      deadline_at: this.now + permit.remaining_ms,
      expires_at: this.now + addSafetyMargin(permit.remaining_ms),
    });
  }

  /** Load hint of the target for a reply about `version`. */
  loadHintFor(version: string | undefined): LoadHint {
    const loaded = version === undefined || this.adapters.serves(version);
    return {
      running: this.permits.size,
      max_running: this.max_running,
      waiting: this.waiting.size,
      loaded,
      has_available_slot: this.adapters.size < this.adapter_slots ||
        this.adapters.records().some((record) => this.mayEvict(record.name)),
    };
  }

  /** Writes a log event with the target's name and epoch. */
  log(event: LogEvent, fields: Readonly<Record<string, unknown>> = {}): void {
    const target_fields = { target: this.target.name, epoch: this.epoch };
    this.deps.log.write(event, { ...target_fields, ...fields });
  }
}

/** Milliseconds after which a request with `remaining_ms` left has certainly
 * ended, with a margin for clock drift, transit and cancellation. */
export function addSafetyMargin(remaining_ms: number): number {
  return remaining_ms * (1 + MAX_CLOCK_DRIFT_RATIO) + TRANSIT_MARGIN_MS;
}
