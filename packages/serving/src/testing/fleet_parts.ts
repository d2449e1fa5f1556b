/** Processes, places and callers of the simulated fleet.
 *
 * @module
 */
import type { InstanceId, SimulatedInstance } from "./simulated_instance.ts";

/** Zones of the fleet; every other one is in the other region. */
const ZONES = 6;

/** How the callers' requests are distributed over the instances. */
export type Callers = "even" | "one" | "half_at_one";

/** A process of an instance. */
export interface Process {
  readonly instance: SimulatedInstance;
  /** Which process of the instance it is, from 0. */
  readonly number: number;
  readonly startedAt: number;
  /** When it sends its first reports. */
  readonly reportsAt: number;
  readonly peers: Map<InstanceId, PeerExchange>;
}

/** The reports exchanged with a process of a peer. */
export interface PeerExchange {
  readonly process: number;
  /** Numbers of the last reports sent and received. */
  sent: number;
  received: number;
  /** When the first report arrived. */
  knownSince: number | undefined;
}

/** The exchange of `process` with `peer`; a new one for a new process. */
export function exchangeWith(
  process: Process,
  { id, peer }: { readonly id: InstanceId; readonly peer: Process },
): PeerExchange {
  const existing = process.peers.get(id);
  if (existing?.process === peer.number) return existing;
  const exchange = {
    process: peer.number,
    sent: 0,
    received: 0,
    knownSince: undefined,
  };
  process.peers.set(id, exchange);
  return exchange;
}

/** Where an instance is. */
export function placeOf(
  id: InstanceId,
): { readonly zone: string; readonly region: string } {
  const zone = id % ZONES;
  return { zone: `z${zone}`, region: `r${zone % 2}` };
}

/** Fraction of all requests that an instance receives. */
export function callersFraction(
  id: InstanceId,
  options: { readonly instances: number; readonly callers: Callers },
): number {
  const { instances, callers } = options;
  switch (callers) {
    case "even":
      return 1 / instances;
    case "one":
      return id === 0 ? 1 : 0;
    case "half_at_one":
      return id === 0 ? 0.5 : 0.5 / (instances - 1);
  }
}

/** Evenly distributed numbers in [0, 1) (mulberry32). */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = state;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32;
  };
}
