/** Decodes the members' entries and the assignment, which other programs may
 * have written to as well.
 *
 * @module
 */
import { parseAddress } from "@banyanlb/platform";
import type { Member, RestoreNotice, StoredRecord } from "@banyanlb/serving";
import type { UseByWorkspace } from "./former_use.ts";

/** Largest processor power that a member may state, in cores. */
const CORES_MAX = 4096;

/** A member's entry in the store. */
export interface StoredMember extends Member {
  /** Changes when a removed entry is written again. Owners are identified by
   * name and tenure, so a member whose entry was removed owns nothing, even if
   * it has not received the assignment that moves its engines. */
  readonly tenure: string;
  readonly renewals: number;
  /** Use of the instance's shares of limits, and when it was measured, in
   * milliseconds of Unix time by the clock of the instance. */
  readonly use: UseByWorkspace;
  readonly useAt: number;
  /** When the store was found to be in its era; undefined in the first. */
  readonly restore?: RestoreNotice | undefined;
}

/** One engine's owner in the stored assignment. */
export interface StoredOwner {
  /** The owner, as NAME#TENURE. */
  readonly owner: string;
  /** When the engine moved from another owner, in milliseconds of Unix time; 0
   * if it had no owner before. */
  readonly movedAt: number;
}

/** The owners of engines by the engines' keys. */
export type StoredAssignment = Readonly<Record<string, StoredOwner>>;

/** Decodes what a member says of itself. Returns undefined if it names no
 * instance that can be reached. */
export function decodeMember(value: unknown): Member | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const member = value as Partial<Record<keyof Member, unknown>>;
  const { name, zone, region, incarnation, cores } = member;
  const texts = [name, zone, region, incarnation];
  if (name === "" || texts.some((text) => typeof text !== "string")) {
    return undefined;
  }
  const addresses = [member.peerAddress, member.callerAddress];
  if (addresses.some((a) => parseAddress(String(a)) === undefined)) {
    return undefined;
  }
  const isPowerValid = typeof cores === "number" && cores > 0 &&
    cores <= CORES_MAX;
  return isPowerValid ? value as Member : undefined;
}

/** Decodes a member's entry. */
export function decodeStoredMember(
  { name, value }: StoredRecord,
): StoredMember | undefined {
  const member = decodeMember(value) as Partial<StoredMember> | undefined;
  if (member?.name !== name || typeof member.tenure !== "string") {
    return undefined;
  }
  const isUseValid = isUse(member.use) && Number.isFinite(member.useAt);
  return {
    ...member as StoredMember,
    use: isUseValid ? member.use as UseByWorkspace : {},
    useAt: isUseValid ? Number(member.useAt) : 0,
    restore: isRestoreNotice(member.restore) ? member.restore : undefined,
  };
}

/** Decodes the assignment. A malformed owner leaves the engine with the one that
 * it has in `previous`: another one would take turns with it. `isDamaged` is
 * whether there was one; the assignment must then be written anew.
 *
 * @example
 * ```ts
 * decodeAssignment("text", previous); // { assignment: previous, isDamaged: true }
 * ```
 */
export function decodeAssignment(
  value: unknown,
  previous: StoredAssignment,
): { readonly assignment: StoredAssignment; readonly isDamaged: boolean } {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return { assignment: previous, isDamaged: true };
  }
  const assignment: Record<string, StoredOwner> = {};
  let isDamaged = false;
  for (const [key, owner] of Object.entries(value)) {
    const valid = isOwner(owner) ? owner : previous[key];
    if (valid !== owner) isDamaged = true;
    if (valid !== undefined) assignment[key] = valid;
  }
  return { assignment, isDamaged };
}

function isRestoreNotice(value: unknown): value is RestoreNotice {
  if (typeof value !== "object" || value === null) return false;
  const { era, at } = value as Partial<RestoreNotice>;
  return Number.isSafeInteger(era) && Number.isSafeInteger(at);
}

function isUse(value: unknown): value is UseByWorkspace {
  return typeof value === "object" && value !== null &&
    Object.values(value).every((slices) =>
      Array.isArray(slices) && slices.every((units) => units >= 0)
    );
}

function isOwner(value: unknown): value is StoredOwner {
  if (typeof value !== "object" || value === null) return false;
  const { owner, movedAt } = value as Partial<StoredOwner>;
  return typeof owner === "string" && /^[^#]+#[^#]+$/.test(owner) &&
    Number.isSafeInteger(movedAt) && Number(movedAt) >= 0;
}
