/** Holders of a workspace's shares, as seen by an entry instance.
 *
 * @module
 */

/** One share of a workspace and its holder. */
export interface ShareHolder {
  readonly slot: number;
  /** Id of the holder's process. */
  readonly holder: string;
}

/** Returns the current holders of a workspace's shares, or an empty list if the
 * workspace is unknown. */
export type ShareView = (workspace: string) => readonly ShareHolder[];

/** The shares of a workspace that one process holds. */
export interface Holding {
  readonly holder: string;
  /** Identifies the workspace and the holder, see {@linkcode holdingKey}. */
  readonly key: string;
  readonly slots: readonly number[];
}

/** Key of a workspace's shares at one holder. */
export function holdingKey(workspace: string, holder: string): string {
  return `${workspace} ${holder}`;
}

/** Groups a workspace's shares by holder. */
export function groupByHolder(
  workspace: string,
  shares: readonly ShareHolder[],
): readonly Holding[] {
  const slots = new Map<string, number[]>();
  for (const { slot, holder } of shares) {
    slots.set(holder, [...slots.get(holder) ?? [], slot]);
  }
  return [...slots].map(([holder, slots]) => ({
    holder,
    slots,
    key: holdingKey(workspace, holder),
  }));
}
