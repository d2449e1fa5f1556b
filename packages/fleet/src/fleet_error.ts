/** Errors of changes to the fleet.
 *
 * @module
 */

/** Why a change was not made.
 *
 * - `in_doubt`: the change may have taken effect or may still do so. Neither
 *   the old nor the new holder may use the slots until a retry resolves it.
 * - `unavailable`: the change was not made, or whether it was does no harm;
 *   retry it.
 */
export interface FleetError {
  readonly kind:
    | "in_doubt"
    | "unavailable"
    | "contended"
    | "not_joined"
    | "not_held"
    | "not_ended"
    | "no_heir"
    | "unknown_member"
    | "slots_held"
    | "invalid";
  readonly message: string;
}
