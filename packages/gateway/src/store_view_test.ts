import { EventLog } from "@banyanlb/core";
import { EngineTable } from "@banyanlb/serving";
import pino from "pino";
import { afterEach, expect, test, vi } from "vitest";
import { StoreView } from "./store_view.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";

/** The deployments' bound on the time from a change to its effect, in
 * milliseconds. */
const APPLY_WITHIN_MS = 2500;

const cleanups: (() => void)[] = [];

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
});

function writeConfiguration(store: FakeRecordStore, version: number): void {
  store.write("configuration", "main", { version, routes: [], services: [] });
}

function startView(store: FakeRecordStore): StoreView {
  const view = new StoreView(store, {
    engineTable: new EngineTable(),
    log: new EventLog(pino({ level: "silent" })),
    isStoreReader: () => true,
  });
  view.start();
  cleanups.push(() => {
    view.close();
    store.close();
  });
  return view;
}

function versionOf(view: StoreView): number | undefined {
  return view.routeTable?.configuration.version;
}

async function startAtVersion(
  store: FakeRecordStore,
  version: number,
): Promise<StoreView> {
  writeConfiguration(store, version);
  const view = startView(store);
  await vi.waitFor(() => expect(versionOf(view)).toBe(version));
  await vi.waitFor(() => expect(store.waitingWatches).toBe(3));
  return view;
}

function expectInForce(view: StoreView, version: number): Promise<void> {
  return vi.waitFor(() => expect(versionOf(view)).toBe(version), {
    timeout: APPLY_WITHIN_MS,
  });
}

// A watch that was restarted while the store dropped its history was accepted
// and then heard of nothing until the next change.
test("lost history: a change that no watch reports is in force in time", async () => {
  const store = new FakeRecordStore();
  const view = await startAtVersion(store, 1);
  store.areWatchesDeaf = true;
  writeConfiguration(store, 2);
  await store.resetWatches(["configuration"]);
  store.compact();
  store.areWatchesDeaf = false;
  await expectInForce(view, 2);
});
