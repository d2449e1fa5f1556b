/** Stand-in for the object API that docs/PROTOCOLS.md describes.
 *
 * @module
 */
import { createValidator } from "@banyanlb/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { CallCounts } from "./call_counts.ts";
import {
  MAX_VALUE_BYTES,
  MAX_WATCH_MS,
  STORE_READS_PER_S,
  STORE_WRITES_PER_S,
} from "./constants.ts";
import { WriteFault } from "./counted_fault.ts";
import { control_schema, type StoreFaults } from "./generated/control.ts";
import {
  type HttpResponse,
  parseJson,
  readBody,
  resetConnection,
  sendJson,
  sendResponse,
} from "./http_io.ts";
import {
  type ControlResult,
  type Exchange,
  HttpStandIn,
  type ListenOptions,
} from "./http_stand_in.ts";
import {
  type ConditionalWrite,
  ObjectTable,
  type StoredObject,
} from "./object_table.ts";
import { Outage, type OutageKind } from "./outage.ts";
import { TokenBucket } from "./token_bucket.ts";

const MS_PER_S = 1_000;
const NO_FAULT = { count: 0 };

const readFaults = createValidator<StoreFaults>(control_schema, "store_faults");

/** Rate limits of the store. */
export interface StoreOptions extends ListenOptions {
  /** Default `STORE_READS_PER_S`; 0 means no limit. */
  readonly reads_per_s?: number;
  /** Default `STORE_WRITES_PER_S`; 0 means no limit. */
  readonly writes_per_s?: number;
}

interface ObjectCall extends Exchange {
  readonly kind: string;
  readonly name: string;
}

/** Keeps objects in memory. Faults and resets do not remove them.
 *
 * @example
 * ```ts
 * const store = new StoreStandIn({ writes_per_s: 10 });
 * await store.start();
 * store.setFaults({ lose_answer_next: { count: 1, kind: "fleet" } });
 * store.history; // every write that was applied
 * await store.close();
 * ```
 */
export class StoreStandIn extends HttpStandIn {
  readonly #table = new ObjectTable();
  readonly #counts = new CallCounts();
  readonly #outage = new Outage();
  readonly #lose_answer = new WriteFault();
  readonly #lose_request = new WriteFault();
  readonly #error = new WriteFault();
  readonly #read_bucket: TokenBucket;
  readonly #write_bucket: TokenBucket;
  readonly #options: StoreOptions;
  readonly #pending_watches = new Set<() => void>();
  #delay_ms = 0;
  #answer_delay_ms = 0;

