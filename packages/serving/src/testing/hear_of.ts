/** Makes a table of members hear of one.
 *
 * @module
 */
import type { InstanceState } from "../digest_board.ts";
import type { MemberTable } from "../member_table.ts";

/** The state of an instance that does everything. */
export const BUSY_STATE: InstanceState = {
  ready: true,
  leaving: false,
  serves: true,
  orders: true,
  busy: 0,
  reachesStore: true,
  storeRoundTripMs: 5,
  tenure: undefined,
  digestIntervalMs: 200,
};

/** Records a digest that a member sent directly, and that has arrived at
 * `now`. */
export function hearOf(
  table: MemberTable,
  name: string,
  { now, ...state }: Partial<InstanceState> & { readonly now: number },
): void {
  const full = { ...BUSY_STATE, ...state };
  table.setState(name, full);
  table.recordEvidence(name, {
    heardAt: now,
    checkedAt: now,
    intervalMs: full.digestIntervalMs,
  });
}
