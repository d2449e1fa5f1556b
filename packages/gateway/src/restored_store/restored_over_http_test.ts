import { setTimeout as pause } from "node:timers/promises";
import { EventLog } from "@banyanlb/core";
import { ObjectStoreClient } from "@banyanlb/platform";
import { StoreStandIn } from "@banyanlb/platform/stand_in";
import { EngineTable, type RecordKind } from "@banyanlb/serving";
import pino from "pino";
import { expect, onTestFinished, test, vi } from "vitest";
import { StoreView } from "../store_view.ts";
import { findFreePort } from "../testing/free_port.ts";

/** The deployments' bounds on the time from a change to its effect, in
 * milliseconds. */
const APPLY_WITHIN_MS = 2500;
const EVACUATED_WITHIN_MS = 5000;

/** How long the store is away, in milliseconds. */
const AWAY_MS = 200;

/** Time between the lists that confirm the records, in milliseconds. */
const CONFIRM_INTERVAL_MS = 300;

/** A store that is restored, and an operator. */
async function startStore() {
  const address = { host: "127.0.0.1", port: await findFreePort() };
  const store = new StoreStandIn();
  await store.listen(address);
  const operator = new ObjectStoreClient(address);
  onTestFinished(() => {
    operator.close();
    store.close();
  });
  const write = async (kind: RecordKind, name: string, value: unknown) => {
    const { revision } = await operator.get(kind, name) ?? {};
    await operator.put(kind, { name, value, revision });
  };
  const remove = async (kind: RecordKind, name: string) => {
    const record = await operator.get(kind, name);
    if (record !== undefined) await operator.remove(kind, record);
  };
  /** Runs `lose`, whose changes a restore undoes, and restores the store. Many
   * more numbers are given out before than after. */
  const restore = async (lose: () => Promise<void>) => {
    store.takeCopy();
    const copiedAt = performance.now();
    await lose();
    for (let i = 0; i < 50; i += 1) await write("holds", "other", { i });
    await pause(2 * CONFIRM_INTERVAL_MS);
    const ageMs = performance.now() - copiedAt;
    await store.restore(ageMs, AWAY_MS);
  };
  const writeConfiguration = (version: number) =>
    write("configuration", "main", { version, routes: [], services: [] });
  const writeEngine = (name: string, state = "ready") =>
    write("engines", name, {
      service: "svc",
      address: "127.0.0.1:1",
      zone: "z",
      slots: 4,
      state,
      born: 1,
    });
  return { address, write, remove, restore, writeConfiguration, writeEngine };
}

async function startView() {
  const store = await startStore();
  await store.writeConfiguration(12);
  await store.writeEngine("e1");
  const view = new StoreView(new ObjectStoreClient(store.address), {
    engineTable: new EngineTable(),
    log: new EventLog(pino({ level: "silent" })),
    isStoreReader: () => true,
    changeKnownMs: APPLY_WITHIN_MS,
    evacuationKnownMs: EVACUATED_WITHIN_MS,
    regions: new Map([["z", "r"]]),
  });
  const followers = [
    view.follower("configuration"),
    view.follower("engines"),
    view.follower("versions"),
    view.evacuationFollower,
  ];
  const timer = setInterval(
    () => followers.forEach((follower) => void follower?.confirm()),
    CONFIRM_INTERVAL_MS,
  );
  onTestFinished(() => {
    clearInterval(timer);
    view.close();
  });
  view.start();
  const version = () => view.routeTable?.configuration.version;
  const engines = () =>
    [...view.engines].map(({ id, leaving }) => leaving ? `${id} leaving` : id);
  await vi.waitFor(() => expect(version()).toBe(12));
  await vi.waitFor(() => expect(engines()).toEqual(["e1"]));
  return { ...store, view, version, engines };
}

const inTime = { timeout: APPLY_WITHIN_MS, interval: 20 };

// Guards against a configuration that is not applied because its revision is
// lower than one of before the restore.
test("a configuration that is published after a restore is in force in time", async () => {
  const { restore, writeConfiguration, version } = await startView();
  await restore(() => writeConfiguration(14));
  await writeConfiguration(14);
  await writeConfiguration(16);
  await vi.waitFor(() => expect(version()).toBe(16), inTime);
});

// Guards against engines that are not known, or not known to leave, because their
// entries have lower revisions than before the restore.
test("engines that register or leave after a restore are known in time", async () => {
  const { restore, writeEngine, engines } = await startView();
  await restore(() => writeEngine("e2"));
  await writeEngine("e3");
  await writeEngine("e1", "draining");
  await vi.waitFor(
    () => expect(engines()).toEqual(["e1 leaving", "e3"]),
    inTime,
  );
});

// Guards against requests on an adapter version that was replaced after the
// restore.
test("a version that is announced after a restore is known in time", async () => {
  const { restore, write, view } = await startView();
  const announce = (version: number) =>
    write("versions", "m.a", { model: "m", adapter: "a", version });
  await restore(() => announce(2));
  await announce(3);
  await vi.waitFor(() => expect(view.versionOf("m", "a")).toBe(3), inTime);
});

// Guards against requests to engines of a zone that was evacuated after the
// restore, or for which that has ended.
test(
  "evacuations that begin or end after a restore are known in time",
  async () => {
    const { restore, write, remove, view } = await startView();
    const isEvacuated = () => view.evacuations.isEvacuated("z");
    await restore(() => write("evacuations", "z", {}));
    expect(isEvacuated()).toBe(true);
    const revision = () => view.evacuationFollower?.newestRevision;
    const before = revision();
    await write("evacuations", "z", {});
    const known = { timeout: EVACUATED_WITHIN_MS, interval: 20 };
    await vi.waitFor(() => expect(revision()).not.toBe(before), known);
    expect(isEvacuated()).toBe(true);
    await remove("evacuations", "z");
    await vi.waitFor(() => expect(isEvacuated()).toBe(false), known);
  },
  15_000,
);
