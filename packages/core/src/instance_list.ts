/** The platform's list of instances, which lags behind their actual state.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { StoreError } from "./store_error.ts";

/** One entry of the list: an entry instance or a target. */
export interface ListedInstance {
  readonly name: string;
  readonly state: "live" | "leaving";
}

/** Client of the instance list. */
export abstract class InstanceList {
  /** Reads the list. It may be some seconds out of date. */
  abstract read(): ResultAsync<readonly ListedInstance[], StoreError>;

  /** Releases connections. */
  abstract close(): Promise<void>;
}
