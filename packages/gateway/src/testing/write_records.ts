/** Records as operators and engines write them.
 *
 * @module
 */
import type { FakeRecordStore } from "./fake_record_store.ts";

/** Writes a configuration without routes. */
export function writeConfiguration(
  store: FakeRecordStore,
  version: number,
): void {
  store.write("configuration", "main", { version, routes: [], services: [] });
}

/** Writes an engine's entry, with `changes` to its usual fields. */
export function writeEngine(
  store: FakeRecordStore,
  name: string,
  changes: Readonly<Record<string, unknown>> = {},
): void {
  store.write("engines", name, {
    service: "svc",
    address: "127.0.0.1:1",
    zone: "z",
    slots: 4,
    state: "ready",
    born: 1,
    seq: 3,
    ...changes,
  });
}
