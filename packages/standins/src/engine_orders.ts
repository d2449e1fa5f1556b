/** Load and evict orders, checked by their fencing tokens.
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

/** Settings for the handling of orders. */
export interface OrderSettings {
  /** True if orders with an outdated fencing token are rejected. */
  readonly fencing: boolean;
  /** Closed while the engine is frozen. */
  readonly gate: Gate;
}

/** Executes and records orders. */
export class EngineOrders {
  readonly #settings: OrderSettings;
  readonly #currentBoot: () => EngineBoot;
  #highest_epoch = 0;
  #records: OrderRecord[] = [];

  /** `currentBoot` returns the state of the engine's current start. */
  constructor(currentBoot: () => EngineBoot, settings: OrderSettings) {
    this.#currentBoot = currentBoot;
    this.#settings = settings;
  }

  /** All orders since the last reset, in order of arrival. */
  get records(): readonly OrderRecord[] {
    return this.#records;
  }

  /** Clears the records and keeps the highest fencing token. */
  clear(): void {
    this.#records = [];
  }

  /** Handles an order to load. The load continues if the client disconnects. */
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
    // The engine has restarted meanwhile, and a restart closes the connections
    // of the process that received the order.
    if (boot !== this.#currentBoot()) return resetConnection(exchange.req);
    sendResponse(exchange.res, { status: STATUS_BY_OUTCOME[outcome] });
  }

  /** Handles an order to evict. A version in use is evicted too, and its
   * requests are ended. */
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
