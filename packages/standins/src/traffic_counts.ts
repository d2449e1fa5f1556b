/** Counts of bytes and connections between pairs of endpoints.
 *
 * @module
 */
import type { Endpoint } from "./network_policy.ts";

/** Traffic in one direction between two endpoints. */
export interface PairTraffic {
  readonly bytes: number;
  readonly chunks: number;
  readonly connections: number;
}

const NO_TRAFFIC: PairTraffic = { bytes: 0, chunks: 0, connections: 0 };

/** Counts traffic by `FROM>TO`. */
export class TrafficCounts {
  readonly #pairs = new Map<string, PairTraffic>();

  /** Counts by `FROM>TO`. */
  get pairs(): Readonly<Record<string, PairTraffic>> {
    return Object.fromEntries(this.#pairs);
  }

  /** Counts a connection that `from` opened to `to`. */
  addConnection(from: Endpoint, to: Endpoint): void {
    this.#add({ from, to }, { ...NO_TRAFFIC, connections: 1 });
  }

  /** Counts one chunk of data. */
  addBytes(
    path: { readonly from: Endpoint; readonly to: Endpoint },
    bytes: number,
  ): void {
    this.#add(path, { bytes, chunks: 1, connections: 0 });
  }

  /** Clears all counts. */
  reset(): void {
    this.#pairs.clear();
  }

  #add(
    path: { readonly from: Endpoint; readonly to: Endpoint },
    added: PairTraffic,
  ): void {
    const pair = `${path.from.name}>${path.to.name}`;
    const previous = this.#pairs.get(pair) ?? NO_TRAFFIC;
    this.#pairs.set(pair, {
      bytes: previous.bytes + added.bytes,
      chunks: previous.chunks + added.chunks,
      connections: previous.connections + added.connections,
    });
  }
}