  constructor(options: StoreOptions = {}) {
    super(options);
    this.#options = options;
    this.#read_bucket = new TokenBucket(
      options.reads_per_s ?? STORE_READS_PER_S,
    );
    this.#write_bucket = new TokenBucket(
      options.writes_per_s ?? STORE_WRITES_PER_S,
    );
    const path = "/v1/objects/:kind/:name";
    this.route("GET", "/v1/objects/:kind", (call) => this.#list(call));
    this.route("GET", path, (call) => this.#read(toObjectCall(call)));
    this.route("PUT", path, (call) => this.#write(toObjectCall(call)));
    this.route("DELETE", path, (call) => this.#write(toObjectCall(call)));
    this.route("GET", "/_control/counts", ({ res }) => {
      sendJson(res, 200, { value: this.counts });
    });
  }

  /** Every write since the last reset that was applied, oldest first. */
  get history(): ObjectTable["history"] {
    return this.#table.history;
  }

  /** Calls and bytes by `KIND OPERATION`. */
  get counts(): CallCounts["counts"] {
    return this.#counts.counts;
  }

  /** Number of watches that wait for a write. */
  get waiting(): number {
    return this.#pending_watches.size;
  }

  /** Returns counts and history; `?kind=K` limits the history to one kind. */
  override record(
    query: Readonly<Record<string, string | undefined>> = {},
  ): unknown {
    const { kind } = query;
    const history = this.history
      .filter((row) => kind === undefined || row.kind === kind)
      .map(({ text, ...row }) => ({ ...row, value: parseJson(text) }));
    return { counts: this.counts, history };
  }

  override setFaults(faults: unknown): ControlResult {
    return readFaults(faults).map((changes) => this.#setFaults(changes));
  }

  override reset(): void {
    this.#setFaults({
      outage: "none",
      delay_ms: 0,
      answer_delay_ms: 0,
      lose_answer_next: NO_FAULT,
      lose_request_next: NO_FAULT,
      error_next: NO_FAULT,
      reads_per_s: this.#options.reads_per_s ?? STORE_READS_PER_S,
      writes_per_s: this.#options.writes_per_s ?? STORE_WRITES_PER_S,
    });
    this.#table.clearHistory();
    this.#counts.reset();
  }

  protected override admit(req: IncomingMessage): Promise<boolean> {
    return this.#outage.admit(req);
  }

  #setFaults(changes: StoreFaults): void {
    if (changes.outage !== undefined) this.#setOutage(changes.outage);
    this.#delay_ms = changes.delay_ms ?? this.#delay_ms;
    this.#answer_delay_ms = changes.answer_delay_ms ?? this.#answer_delay_ms;
    if (changes.lose_answer_next) {
      this.#lose_answer.set(changes.lose_answer_next);
    }
    if (changes.lose_request_next) {
      this.#lose_request.set(changes.lose_request_next);
    }
    if (changes.error_next) this.#error.set(changes.error_next);
    if (changes.reads_per_s !== undefined) {
      this.#read_bucket.setRate(changes.reads_per_s);
    }
    if (changes.writes_per_s !== undefined) {
      this.#write_bucket.setRate(changes.writes_per_s);
    }
  }

  #setOutage(kind: OutageKind): void {
    this.#outage.set(kind);
    if (kind === "none") return;
    for (const finish of [...this.#pending_watches]) finish();
  }

  async #list(call: Exchange): Promise<void> {
    const kind = call.params["kind"] ?? "";
    this.#counts.count(`${kind} list`, call);
    if (!takeTokenOrRefuse(this.#read_bucket, call.res)) return;
    await this.#delay(this.#delay_ms);
    const body = JSON.stringify({ names: this.#table.names(kind) });
    await this.#respond(call, { status: 200, body });
  }

  async #read(call: ObjectCall): Promise<void> {
    const { kind, name, query } = call;
    const old_version = query["watch"];
    this.#counts.count(
      `${kind} ${old_version === undefined ? "get" : "watch"}`,
      call,
    );
    if (!takeTokenOrRefuse(this.#read_bucket, call.res)) return;
    await this.#delay(this.#delay_ms);
    if (old_version !== undefined) return await this.#watch(call, old_version);
    await this.#respond(call, toObjectResponse(this.#table.get(kind, name)));
  }

  async #watch(call: ObjectCall, version: string): Promise<void> {
    const { kind, name } = call;
    const wait_ms = Math.min(Number(call.query["wait_ms"] ?? 0), MAX_WATCH_MS);
    const isUnchanged = () => {
      return (this.#table.get(kind, name)?.version ?? "") === version;
    };
    if (isUnchanged()) await this.#waitForWrite(call, wait_ms);
    // An outage ends the wait early; the call is then reset or held.
    if (!(await this.#outage.admit(call.req))) return;
    if (isUnchanged()) return await this.#respond(call, { status: 204 });
    await this.#respond(call, toObjectResponse(this.#table.get(kind, name)));
  }

  /** Resolves at the next write to the object, after `wait_ms`, when an outage
   * starts, or when the client disconnects. */
  #waitForWrite(call: ObjectCall, wait_ms: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        unwatch();
        this.#pending_watches.delete(finish);
        call.res.off("close", finish);
        resolve();
      };
      const timer = setTimeout(finish, wait_ms);
      const unwatch = this.#table.watch(call.kind, call.name, finish);
      this.#pending_watches.add(finish);
      call.res.once("close", finish);
    });
  }

  async #write(call: ObjectCall): Promise<void> {
    const { kind, name, req } = call;
    this.#counts.count(`${kind} ${toOperation(req)}`, call);
    const text = await readBody(req);
    if (!takeTokenOrRefuse(this.#write_bucket, call.res)) return;
    // The body has been read, so a delayed write is applied even if the client
    // has disconnected.
    await this.#delay(this.#delay_ms);
    if (this.#lose_request.consume(kind, name)) return resetConnection(req);
    if (this.#error.consume(kind, name)) {
      return sendResponse(call.res, { status: 503 });
    }
    const write = toWrite(call, text);
    if (typeof write === "number") {
      return sendResponse(call.res, { status: write });
    }
    const result = this.#table.write(write);
    if (this.#lose_answer.consume(kind, name)) return resetConnection(req);
    await this.#respond(call, result);
  }

  async #respond(
    call: Exchange,
    response: HttpResponse & { readonly version?: string },
  ): Promise<void> {
    await this.#delay(this.#answer_delay_ms);
    const { status, version } = response;
    if (version === undefined || status === 204) {
      return sendResponse(call.res, response);
    }
    sendJson(call.res, status, { value: { version } });
  }

  async #delay(ms: number): Promise<void> {
    if (ms > 0) await sleep(ms);
  }
}

function toObjectCall(call: Exchange): ObjectCall {
  const { kind = "", name = "" } = call.params;
  return { ...call, kind, name };
}

function toOperation(req: IncomingMessage): string {
  if (req.method === "DELETE") return "remove";
  return req.headers["if-none-match"] === "*" ? "create" : "update";
}

/** Returns the conditional write of a call, or the error status if the call is
 * invalid. */
function toWrite(call: ObjectCall, text: string): ConditionalWrite | number {
  const { req, kind, name } = call;
  const source = req.socket.remoteAddress ?? "";
  const isCreate = req.method === "PUT" && req.headers["if-none-match"] === "*";
  const base_version = req.headers["if-match"];
  if (!isCreate && base_version === undefined) return 428;
  if (req.method === "DELETE") {
    return { kind, name, base_version, text: undefined, source };
  }
  if (Buffer.byteLength(text) > MAX_VALUE_BYTES) return 413;
  if (parseJson(text) === undefined) return 400;
  const base = isCreate ? undefined : base_version;
  return { kind, name, base_version: base, text, source };
}

function toObjectResponse(object: StoredObject | undefined): HttpResponse {
  if (object === undefined) return { status: 404 };
  const body = `{"version":"${object.version}","value":${object.text}}`;
  return { status: 200, body };
}

function takeTokenOrRefuse(bucket: TokenBucket, res: ServerResponse): boolean {
  const wait_ms = bucket.tryTake();
  if (wait_ms === 0) return true;
  const headers = { "retry-after": (wait_ms / MS_PER_S).toFixed(3) };
  sendResponse(res, { status: 429, headers });
  return false;
}
