/** Settings of an engine stand-in.
 *
 * @module
 */
import type { BatchOptions } from "./batch.ts";
import type { ListenOptions } from "./http_stand_in.ts";
import type { PrefixCacheOptions } from "./prefix_cache.ts";

/** Settings of an engine. Defaults are in `ENGINE_DEFAULTS`. */
export interface EngineOptions extends ListenOptions {
  /** Name of the base model; requests for it need no adapter slot. */
  readonly model?: string;
  /** Number of adapter slots. */
  readonly adapter_slots?: number;
  /** True if orders with an outdated fencing token are rejected. */
  readonly fencing?: boolean;
  /** URL of the weight store; without it each load takes `load_ms`. */
  readonly weights_url?: string;
  readonly load_ms?: number;
  /** Source address of connections to the weight store. */
  readonly local_address?: string;
  /** Time between two load reports. */
  readonly report_interval_ms?: number;
  readonly batch?: Partial<BatchOptions>;
  readonly cache?: Partial<PrefixCacheOptions>;
  /** Called by the action `crash`. Default: closes the stand-in. */
  readonly on_crash?: () => void;
}

/** Default settings of an engine. A step with 8 adapters and 32 requests takes
 * 24 ms. */
export const ENGINE_DEFAULTS = {
  adapter_slots: 8,
  load_ms: 250,
  report_interval_ms: 1_000,
  batch: {
    max_running: 32,
    step_ms: 8,
    step_ms_per_request: 0.25,
    step_ms_per_adapter: 1,
    prefill_ms_per_token: 0.1,
  },
  cache: { blocks: 1_024, event_delay_ms: 500, event_gap: 20 },
} as const;
