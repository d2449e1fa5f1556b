/** Stand-in for a plain service that records each execution.
 *
 * @module
 */
import { createValidator } from "@banyanlb/core";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { CountedFault } from "./counted_fault.ts";
import { control_schema, type ServiceFaults } from "./generated/control.ts";
import { readBody, resetConnection, sendResponse } from "./http_io.ts";
import {
  type ControlResult,
  type Exchange,
  HttpStandIn,
} from "./http_stand_in.ts";
import { Outage } from "./outage.ts";
import { type Timestamp, timestamp } from "./timestamp.ts";

const readFaults = createValidator<ServiceFaults>(
  control_schema,
  "service_faults",
);

/** One call received. */
export interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  readonly received: Timestamp;
  /** Time of execution; `undefined` if the call was not executed. */
  readonly executed: Timestamp | undefined;
  /** Status of the response; 0 if the connection was reset instead. */
  readonly status: number;
}

/** Executes every call, on any path.
 *
 * The response is `{"executed":N,"path":P,"body":B}`, where `N` numbers the
 * executions, and has the `x-request-id` of the request.
 *
 * @example
 * ```ts
 * const service = new ServiceStandIn();
 * await service.start();
 * service.setFaults({ reset_after_next: 1 });
 * service.executions; // every call that was executed
 * await service.close();
 * ```
 */
export class ServiceStandIn extends HttpStandIn {
  readonly #outage = new Outage();
  readonly #reset_before = new CountedFault();
  readonly #reset_after = new CountedFault();
  readonly #error = new CountedFault();
  #delay_ms = 0;
  #answer_delay_ms = 0;
  #calls: ServiceCall[] = [];
  #executed = 0;

  /** Every call that was executed. */
  get executions(): readonly ServiceCall[] {
    return this.#calls.filter((call) => call.executed !== undefined);
  }

  override record(): unknown {
    return { executed: this.#executed, calls: this.#calls };
  }

  override setFaults(faults: unknown): ControlResult {
    return readFaults(faults).map((changes) => this.#setFaults(changes));
  }

  override reset(): void {
    this.#setFaults({
      outage: "none",
      delay_ms: 0,
      answer_delay_ms: 0,
      reset_before_next: 0,
      reset_after_next: 0,
      error_next: 0,
    });
    this.#calls = [];
    this.#executed = 0;
  }

  protected override admit(req: IncomingMessage): Promise<boolean> {
    return this.#outage.admit(req);
  }

  protected override async serveUnrouted(
    { req, res }: Exchange,
  ): Promise<void> {
    const body = await readBody(req);
    const call = {
      method: req.method ?? "",
      path: req.url ?? "",
      headers: req.headers,
      body,
      received: timestamp(),
    };
    if (this.#reset_before.consume()) {
      this.#calls.push({ ...call, executed: undefined, status: 0 });
      return resetConnection(req);
    }
    // Like a real service, executes the call even if the client disconnects
    // meanwhile.
    await this.#sleep(this.#delay_ms);
    this.#executed += 1;
    const number = this.#executed;
    const status = this.#chooseStatus();
    this.#calls.push({ ...call, executed: timestamp(), status });
    await this.#sleep(this.#answer_delay_ms);
    if (status === 0) return resetConnection(req);
    const id = req.headers["x-request-id"];
    sendResponse(res, {
      status,
      headers: typeof id === "string" ? { "x-request-id": id } : {},
      body: JSON.stringify({ executed: number, path: call.path, body }),
    });
  }

  #setFaults(changes: ServiceFaults): void {
    if (changes.outage !== undefined) this.#outage.set(changes.outage);
    this.#delay_ms = changes.delay_ms ?? this.#delay_ms;
    this.#answer_delay_ms = changes.answer_delay_ms ?? this.#answer_delay_ms;
    const { reset_before_next, reset_after_next, error_next } = changes;
    if (reset_before_next !== undefined) {
      this.#reset_before.set(reset_before_next);
    }
    if (reset_after_next !== undefined) this.#reset_after.set(reset_after_next);
    if (error_next !== undefined) this.#error.set(error_next);
  }

  #chooseStatus(): number {
    if (this.#reset_after.consume()) return 0;
    return this.#error.consume() ? 500 : 200;
  }

  async #sleep(ms: number): Promise<void> {
    if (ms > 0) await sleep(ms);
  }
}
