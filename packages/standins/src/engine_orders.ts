/** Orders to load and evict, with their fencing numbers.
 *
 * @module
 */
import type { LoadOutcome } from "./adapter_slots.ts";
import type { EngineBoot } from "./engine_boot.ts";
import type { OrderRecord } from "./engine_record.ts";
import type { Gate } from "./gate.ts";
import { readHeader } from "./generation_request.ts";
import {
  parseJson,
  readBody,
  resetConnection,
  sendResponse,
} from "./http_io.ts";
import type { Exchange } from "./http_stand_in.ts";
import { timestamp } from "./timestamp.ts";

const STATUS_BY_OUTCOME: Readonly<Record<LoadOutcome, number>> = {
  loaded: 200,
  no_slot: 409,
  failed: 500,
};

interface OrderBody {
  readonly lora_name?: unknown;
  readonly lora_path?: unknown;
}

/** How orders are taken. */
export interface OrderSettings {
  /** True if orders with an old fencing number are rejected. */
  readonly fencing: boolean;
  /** Closed while the engine is frozen. */
  readonly gate: Gate;
}

/** Carries orders out and records each. */
export class EngineOrders {
  readonly #settings: OrderSettings;
  readonly #currentBoot: () => EngineBoot;
  #highest_epoch = 0;
  #records: OrderRecord[] = [];

  /** `boot` yields the present state. */
  constructor(currentBoot: () => EngineBoot, settings: OrderSettings) {
    this.#currentBoot = currentBoot;
    this.#settings = settings;
  }

  /** Every order, in order of arrival. */
  get records(): readonly OrderRecord[] {
    return this.#records;
  }

  /** Forgets the record, but not the highest fencing number. */
  clear(): void {
    this.#records = [];
  }

  /** Serves an order to load. It goes on if its caller goes away. */
  async load(exchange: Exchange): Promise<void> {
    const body = parseJson(await readBody(exchange.req)) as OrderBody;
    const name = String(body?.lora_name ?? "");
    const boot = this.#currentBoot();
    const record = this.#addRecord(exchange, { order: "load", name });
    if (record.result === "fenced") {
      return sendResponse(exchange.res, { status: 412 });
    }
    const weights_path = String(body?.lora_path ?? "");
    const outcome = await boot.slots.load(name, weights_path);
    await this.#settings.gate.wait();
    record.result = outcome;
    // The process that took the order is gone, and its connection with it.
    if (boot !== this.#currentBoot()) return resetConnection(exchange.req);
    sendResponse(exchange.res, { status: STATUS_BY_OUTCOME[outcome] });
  }

  /** Serves an order to evict, whether or not the version is in use. */
  async evict(exchange: Exchange): Promise<void> {
    const body = parseJson(await readBody(exchange.req)) as OrderBody;
    const name = String(body?.lora_name ?? "");
    const record = this.#addRecord(exchange, { order: "evict", name });
    if (record.result === "fenced") {
      return sendResponse(exchange.res, { status: 412 });
    }
    const boot = this.#currentBoot();
    const jobs = boot.jobsOf(name);
    const loaded = boot.slots.has(name);
    boot.slots.evict(name);
    record.in_use = jobs.length;
    record.result = loaded ? "evicted" : "not_loaded";
    if (jobs.length > 0) record.result = "evicted_in_use";
    for (const job of jobs) job.finish("evicted");
    sendResponse(exchange.res, { status: 200 });
  }

  #addRecord(
    exchange: Exchange,
    order: Pick<OrderRecord, "order" | "name">,
  ): OrderRecord {
    const epoch = Number(readHeader(exchange.req.headers, "x-fencing-epoch"));
    const highest_epoch = this.#highest_epoch;
    const stale = epoch < highest_epoch;
    this.#highest_epoch = Math.max(highest_epoch, epoch);
    const record: OrderRecord = {
      ...timestamp(),
      ...order,
      epoch,
      highest_epoch,
      stale,
      result: stale && this.#settings.fencing ? "fenced" : "received",
      in_use: 0,
    };
    this.#records.push(record);
    return record;
  }
}
