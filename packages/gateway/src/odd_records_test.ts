import { ObjectStoreClient } from "@banyanlb/platform";
import { RawStore } from "@banyanlb/platform/stand_in";
import { afterEach, expect, test, vi } from "vitest";
import * as events from "./events.ts";
import { FakeInstance } from "./testing/fake_instance.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";

/** Time within which a change must have reached both instances, in
 * milliseconds: the deployments' bound. */
const WITHIN = { timeout: 2500, interval: 20 };

const ENTRY = {
  service: "svc",
  address: "127.0.0.1:80",
  zone: "z",
  slots: 4,
  state: "ready",
  born: 1,
  seq: 7,
};

const cleanups: (() => void)[] = [];

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
});

function nested(levels: number): string {
  return "[".repeat(levels) + "]".repeat(levels);
}

/** The text of an entry with one field replaced by any text. */
function withField(name: string, text: string): string {
  const { [name]: _, ...rest } = { ...ENTRY } as Record<string, unknown>;
  return `${JSON.stringify(rest).slice(0, -1)},"${name}":${text}}`;
}

function writeEngine(store: RawStore, name: string): void {
  store.write("servers", name, JSON.stringify(ENTRY));
}

/** Starts an instance that reads the store, and one that the store rejects and
 * that fetches its records from the first. */
async function startPair(store: RawStore) {
  writeEngine(store, "first");
  const client = new ObjectStoreClient(await store.listen());
  const reader = new FakeInstance("reader", client);
  const deafStore = new FakeRecordStore();
  deafStore.readMode = "reject";
  deafStore.compact();
  const peer = new FakeInstance("peer", deafStore);
  peer.leads = [reader];
  reader.start();
  peer.start();
  cleanups.push(() => {
    reader.close();
    peer.close();
    client.close();
    deafStore.close();
    store.close();
  });
  await vi.waitFor(
    () => expect([idsOf(reader), idsOf(peer)]).toEqual([["first"], ["first"]]),
    WITHIN,
  );
  return { reader, peer };
}

function idsOf(instance: FakeInstance): readonly string[] {
  return [...instance.view.engines].map(({ id }) => id).toSorted();
}

// An entry of another writer ended the exchange of the engines between peers.
test.each([
  ["100,000 levels deep", nested(100_000)],
  ["1,000,000 levels deep", nested(1_000_000)],
  ["deep in a field that is not read", withField("note", nested(100_000))],
  ["deep in its models", withField("models", nested(100_000))],
  ["text", '"\\ud800 entry"'],
  ["slots of 1e999", withField("slots", "1e999")],
  ["slots as text", withField("slots", '"NaN"')],
  ["negative slots", withField("slots", "-4")],
  ["port 0", withField("address", '"127.0.0.1:0"')],
  ["port -1", withField("address", '"127.0.0.1:-1"')],
  ["port 65536", withField("address", '"127.0.0.1:65536"')],
  ["port 99999999", withField("address", '"127.0.0.1:99999999"')],
  ["port 80.5", withField("address", '"127.0.0.1:80.5"')],
  ["port 1e3", withField("address", '"127.0.0.1:1e3"')],
  ["an empty port", withField("address", '"127.0.0.1:"')],
  ["no port", withField("address", '"127.0.0.1"')],
  ["no host", withField("address", '":80"')],
  ["no address", withField("address", "null")],
  ["port 65536 of IPv6", withField("address", '"[::1]:65536"')],
  ["IPv6 without a port", withField("address", '"::1"')],
])("an odd entry, %s, names no engine; the others hold", async (_, spec) => {
  const store = new RawStore();
  const { reader, peer } = await startPair(store);
  store.write("servers", "odd", spec);
  writeEngine(store, "second");
  const expected = ["first", "second"];
  await vi.waitFor(() => {
    expect(idsOf(reader)).toEqual(expected);
    expect(idsOf(peer)).toEqual(expected);
  }, WITHIN);
  // The entry is written once more, and another engine comes.
  store.write("servers", "odd", spec);
  writeEngine(store, "third");
  expected.push("third");
  await vi.waitFor(() => {
    expect(idsOf(reader)).toEqual(expected);
    expect(idsOf(peer)).toEqual(expected);
  }, { ...WITHIN, timeout: 3500 });
  expect(reader.view.reachesStore).toBe(true);
  for (const { logged } of [reader, peer]) {
    const ignored = logged.filter(({ event }) =>
      event === events.ENGINE_ENTRY_IGNORED.id
    );
    expect(ignored.map(({ name }) => name)).toEqual(["odd"]);
  }
}, 15_000);
