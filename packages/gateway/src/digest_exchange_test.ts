import { MemberTable } from "@banyanlb/serving";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { DigestExchange } from "./digest_exchange.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { Digest } from "./peer_messages.ts";
import { digestOptions } from "./testing/digest_options.ts";
import { FakeInstance } from "./testing/fake_instance.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";

const cleanups: (() => void)[] = [];

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
  vi.useRealTimers();
});

/** Two instances with a store each. The first does not ask the second: it hears
 * of newer records by digests only. */
async function startPair() {
  const stores = [new FakeRecordStore(), new FakeRecordStore()] as const;
  const [own, peer] = stores.map((store, i) =>
    new FakeInstance(`i${i}`, store)
  );
  if (own === undefined || peer === undefined) throw new Error("no instances");
  for (const store of stores) writeConfiguration(store, 1);
  peer.start();
  own.view.start();
  own.leads = [peer];
  cleanups.push(() => {
    own.close();
    peer.close();
    for (const store of stores) store.close();
  });
  const members = new MemberTable(own.member.name, performance.now());
  members.add(peer.member);
  const options = digestOptions({
    self: own.member,
    members,
    storeView: own.view,
    records: own.records,
    links: { confirmDelivery: () => undefined } as unknown as PeerLinks,
  });
  const { quarantine } = options;
  const exchange = new DigestExchange(options);
  let seq = 0;
  const deliverDigest = (fields: Partial<Digest> = {}) => {
    seq += 1;
    const revs = peer.records.confirmedRows(performance.now())
      .map(([revision]) => revision);
    const digest: Digest = {
      t: "digest",
      seq,
      ack: 0,
      ready: true,
      tenure: undefined,
      revs,
      up: 10_000,
      ...fields,
    };
    exchange.receive(peer.member.name, digest);
  };
  await vi.advanceTimersByTimeAsync(1000);
  return { stores, own, peer, quarantine, deliverDigest };
}

function writeConfiguration(store: FakeRecordStore, version: number): void {
  store.write("configuration", "main", { version, routes: [], services: [] });
}

async function deliverDigestsFor(ms: number, deliver: () => void) {
  for (let passedMs = 0; passedMs < ms; passedMs += 200) {
    deliver();
    await vi.advanceTimersByTimeAsync(200);
  }
}

test("a peer's newer configuration is fetched if the own watch is silent", async () => {
  const { stores: [ownStore, peerStore], own, deliverDigest } =
    await startPair();
  ownStore.areWatchesDeaf = true;
  writeConfiguration(peerStore, 2);
  await deliverDigestsFor(1000, deliverDigest);
  expect(own.version).toBe(2);
});

// The own watch had gone on past the peer's revision, so that the peer did not
// count as ahead and its list was refused.
test("a peer's newer configuration is fetched although the own watch skipped it", async () => {
  const { stores: [ownStore, peerStore], own, deliverDigest } =
    await startPair();
  for (let i = 0; i < 5; i += 1) ownStore.write("members", `m${i}`, {});
  ownStore.areWatchesDeaf = true;
  ownStore.skipsMissedChanges = true;
  own.view.reconnect();
  await vi.advanceTimersByTimeAsync(30_000);
  expect(own.view.follower("configuration").revision).toBe(ownStore.revision);
  writeConfiguration(peerStore, 2);
  await deliverDigestsFor(1000, deliverDigest);
  expect(peerStore.revision).toBeLessThan(ownStore.revision);
  expect(own.version).toBe(2);
});

test("a peer that is behind changes nothing", async () => {
  const { stores: [ownStore, peerStore], own, peer, deliverDigest } =
    await startPair();
  peerStore.areWatchesDeaf = true;
  peerStore.readMode = "silent";
  writeConfiguration(ownStore, 2);
  await deliverDigestsFor(1000, deliverDigest);
  expect(peer.version).toBe(1);
  expect(own.version).toBe(2);
  expect(peer.answered).toBe(0);
});

test("what peers report of crashes holds a part here", async () => {
  const { quarantine, deliverDigest } = await startPair();
  const report = { ageMs: 20, suspects: [["first", "bad"]] };
  deliverDigest({ crashes: { "e1@1": report }, answers: { first: [4, 9] } });
  expect(quarantine.beliefOn("bad").isHeld).toBe(false);
  deliverDigest({ crashes: { "e2@1": report } });
  expect(quarantine.beliefOn("bad").isHeld).toBe(true);
});
