/** Stand-in for a model engine with the API that docs/PROTOCOLS.md describes.
 *
 * @module
 */
import { createValidator } from "@banyanlb/core";
import type { IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { EngineBoot, type LoadReport } from "./engine_boot.ts";
import { EngineFaultSet } from "./engine_faults.ts";
import { type CrossedRequest, EngineJob } from "./engine_job.ts";
import { ENGINE_DEFAULTS, type EngineOptions } from "./engine_options.ts";
import { EngineOrders } from "./engine_orders.ts";
import type {
  EngineRecord,
  EngineRequestRecord,
  RequestOutcome,
} from "./engine_record.ts";
import { countPromptTokens } from "./expected_text.ts";
import {
  control_schema,
  type EngineAction,
  type EngineFaults,
} from "./generated/control.ts";
import {
  type ApiKind,
  type GenerationRequest,
  readGenerationRequest,
  readHeader,
} from "./generation_request.ts";
import { parseJson, readBody, sendJson, sendResponse } from "./http_io.ts";
import {
  type ControlResult,
  type Exchange,
  HttpStandIn,
} from "./http_stand_in.ts";
import { monotonicMs, timestamp } from "./timestamp.ts";
import { WeightsClient } from "./weights_client.ts";

const readFaults = createValidator<EngineFaults>(
  control_schema,
  "engine_faults",
);
const readAction = createValidator<EngineAction>(control_schema, "action");

/** Serves completions with adapters that are loaded and evicted by orders.
 *
 * `POST /_control/action` accepts `{"action":"restart_empty"|"crash"}`.
 *
 * @example
 * ```ts
 * const engine = new EngineStandIn({ adapter_slots: 2, load_ms: 10 });
 * await engine.start();
 * engine.setFaults({ fail_loads_next: 1 });
 * engine.record().requests; // every request received
 * await engine.close();
 * ```
 */
export class EngineStandIn extends HttpStandIn {
  readonly #options: EngineOptions;
  readonly #faults = new EngineFaultSet();
  readonly #orders: EngineOrders;
  readonly #weights: WeightsClient | undefined;
  #boot: EngineBoot;
  #boots: readonly string[];
  #requests: EngineRequestRecord[] = [];
  #next_id = 1;
  #previous_request: CrossedRequest | undefined;
  #last_report: { readonly at_ms: number; readonly load: LoadReport };
  #report_timer: NodeJS.Timeout | undefined;

  constructor(options: EngineOptions = {}) {
    super(options);
    this.#options = options;
    const { weights_url, local_address, fencing = false } = options;
    if (weights_url !== undefined) {
      this.#weights = new WeightsClient(weights_url, { local_address });
    }
    const { gate } = this.#faults;
    this.#orders = new EngineOrders(() => this.#boot, { fencing, gate });
    this.#boot = this.#createBoot();
    this.#boots = [this.#boot.boot_id];
    this.#last_report = {
      at_ms: monotonicMs(),
      load: this.#boot.report(),
    };
    this.#addRoutes();
  }

  override async start(): Promise<number> {
    const { report_interval_ms = ENGINE_DEFAULTS.report_interval_ms } =
      this.#options;
    this.#report_timer = setInterval(
      () => this.#updateReport(),
      report_interval_ms,
    );
    return await super.start();
  }

  override async close(): Promise<void> {
    clearInterval(this.#report_timer);
    this.#faults.gate.setOpen(true);
    this.#boot.finishAll("restarted");
    await super.close();
    await this.#weights?.close();
  }

  override record(): EngineRecord {
    const orders = this.#orders.records;
    return {
      boot_id: this.#boot.boot_id,
      boots: this.#boots,
      loaded: this.#boot.slots.loaded,
      requests: this.#requests,
      orders,
      evicted_in_use:
        orders.filter((order) => order.result === "evicted_in_use").length,
      batch: this.#boot.batch.totals,
    };
  }

  override setFaults(faults: unknown): ControlResult {
    return readFaults(faults).map((changes) => {
      this.#faults.set(changes);
      this.#applyFaults();
    });
  }

  override reset(): void {
    this.#faults.reset();
    this.#applyFaults();
    this.#requests = [];
    this.#orders.clear();
  }

  /** Simulates a restart: drops adapters, prefix cache and running requests. */
  restartEmpty(): void {
    const previous = this.#boot;
    this.#boot = this.#createBoot();
    this.#boots = [...this.#boots, this.#boot.boot_id];
    previous.finishAll("restarted");
    this.#updateReport();
    this.#applyFaults();
  }

  /** Stops the engine abruptly. */
  crash(): void {
    if (this.#options.on_crash !== undefined) return this.#options.on_crash();
    void this.close();
  }

  protected override async admit(req: IncomingMessage): Promise<boolean> {
    await this.#faults.gate.wait();
    return !req.socket.destroyed;
  }

  #addRoutes(): void {
    const generate = (exchange: Exchange, api: ApiKind) => {
      return this.#generate(exchange, api);
    };
    this.route("POST", "/v1/chat/completions", (c) => generate(c, "chat"));
    this.route("POST", "/v1/completions", (c) => generate(c, "text"));
    this.route("POST", "/v1/load_lora_adapter", (c) => this.#orders.load(c));
    this.route("POST", "/v1/unload_lora_adapter", (c) => {
      return this.#orders.evict(c);
    });
    this.route("GET", "/v1/load_report", ({ res }) => {
      const { at_ms, load } = this.#last_report;
      const age_ms = Math.round(monotonicMs() - at_ms);
      sendJson(res, 200, { value: { ...load, age_ms } });
    });
    this.route("GET", "/v1/cache_events", ({ res, query }) => {
      const after = Number(query["after"] ?? 0);
      const events = this.#boot.cache.eventsAfter(after);
      const next = events.at(-1)?.seq ?? after;
      sendJson(res, 200, { value: { events, next } });
    });
    this.control("action", (body) => {
      return readAction(body).map(({ action }) => {
        if (action === "crash") this.crash();
        else this.restartEmpty();
      });
    });
  }

  #createBoot(): EngineBoot {
    return new EngineBoot(this.#options, (path) => this.#fetchWeights(path));
  }

  #applyFaults(): void {
    this.#boot.batch.setExtraStepMs(this.#faults.slow_token_ms);
    this.#boot.batch.setPaused(!this.#faults.gate.open);
  }

  #updateReport(): void {
    if (!this.#faults.gate.open) return;
    this.#last_report = {
      at_ms: monotonicMs(),
      load: this.#boot.report(),
    };
  }

  async #fetchWeights(path: string): Promise<boolean> {
    await sleep(this.#faults.load_delay_ms);
    if (this.#faults.load_fault.consume()) return false;
    if (this.#weights !== undefined) return await this.#weights.fetch(path);
    await sleep(this.#options.load_ms ?? ENGINE_DEFAULTS.load_ms);
    return true;
  }

  async #generate(exchange: Exchange, api: ApiKind): Promise<void> {
    const record = this.#addRecord(exchange);
    const text = await readBody(exchange.req);
    const request = readGenerationRequest(parseJson(text), api);
    if (request === undefined) {
      return refuseRequest(exchange, record, {
        status: 400,
        outcome: "bad_request",
      });
    }
    const { version, prompt } = request.generation;
    record.version = version;
    record.stream = request.stream;
    record.prompt_tokens = countPromptTokens(prompt);
    const faults = this.#faults.consumeForRequest();
    if (faults.refused) {
      return refuseRequest(exchange, record, {
        status: 503,
        outcome: "refused",
      });
    }
    const isBaseModel = version === this.#options.model;
    if (!isBaseModel && !this.#boot.slots.has(version)) {
      return refuseRequest(exchange, record, {
        status: 404,
        outcome: "not_loaded",
      });
    }
    const other = faults.crossed
      ? this.#chooseCrossedRequest(request)
      : undefined;
    this.#previous_request = {
      request_id: readHeader(exchange.req.headers, "x-request-id"),
      generation: request.generation,
    };
    const boot = this.#boot;
    const job = new EngineJob({
      exchange,
      request,
      record,
      faults,
      other,
      cache: boot.cache,
      gate: this.#faults.gate,
      on_end: (ended_job) => boot.removeJob(ended_job),
    }, boot.batch);
    boot.addJob(job);
  }

  /** Returns the previous request, or an invented one if there is none. */
  #chooseCrossedRequest(request: GenerationRequest): CrossedRequest {
    const { generation } = request;
    const invented = { ...generation, prompt: `not ${generation.prompt}` };
    return this.#previous_request ??
      { request_id: "other", generation: invented };
  }

  #addRecord({ req }: Exchange): EngineRequestRecord {
    const { headers } = req;
    const isBatch = readHeader(headers, "x-priority") === "batch";
    const record: EngineRequestRecord = {
      id: this.#next_id,
      boot_id: this.#boot.boot_id,
      path: req.url ?? "",
      headers,
      workspace: readHeader(headers, "x-workspace"),
      version: "",
      ran: false,
      priority: isBatch ? "batch" : "interactive",
      stream: false,
      prompt_tokens: 0,
      cached_tokens: 0,
      tokens: 0,
      start: timestamp(),
      admitted: undefined,
      first_token: undefined,
      end: undefined,
      outcome: "running",
    };
    this.#next_id += 1;
    this.#requests.push(record);
    return record;
  }
}

function refuseRequest(
  { req, res }: Exchange,
  record: EngineRequestRecord,
  refusal: { readonly status: number; readonly outcome: RequestOutcome },
): void {
  record.end = timestamp();
  record.outcome = refusal.outcome;
  const id = readHeader(req.headers, "x-request-id");
  sendResponse(res, {
    status: refusal.status,
    headers: id === "" ? {} : { "x-request-id": id },
    body: JSON.stringify({ error: { type: refusal.outcome } }),
  });
}
