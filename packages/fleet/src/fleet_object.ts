/** Reads and conditional writes of the fleet object.
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

/** Key of the fleet object. */
export const FLEET_KEY: StoreKey = { kind: "fleet", name: "fleet" };

/** The fleet with its version. */
export type StoredFleet = Versioned<Fleet>;

/** A write: the version it is based on, and the value. */
export interface FleetWrite {
  readonly base: StoredFleet;
  readonly value: Fleet;
}

/** What became of a change that was sent once or not at all. */
export type ChangeResult = Result<StoredFleet, FleetError | UnresolvedWrite>;

/** What a change starts from. */
export interface ChangeOptions {
  readonly known: StoredFleet | undefined;
  readonly adopt: (object: StoredFleet) => void;
}

/** A write whose answer was lost. */
export interface UnresolvedWrite {
  readonly kind: "unresolved";
  readonly write: FleetWrite;
}

/** Client of the fleet object. */
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

  /** Reads the fleet, or creates it if it is missing. */
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

  /** Sends one write. */
  async write(write: FleetWrite): Promise<Result<StoredFleet, StoreError>> {
    const { base, value } = write;
    const versioned = { version: base.version, value: packFleet(value) };
    const options = { timeout_ms: STORE_CALL_TIMEOUT_MS };
    const result = await this.#store.update(FLEET_KEY, versioned, options);
    return result.map((version) => ({ version, value }));
  }

  /** Waits for another version than `version`. `undefined`: none came. */
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

  /** Applies a change to `known` or, if that is old, to what the store has,
   * until it lands, proves needless, or is refused. `adopt` takes each fleet
   * that was read before a write is based on it. */
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

/** The error that a caller of the keeper sees. */
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
