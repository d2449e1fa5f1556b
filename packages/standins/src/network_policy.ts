/** Which delay, bandwidth and cuts apply between two ends.
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

/** One end of a connection. */
export interface Endpoint {
  readonly name: string;
  readonly domain: string;
  readonly region: string;
  /** True for callers. */
  readonly clients: boolean;
}

interface PathRule {
  readonly from: Selector;
  readonly to: Selector;
  readonly both?: boolean;
}

/** Checks whether a selector takes in an end. */
export function selects(selector: Selector, end: Endpoint): boolean {
  return (selector.name ?? end.name) === end.name &&
    (selector.domain ?? end.domain) === end.domain &&
    (selector.region ?? end.region) === end.region;
}

/** Checks whether a rule takes in one direction between two ends. */
export function matchesPath(
  rule: PathRule,
  from: Endpoint,
  to: Endpoint,
): boolean {
  if (selects(rule.from, from) && selects(rule.to, to)) return true;
  return rule.both === true && selects(rule.from, to) &&
    selects(rule.to, from);
}

/** Policies of all links. */
export class NetworkPolicy {
  readonly #config: NetworkConfig;
  readonly #domains: ReadonlyMap<string, Domain>;
  readonly #link_free_at_ms = new Map<string, number>();
  #faults: NetworkFaults = {};

  constructor(config: NetworkConfig) {
    this.#config = config;
    this.#domains = new Map(config.domains.map((d) => [d.name, d]));
  }

  /** The faults in force. */
  get faults(): NetworkFaults {
    return this.#faults;
  }

  /** Merges faults into those in force. */
  setFaults(changes: NetworkFaults): void {
    this.#faults = { ...this.#faults, ...changes };
  }

  /** Lifts all faults. */
  reset(): void {
    this.#faults = {};
  }

  /** The end with a name in a domain. */
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

  /** True if nothing passes this way now. */
  isCut(from: Endpoint, to: Endpoint): boolean {
    const cuts = this.#faults.cuts ?? [];
    return cuts.some((rule) => matchesPath(rule, from, to));
  }

  /** One-way delay in milliseconds. */
  delayMs(from: Endpoint, to: Endpoint): number {
    const rules = this.#faults.delays ?? [];
    const rule = rules.find((r) => matchesPath(r, from, to));
    return rule?.ms ?? this.#configuredDelayMs(from, to);
  }

  /** Takes bandwidth for a chunk. Yields when its last bit has left, on the
   * monotonic clock. */
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
