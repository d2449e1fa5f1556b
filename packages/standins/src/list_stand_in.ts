/** Stand-in for the platform's instance list, which returns outdated rows.
 *
 * @module
 */
import { createValidator, type ListedInstance } from "@banyanlb/core";
import type { IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { LIST_LAG_MS } from "./constants.ts";
import {
  control_schema,
  type ListFaults,
  type ListRows,
} from "./generated/control.ts";
import { sendJson } from "./http_io.ts";
import {
  type ControlResult,
  type Exchange,
  HttpStandIn,
  type ListenOptions,
} from "./http_stand_in.ts";
import { Outage } from "./outage.ts";
import { monotonicMs } from "./timestamp.ts";

const readFaults = createValidator<ListFaults>(control_schema, "list_faults");
const readRows = createValidator<ListRows>(control_schema, "list_rows");

/** Settings of the instance list. */
export interface ListOptions extends ListenOptions {
  /** Age of the returned rows in milliseconds. Default `LIST_LAG_MS`. */
  readonly lag_ms?: number;
}

interface RowsChange {
  readonly since_ms: number;
  readonly instances: readonly ListedInstance[];
}

/** Returns the rows as they were `lag_ms` ago. `POST /_control/rows` with
 * `{"instances":[...]}` sets new rows.
 *
 * @example
 * ```ts
 * const list = new ListStandIn({ lag_ms: 500 });
 * await list.start();
 * list.setRows([{ name: "entry-1", state: "live" }]);
 * await list.close();
 * ```
 */
export class ListStandIn extends HttpStandIn {
  readonly #outage = new Outage();
  readonly #default_lag_ms: number;
  #lag_ms: number;
  #delay_ms = 0;
  #history: readonly RowsChange[] = [];
  #reads = 0;

  constructor(options: ListOptions = {}) {
    super(options);
    this.#default_lag_ms = options.lag_ms ?? LIST_LAG_MS;
    this.#lag_ms = this.#default_lag_ms;
    this.route("GET", "/v1/instances", (call) => this.#serveRows(call));
    this.control("rows", (body) => {
      return readRows(body).map((rows) => this.setRows(rows.instances));
    });
  }

  /** Sets the rows. The first rows are returned immediately; later changes are
   * returned after the lag. */
  setRows(instances: readonly ListedInstance[]): void {
    const since_ms = this.#history.length === 0 ? 0 : monotonicMs();
    this.#history = [...this.#history, { since_ms, instances }];
  }

  override record(): unknown {
    return { reads: this.#reads, history: this.#history };
  }

  override setFaults(faults: unknown): ControlResult {
    return readFaults(faults).map((changes) => {
      if (changes.outage !== undefined) this.#outage.set(changes.outage);
      this.#delay_ms = changes.delay_ms ?? this.#delay_ms;
      this.#lag_ms = changes.lag_ms ?? this.#lag_ms;
    });
  }

  override reset(): void {
    this.#outage.set("none");
    this.#delay_ms = 0;
    this.#lag_ms = this.#default_lag_ms;
    this.#history = this.#history.slice(-1);
    this.#reads = 0;
  }

  protected override admit(req: IncomingMessage): Promise<boolean> {
    return this.#outage.admit(req);
  }

  async #serveRows({ res }: Exchange): Promise<void> {
    this.#reads += 1;
    if (this.#delay_ms > 0) await sleep(this.#delay_ms);
    const as_of_ms = monotonicMs() - this.#lag_ms;
    const visible = this.#history.findLast((rows) => rows.since_ms <= as_of_ms);
    sendJson(res, 200, { value: { instances: visible?.instances ?? [] } });
  }
}
