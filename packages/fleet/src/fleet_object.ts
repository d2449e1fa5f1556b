/** Reads and conditional writes of the fleet object in the store.
 *
 * @module
 */
import {
  type Clock,
  type Fleet,
  type ObjectStore,
  type StoreError,
  type StoreKey,
  type Versioned,
} from "@banyanlb/core";
import { err, ok, type Result } from "neverthrow";
import {
  CHANGE_ATTEMPTS,
  IMMEDIATE_ATTEMPTS,
  MAX_CONFLICT_JITTER_MS,
  STORE_CALL_TIMEOUT_MS,
} from "./constants.ts";
import type { FleetChange } from "./fleet_change.ts";
import type { FleetError } from "./fleet_error.ts";
import { packFleet, unpackFleet } from "./pack_fleet.ts";

/** Store key of the fleet object. */
export const FLEET_KEY: StoreKey = { kind: "fleet", name: "fleet" };

/** A fleet with the version of its stored object. */
export type StoredFleet = Versioned<Fleet>;

/** A conditional write: the stored fleet that it is based on, and the new
 * value. */
export interface FleetWrite {
  readonly base: StoredFleet;
  readonly value: Fleet;
}

/** Result of a change: the current fleet, an error, or the unresolved write. */
export type ChangeResult = Result<StoredFleet, FleetError | UnresolvedWrite>;

/** Fleet that a change starts from, and a function that adopts newer ones. */
export interface ChangeOptions {
  readonly known: StoredFleet | undefined;
  readonly adopt: (object: StoredFleet) => void;
}

/** A write that the store did not confirm. */
export interface UnresolvedWrite {
  readonly kind: "unresolved";
  readonly write: FleetWrite;
}

/** Store client for the fleet object. */
export class FleetObject {
  readonly #store: ObjectStore;
  readonly #clock: Clock;

  constructor(store: ObjectStore, clock: Clock) {
    this.#store = store;
    this.#clock = clock;
  }

  /** Reads the fleet. */
  async read(): Promise<Result<StoredFleet, StoreError>> {
    const options = { timeout_ms: STORE_CALL_TIMEOUT_MS };
    const result = await this.#store.get<unknown>(FLEET_KEY, options);
    return result.andThen(unpackStoredFleet);
  }

  /** Reads the fleet, or creates it if it is missing. If another process
   * creates it at the same time, reads that one. */
  async readOrCreate(
    create: () => Fleet,
  ): Promise<Result<StoredFleet, StoreError>> {
    const found = await this.read();
    if (found.isOk() || found.error.kind !== "not_found") return found;
    const value = create();
    const options = { timeout_ms: STORE_CALL_TIMEOUT_MS };
    const packed = packFleet(value);
    const created = await this.#store.create(FLEET_KEY, packed, options);
    if (created.isOk()) return ok({ version: created.value, value });
    return created.error.kind === "conflict"
      ? await this.read()
      : err(created.error);
  }

  /** Sends one conditional write. */
  async write(write: FleetWrite): Promise<Result<StoredFleet, StoreError>> {
    const { base, value } = write;
    const versioned = { version: base.version, value: packFleet(value) };
    const options = { timeout_ms: STORE_CALL_TIMEOUT_MS };
    const result = await this.#store.update(FLEET_KEY, versioned, options);
    return result.map((version) => ({ version, value }));
  }

  /** Waits for a version other than `version`. Returns `undefined` if there was
   * none within `wait_ms`. */
  async watch(
    version: string | undefined,
    options: { readonly wait_ms: number; readonly signal: AbortSignal },
  ): Promise<Result<StoredFleet | undefined, StoreError>> {
    const reply = await this.#store.watch<unknown>(
      FLEET_KEY,
      version,
      options,
    );
    return reply.andThen(({ changed, object }) => {
      if (object !== undefined) return unpackStoredFleet(object);
      return changed ? err(fleetMissing()) : ok(undefined);
    });
  }

  /** Applies a change to `known` or, if that is outdated, to the stored fleet.
   * Retries after conflicts until the change takes effect, is found to be
   * unnecessary or fails. `adopt` is called with each fleet before a write is
   * based on it. */
  async change(
    change: FleetChange,
    options: ChangeOptions,
  ): Promise<ChangeResult> {
    let base = options.known;
    for (let attempt = 0; attempt < CHANGE_ATTEMPTS; attempt++) {
      if (attempt > IMMEDIATE_ATTEMPTS) await this.#backOff();
      const current = base === undefined ? await this.read() : ok(base);
      if (current.isErr()) return err(toFleetError(current.error));
      options.adopt(current.value);
      const desired = change(current.value.value);
      const is_cached = base !== undefined;
      base = undefined;
      if (desired.isErr()) {
        if (is_cached) continue;
        return err(desired.error);
      }
      if (desired.value === undefined) return ok(current.value);
      const write = { base: current.value, value: desired.value };
      const result = await this.write(write);
      if (result.isOk()) return ok(result.value);
      if (result.error.kind === "conflict") continue;
      if (result.error.kind === "unavailable") {
        return err({ kind: "unresolved", write });
      }
      return err(toFleetError(result.error));
    }
    return err({
      kind: "contended",
      message: "other writers were faster each time; repeat it",
    });
  }

  async #backOff(): Promise<void> {
    await this.#clock.sleep(Math.random() * MAX_CONFLICT_JITTER_MS);
  }
}

/** Converts a store error to the error that a `FleetKeeper` returns. */
export function toFleetError(error: StoreError): FleetError {
  switch (error.kind) {
    case "not_found":
      return { kind: "not_joined", message: "there is no fleet; join first" };
    case "invalid":
      return { kind: "invalid", message: error.message };
    default:
      return { kind: "unavailable", message: error.message };
  }
}

function fleetMissing(): StoreError {
  return { kind: "not_found", message: "the fleet is missing; join again" };
}

function unpackStoredFleet(
  { version, value }: Versioned<unknown>,
): Result<StoredFleet, StoreError> {
  return unpackFleet(value)
    .map((fleet) => ({ version, value: fleet }))
    .mapErr((problem) => ({
      kind: "invalid" as const,
      message: `fleet object at ${problem}; restore it by a running version`,
    }));
}
