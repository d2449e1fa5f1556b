/** Sizes, units and framing constants of the capacity measurements and model.
 *
 * @module
 */

/** Bytes of an IPv4 and a TCP header with timestamps, for each segment. */
export const SEGMENT_HEADER_BYTES = 52;

/** Acknowledgements without data for each segment with data. A reply carries
 * the acknowledgement of its request; that of the reply is sent alone. */
export const PURE_ACKS_PER_SEGMENT = 0.5;

/** Milliseconds in a second. */
export const MS_PER_S = 1_000;

/** Seconds in a day. */
export const DAY_S = 86_400;

/** Bytes in a decimal kilobyte and megabyte, the units of the limits. */
export const KB = 1_000;
export const MB = 1_000_000;

/** Bits in a byte. */
export const BITS_PER_BYTE = 8;

/** Numbers of adapters at which state and starts are measured. */
export const ADAPTER_SIZES = [10_000, 40_000, 170_000] as const;

/** Numbers of instances of the fleets that are started. */
export const FLEET_SIZES = [9, 30, 60] as const;

/** Length of an idle measurement, in milliseconds. */
export const IDLE_WINDOW_MS = 12_000;

/** Seed of the pseudo-random generator. */
export const SEED = 20_261_204;
