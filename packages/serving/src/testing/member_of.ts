import type { Member } from "../types.ts";

/** A member of this name for tests; `fields` are those that matter to them.
 *
 * @example
 * ```ts
 * const far = memberOf("i1", { zone: "z3", region: "r2" });
 * ```
 */
export function memberOf(name: string, fields: Partial<Member> = {}): Member {
  return {
    name,
    zone: "z",
    region: "r",
    peerAddress: name,
    callerAddress: name,
    incarnation: "1",
    cores: 1,
    ...fields,
  };
}
