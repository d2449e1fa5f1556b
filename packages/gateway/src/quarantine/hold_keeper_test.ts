import { EventLog } from "@banyanlb/core";
import {
  Quarantine,
  StoreCallError,
  type StoredRecord,
} from "@banyanlb/serving";
import pino from "pino";
import { describe, expect, test } from "vitest";
import { HoldKeeper } from "./hold_keeper.ts";

/** One record, written under a condition. */
class FakeStore {
  record: StoredRecord | undefined;
  writes = 0;
  isDown = false;
  readonly #eraListeners: ((era: number) => void)[] = [];

  onEraChange(listener: (era: number) => void): () => void {
    this.#eraListeners.push(listener);
    return () => undefined;
  }

  /** Comes back from a copy that holds `record`. */
  restore(record: StoredRecord | undefined): void {
    this.record = record;
    for (const listener of this.#eraListeners) listener(2);
  }

  get(): Promise<StoredRecord | undefined> {
    if (this.isDown) return Promise.reject(new StoreCallError("unknown", ""));
    return Promise.resolve(structuredClone(this.record));
  }

  put(
    _kind: string,
    written: { name: string; value: unknown; revision: number | undefined },
  ): Promise<StoredRecord> {
    if (this.isDown) return Promise.reject(new StoreCallError("unknown", ""));
    if (written.revision !== this.record?.revision) {
      return Promise.reject(new StoreCallError("conflict", ""));
    }
    this.writes += 1;
    const { name, value } = structuredClone(written);
    this.record = { name, value, revision: this.writes };
    return Promise.resolve(this.record);
  }
}

function startKeeper(store: FakeStore, isWriter = true) {
  const quarantine = new Quarantine("i1", {
    onHold: () => undefined,
    onRelease: () => undefined,
    settleMs: () => 0,
  });
  const keeper = new HoldKeeper(store, {
    quarantine,
    isWriter: () => isWriter,
    log: new EventLog(pino({ level: "silent" })),
  });
  return { quarantine, keeper };
}

function holdPart(quarantine: Quarantine, part: string): void {
  const now = performance.now() - 1;
  quarantine.recordCrash(`${part}1@1`, [[part]], { at: now, now });
  quarantine.recordCrash(`${part}2@1`, [[part]], { at: now, now });
  quarantine.report(performance.now());
}

// An object of the store has room for a part of the records only.
test("held parts are stored rather than those that were released", async () => {
  const store = new FakeStore();
  const { quarantine, keeper } = startKeeper(store);
  holdPart(quarantine, "held");
  const released = {
    revision: 2,
    isHeld: false,
    crashes: 2,
    trials: 0,
    ageMs: 0,
    trialInMs: null,
    expiresInMs: 60_000,
  };
  quarantine.adopt(
    Object.fromEntries(
      Array.from({ length: 200 }, (_, i) => [`released${i}`, released]),
    ),
    "peer",
    performance.now(),
  );
  await keeper.check();
  expect(store.record?.value).toMatchObject({ parts: { held: {} } });
});

// One odd part kept the record from being read and written again, and a line was
// logged each second.
test.each([
  ["no value", undefined],
  ["text", "parts"],
  ["parts that are a list", { savedAtMs: 1, parts: [null] }],
  ["a part that is null", { savedAtMs: 1, parts: { odd: null } }],
  ["a part that is text", { savedAtMs: 1, parts: { odd: "held" } }],
  [
    "numbers too large",
    {
      savedAtMs: 1,
      parts: {
        odd: {
          revision: 1e300,
          isHeld: true,
          crashes: 1,
          trials: 0,
          ageMs: 1,
          trialInMs: 1e300,
          expiresInMs: 1e300,
        },
      },
    },
  ],
])("a record with %s holds nothing and is written again", async (_, value) => {
  const store = new FakeStore();
  store.record = { name: "parts", revision: 0, value };
  const { quarantine, keeper } = startKeeper(store);
  await keeper.check();
  expect(quarantine.holdRecords(performance.now())).toEqual([]);
  holdPart(quarantine, "p");
  await keeper.check();
  expect(store.writes).toBe(1);
  const { quarantine: next, keeper: nextKeeper } = startKeeper(store);
  await nextKeeper.check();
  expect(next.holdRecords(performance.now()).map(([part]) => part))
    .toEqual(["p"]);
});

describe("held parts in the store", () => {
  test("are known to an instance that starts after all were lost", async () => {
    const store = new FakeStore();
    const first = startKeeper(store);
    await first.keeper.check();
    holdPart(first.quarantine, "bad");
    await first.keeper.check();
    const second = startKeeper(store);
    expect(second.keeper.isReady).toBe(false);
    await second.keeper.check();
    expect(second.keeper.isReady).toBe(true);
    expect(second.quarantine.beliefOn("bad").isHeld).toBe(true);
  });

  test("cost no call while nothing changes, and one writer only", async () => {
    const store = new FakeStore();
    const writer = startKeeper(store);
    const other = startKeeper(store, false);
    holdPart(writer.quarantine, "bad");
    holdPart(other.quarantine, "worse");
    for (let i = 0; i < 5; i += 1) {
      await writer.keeper.check();
      await other.keeper.check();
    }
    expect(store.writes).toBe(1);
  });

  test("are merged with those that another writer has stored", async () => {
    const store = new FakeStore();
    const [first, second] = [startKeeper(store), startKeeper(store)];
    await second.keeper.check();
    holdPart(first.quarantine, "bad");
    await first.keeper.check();
    holdPart(second.quarantine, "worse");
    for (let i = 0; i < 3; i += 1) await second.keeper.check();
    const third = startKeeper(store);
    await third.keeper.check();
    expect(third.quarantine.beliefOn("bad").isHeld).toBe(true);
    expect(third.quarantine.beliefOn("worse").isHeld).toBe(true);
  });

  test("are read when the store is back", async () => {
    const store = new FakeStore();
    const first = startKeeper(store);
    holdPart(first.quarantine, "bad");
    await first.keeper.check();
    store.isDown = true;
    const second = startKeeper(store);
    await second.keeper.check();
    expect(second.keeper.isReady).toBe(false);
    store.isDown = false;
    await second.keeper.check();
    expect(second.quarantine.beliefOn("bad").isHeld).toBe(true);
  });

  test("that cannot be decoded are ignored", async () => {
    const store = new FakeStore();
    store.record = { name: "parts", revision: 3, value: { parts: 7 } };
    const { keeper, quarantine } = startKeeper(store);
    await keeper.check();
    expect(keeper.isReady).toBe(true);
    expect(quarantine.size).toBe(0);
  });

  // The restored store holds the record of before, or none: a part that crashes
  // engines would be forgotten with the instances.
  test.each([["an older record", true], ["no record", false]])(
    "are written again when the store comes back with %s",
    async (_, hasOlder) => {
      const store = new FakeStore();
      const { quarantine, keeper } = startKeeper(store);
      holdPart(quarantine, "p");
      await keeper.check();
      const older = structuredClone(store.record);
      holdPart(quarantine, "q");
      await keeper.check();
      store.restore(hasOlder ? older : undefined);
      await keeper.check();
      await keeper.check();
      expect(store.record?.value).toMatchObject({ parts: { p: {}, q: {} } });
    },
  );
});
