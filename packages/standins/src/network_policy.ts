/** Delay, bandwidth and cuts between two endpoints.
 *
 * @module
 */
import type {
  Domain,
  NetworkConfig,
  NetworkFaults,
  Selector,
} from "./generated/control.ts";
import { monotonicMs } from "./timestamp.ts";

const BITS_PER_BYTE = 8;
const MS_PER_S = 1_000;

/** One endpoint of a connection. */
export interface Endpoint {
  readonly name: string;
  readonly domain: string;
  readonly region: string;
  /** True if the endpoint is a caller of the product. */
  readonly clients: boolean;
}

interface PathRule {
  readonly from: Selector;
  readonly to: Selector;
  readonly both?: boolean;
}

/** Checks whether a selector matches an endpoint. */
export function selects(selector: Selector, end: Endpoint): boolean {
  return (selector.name ?? end.name) === end.name &&
    (selector.domain ?? end.domain) === end.domain &&
    (selector.region ?? end.region) === end.region;
}

/** Checks whether a rule matches one direction between two endpoints. */
export function matchesPath(
  rule: PathRule,
  from: Endpoint,
  to: Endpoint,
): boolean {
  if (selects(rule.from, from) && selects(rule.to, to)) return true;
  return rule.both === true && selects(rule.from, to) &&
    selects(rule.to, from);
}

/** The network conditions of all links. */
export class NetworkPolicy {
  readonly #config: NetworkConfig;
  readonly #domains: ReadonlyMap<string, Domain>;
  readonly #link_free_at_ms = new Map<string, number>();
  #faults: NetworkFaults = {};

  constructor(config: NetworkConfig) {
    this.#config = config;
    this.#domains = new Map(config.domains.map((d) => [d.name, d]));
  }

  /** The active faults. */
  get faults(): NetworkFaults {
    return this.#faults;
  }

  /** Sets the given faults; the other faults stay unchanged. */
  setFaults(changes: NetworkFaults): void {
    this.#faults = { ...this.#faults, ...changes };
  }

  /** Clears all faults. */
  reset(): void {
    this.#faults = {};
  }

  /** Returns the endpoint with a name in a failure domain. */
  toEndpoint(
    location: { readonly name: string; readonly domain: string },
  ): Endpoint {
    const domain = this.#domains.get(location.domain);
    return {
      name: location.name,
      domain: location.domain,
      region: domain?.region ?? "",
      clients: domain?.clients === true,
    };
  }

  /** True if the direction is cut now. */
  isCut(from: Endpoint, to: Endpoint): boolean {
    const cuts = this.#faults.cuts ?? [];
    return cuts.some((rule) => matchesPath(rule, from, to));
  }

  /** Returns the one-way delay in milliseconds. */
  delayMs(from: Endpoint, to: Endpoint): number {
    const rules = this.#faults.delays ?? [];
    const rule = rules.find((r) => matchesPath(r, from, to));
    return rule?.ms ?? this.#configuredDelayMs(from, to);
  }

  /** Reserves bandwidth for a chunk. Returns the time on the monotonic clock, in
   * milliseconds, at which its last bit has been sent. */
  reserveSendEndMs(
    path: { readonly from: Endpoint; readonly to: Endpoint },
    bytes: number,
  ): number {
    const { from, to } = path;
    const now_ms = monotonicMs();
    const bits_per_s = this.#faults.bits_per_s ?? this.#config.bits_per_s;
    if (from.region === to.region || bits_per_s === 0) return now_ms;
    const key = `${from.region}>${to.region}`;
    const start_ms = Math.max(now_ms, this.#link_free_at_ms.get(key) ?? 0);
    const end_ms = start_ms + (bytes * BITS_PER_BYTE * MS_PER_S) / bits_per_s;
    this.#link_free_at_ms.set(key, end_ms);
    return end_ms;
  }

  #configuredDelayMs(from: Endpoint, to: Endpoint): number {
    const delays = this.#config.delays_ms;
    const clients_ms = from.clients || to.clients ? delays.clients : 0;
    if (from.region !== to.region) return delays.between_regions + clients_ms;
    if (clients_ms > 0) return clients_ms;
    return from.domain === to.domain
      ? delays.same_domain
      : delays.between_domains;
  }
}
