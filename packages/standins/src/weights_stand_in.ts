/** Stand-in for the rate-limited weight store.
 *
 * @module
 */
import { createValidator } from "@banyanlb/core";
import type { IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { CountedFault } from "./counted_fault.ts";
import {
  control_schema,
  type WeightsFaults,
  type WeightsLimits,
} from "./generated/control.ts";
import { sendJson } from "./http_io.ts";
import {
  type ControlResult,
  type Exchange,
  HttpStandIn,
  type ListenOptions,
} from "./http_stand_in.ts";
import { Outage } from "./outage.ts";
import { type Timestamp, timestamp } from "./timestamp.ts";
import { TokenBucket } from "./token_bucket.ts";

const readFaults = createValidator<WeightsFaults>(
  control_schema,
  "weights_faults",
);

/** Limits of the weight store, and the address that it listens on. */
export interface WeightsOptions extends ListenOptions {
  readonly limits: WeightsLimits;
}

/** One fetch of weights. */
export interface LoadRecord {
  readonly path: string;
  readonly start: Timestamp;
  readonly end: Timestamp;
  /** Loads in flight when this one started, itself included. */
  readonly in_flight: number;
  readonly status: number;
}

/** Serves loads at a limited rate; loads above the rate are queued. If more than
 * `full_speed_in_flight` loads are in flight, queued ones included, each load
 * takes proportionally longer.
 *
 * @example
 * ```ts
 * const limits = {
 *   loads_per_s: 4,
 *   at_once: 1,
 *   load_ms: 250,
 *   full_speed_in_flight: 8,
 * };
 * const weights = new WeightsStandIn({ limits });
 * await weights.start();
 * await weights.close();
 * ```
 */
export class WeightsStandIn extends HttpStandIn {
  readonly #outage = new Outage();
  readonly #fail = new CountedFault();
  readonly #limits: WeightsLimits;
  readonly #bucket: TokenBucket;
  #delay_ms = 0;
  #in_flight = 0;
  #loads: LoadRecord[] = [];

  constructor(options: WeightsOptions) {
    super(options);
    this.#limits = options.limits;
    const { loads_per_s, at_once } = options.limits;
    this.#bucket = new TokenBucket(loads_per_s, at_once);
    this.route("GET", "/v1/weights/*", (call) => this.#serveLoad(call));
  }

  /** Every load completed since the last reset. */
  get loads(): readonly LoadRecord[] {
    return this.#loads;
  }

  override record(): unknown {
    return { in_flight: this.#in_flight, loads: this.#loads };
  }

  override setFaults(faults: unknown): ControlResult {
    return readFaults(faults).map((changes) => {
      if (changes.outage !== undefined) this.#outage.set(changes.outage);
      this.#delay_ms = changes.delay_ms ?? this.#delay_ms;
      if (changes.fail_next !== undefined) this.#fail.set(changes.fail_next);
    });
  }

  override reset(): void {
    this.#outage.set("none");
    this.#delay_ms = 0;
    this.#fail.set(0);
    this.#loads = [];
  }

  protected override admit(req: IncomingMessage): Promise<boolean> {
    return this.#outage.admit(req);
  }

  async #serveLoad(call: Exchange): Promise<void> {
    const path = call.params["*"] ?? "";
    const start = timestamp();
    const status = this.#fail.consume() ? 500 : 200;
    this.#in_flight += 1;
    const in_flight = this.#in_flight;
    try {
      await sleep(this.#bucket.reserve() + this.#delay_ms);
      await sleep(this.#transferMs());
    } finally {
      this.#in_flight -= 1;
    }
    const end = timestamp();
    this.#loads.push({ path, start, end, in_flight, status });
    sendJson(call.res, status, { value: { path } });
  }

  #transferMs(): number {
    const { load_ms, full_speed_in_flight } = this.#limits;
    return load_ms * Math.max(1, this.#in_flight / full_speed_in_flight);
  }
}
