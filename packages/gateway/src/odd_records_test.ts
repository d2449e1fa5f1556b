import { ObjectStoreClient } from "@banyanlb/platform";
import { RawStore } from "@banyanlb/platform/stand_in";
import { expect, test, vi } from "vitest";
import * as events from "./events.ts";
import { FakeInstance } from "./testing/fake_instance.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";

/** A change reaches both instances within seconds, or never. */
const WITHIN = { timeout: 10_000, interval: 20 };

const ENTRY = {
  service: "svc",
  address: "127.0.0.1:80",
  zone: "z",
  slots: 4,
  state: "ready",
  born: 1,
  seq: 7,
};

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
async function startPair(
  store: RawStore,
  addCleanup: (cleanup: () => void) => void,
) {
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
  addCleanup(() => {
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

// An entry of another writer ended the exchange of the engines between peers,
// or made an engine of it that no request can reach.
test.concurrent.for([
  ["100,000 levels deep", nested(100_000)],
  ["1,000,000 levels deep", nested(1_000_000)],
  ["deep in a field that is not read", withField("note", nested(100_000))],
  ["deep in its models", withField("models", nested(100_000))],
  ["text", '"\\ud800 entry"'],
  ["slots of 1e999", withField("slots", "1e999")],
  ["slots of NaN", withField("slots", "NaN")],
  ["a negative infinite start", withField("born", "-Infinity")],
  ["slots beyond 2^53", withField("slots", "9007199254740993")],
  ["more slots than connections", withField("slots", "1e9")],
  ["half a slot", withField("slots", "1.5")],
  ["slots as text", withField("slots", '"NaN"')],
  ["negative slots", withField("slots", "-4")],
  ["a start of 1e999", withField("born", "1e999")],
  ["a start beyond 2^53", withField("born", "1e300")],
  ["a start as text", withField("born", '"NaN"')],
  ["a negative start", withField("born", "-1")],
  ["a negative sequence number", withField("seq", "-1")],
  ["a sequence number of 1e999", withField("seq", "1e999")],
  ["remaining time of 1e999", withField("remaining_ms", "1e999")],
  ["remaining time as text", withField("remaining_ms", '"soon"')],
  ["models that are no list", withField("models", '{"a":1}')],
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
])(
  "an odd entry, %s, names no engine; the others hold",
  async ([, spec = ""], { onTestFinished }) => {
    const store = new RawStore();
    const { reader, peer } = await startPair(store, onTestFinished);
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
    }, WITHIN);
    // A busy machine may delay one confirmation.
    await vi.waitFor(
      () => expect(reader.view.reachesStore).toBe(true),
      WITHIN,
    );
    for (const { logged } of [reader, peer]) {
      const ignored = logged.filter(({ event }) =>
        event === events.ENGINE_ENTRY_IGNORED.id
      );
      expect(ignored.map(({ name }) => name)).toEqual(["odd"]);
    }
  },
);

// A body that cannot be read counted as an empty list.
test.concurrent.for([
  ["deeply nested", nested(100_000)],
  ["text", "no store"],
  ["an empty object", "{}"],
])(
  "a list that is %s is no empty list and is read again after a pause",
  async ([, body], { onTestFinished }) => {
    const store = new RawStore();
    store.body = body;
    writeEngine(store, "first");
    const client = new ObjectStoreClient(await store.listen());
    const reader = new FakeInstance("reader", client);
    reader.start();
    onTestFinished(() => {
      reader.close();
      client.close();
      store.close();
    });
    await new Promise((resolve) => setTimeout(resolve, 600));
    expect(reader.view.follower("engines").known).toBe(false);
    store.body = undefined;
    const isRead = () => expect(idsOf(reader)).toEqual(["first"]);
    await vi.waitFor(isRead, WITHIN);
    store.body = body;
    store.reads = 0;
    await new Promise((resolve) => setTimeout(resolve, 1000));
    expect(store.reads).toBeLessThan(40);
    isRead();
    store.body = undefined;
    writeEngine(store, "second");
    await vi.waitFor(
      () => expect(idsOf(reader)).toEqual(["first", "second"]),
      WITHIN,
    );
  },
);
