/** Loopback addresses of a cluster of processes, chosen so that clusters that
 * run at the same time do not share addresses.
 *
 * @module
 */

const FIRST_OCTET = 127;
const OCTET_RANGE = 200;
const OCTET_BASE = 20;
const LINK_OFFSET = 100;

/** Port on which every instance serves callers. */
export const CALLER_PORT = 7_000;

/** Port on which every instance serves peers and operators. */
export const PEER_PORT = 7_100;

let cluster_count = 0;

/** Addresses of one cluster. */
export interface Addresses {
  /** Address that instance `i`, counted from 1, binds. */
  readonly instance: (i: number) => string;
  /** Address on which the network's stand-in listens for link `i`. */
  readonly link: (i: number) => string;
}

/** Picks addresses that no other cluster of this machine is likely to use. */
export function pickAddresses(): Addresses {
  cluster_count += 1;
  const cluster_number = process.pid * 7 + cluster_count;
  const second_octet = OCTET_BASE +
    Math.floor(cluster_number / OCTET_RANGE) % OCTET_RANGE;
  const third_octet = OCTET_BASE + cluster_number % OCTET_RANGE;
  const prefix = `${FIRST_OCTET}.${second_octet}.${third_octet}`;
  return {
    instance: (i) => `${prefix}.${i}`,
    link: (i) => `${prefix}.${LINK_OFFSET + i}`,
  };
}
