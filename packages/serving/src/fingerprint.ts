/** Order-independent fingerprints of sets.
 *
 * The fingerprint of a set is the sum of those of its members, modulo 2^32. Two
 * instances compare fingerprints to tell whether they hold the same set.
 *
 * @module
 */

/** Spreads a number over 32 bits, so that sums of different sets differ.
 *
 * @example
 * ```ts
 * addFingerprints(fingerprintOf(7), fingerprintOf(9));
 * ```
 */
export function fingerprintOf(value: number): number {
  // Revisions of different eras differ in the high word.
  let hash = value ^ Math.imul(Math.trunc(value / 2 ** 32), 0x9e3779b1);
  hash = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
  hash = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** The fingerprint of a text (FNV-1a). */
export function fingerprintOfText(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  return hash >>> 0;
}

/** The fingerprint of the union of two sets without common members. */
export function addFingerprints(a: number, b: number): number {
  return (a + b) >>> 0;
}
