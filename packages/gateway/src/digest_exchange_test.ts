import {
  type Digest,
  encodeState,
  MemberTable,
  type RowField,
} from "@banyanlb/serving";
import { BUSY_STATE } from "@banyanlb/serving/testing";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { DigestExchange } from "./digest_exchange.ts";
import type { PeerLinks } from "./peer_links.ts";
import { SHARED_KINDS } from "./peer_messages.ts";
import { digestOptions } from "./testing/digest_options.ts";
import { FakeInstance } from "./testing/fake_instance.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";
import { writeConfiguration } from "./testing/write_records.ts";

/** Kind, name and value. */
type Row = readonly [RowField[1], string, unknown];

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
    reachesStore: () => own.view.reachesStore,
    records: own.records,
    links: {
      connect: () => undefined,
      closeIdle: () => undefined,
      confirmDelivery: () => undefined,
    } as unknown as PeerLinks,
  });
  const { quarantine, limits, rates, pathDelays } = options;
  const exchange = new DigestExchange(options);
  let seq = 0;
  let version = 0;
  const toRow = (
    [kind, name, value]: Row,
  ): RowField => [0, kind, name, ++version, 0, value];
  const deliverDigest = (rows: readonly Row[] = []) => {
    seq += 1;
    const revisions = peer.records.confirmedRows(performance.now())
      .map(([revision], i): Row => [
        "revisions",
        SHARED_KINDS[i] ?? "",
        revision,
      ]);
    const digest: Digest = {
      t: "digest2",
      inc: peer.member.incarnation,
      epoch: 1,
      seq,
      ack: [0, 0, 0],
      up: 10_000 + performance.now(),
      every: 200,
      group: peer.member.name,
      scope: "group",
      origins: [[
        0,
        seq === 1 ? peer.member : null,
        10_000,
        seq,
        encodeState(BUSY_STATE),
      ]],
      ages: "0",
      rows: [...revisions, ...rows].map(toRow),
    };
    exchange.receive(peer.member.name, digest);
  };
  await vi.advanceTimersByTimeAsync(1000);
  return {
    stores,
    own,
    peer,
    quarantine,
    limits,
    rates,
    pathDelays,
    deliverDigest,
    exchange,
  };
}

async function deliverDigestsFor(
  ms: number,
  { deliverDigest, exchange }: Awaited<ReturnType<typeof startPair>>,
) {
  for (let passedMs = 0; passedMs < ms; passedMs += 200) {
    deliverDigest();
    exchange.send();
    await vi.advanceTimersByTimeAsync(200);
  }
}

test("a peer's newer configuration is fetched if the own watch is silent", async () => {
  const pair = await startPair();
  const { stores: [ownStore, peerStore], own } = pair;
  ownStore.areWatchesDeaf = true;
  writeConfiguration(peerStore, 2);
  await deliverDigestsFor(1000, pair);
  expect(own.version).toBe(2);
});

// The own watch had gone on past the peer's revision, so that the peer did not
// count as ahead and its list was refused.
test("a peer's newer configuration is fetched although the own watch skipped it", async () => {
  const pair = await startPair();
  const { stores: [ownStore, peerStore], own } = pair;
  for (let i = 0; i < 5; i += 1) ownStore.write("members", `m${i}`, {});
  ownStore.areWatchesDeaf = true;
  ownStore.skipsMissedChanges = true;
  own.view.reconnect();
  await vi.advanceTimersByTimeAsync(30_000);
  expect(own.view.follower("configuration").revision).toBe(ownStore.revision);
  writeConfiguration(peerStore, 2);
  await deliverDigestsFor(1000, pair);
  expect(peerStore.revision).toBeLessThan(ownStore.revision);
  expect(own.version).toBe(2);
});

test("a peer that is behind changes nothing", async () => {
  const pair = await startPair();
  const { stores: [ownStore, peerStore], own, peer } = pair;
  peerStore.areWatchesDeaf = true;
  peerStore.readMode = "silent";
  writeConfiguration(ownStore, 2);
  await deliverDigestsFor(1000, pair);
  expect(peer.version).toBe(1);
  expect(own.version).toBe(2);
  expect(peer.answered).toBe(0);
});

test("what peers report of crashes holds a part here", async () => {
  const { quarantine, deliverDigest } = await startPair();
  const report = { ageMs: 20, suspects: [["first", "bad"]] };
  deliverDigest([["crashes", "e1@1", report], ["answers", "first", [4, 9]]]);
  expect(quarantine.beliefOn("bad").isHeld).toBe(false);
  deliverDigest([["crashes", "e2@1", report]]);
  expect(quarantine.beliefOn("bad").isHeld).toBe(true);
});

// A row with values of another kind made a limit, a delay or the evidence on a
// part into no number, which compares as nothing does.
test.each<Row>([
  ["limits", "e1@1", { limit: "many", ageMs: "old" }],
  ["limits", "e1@1", { limit: -1, ageMs: 0 }],
  ["limits", "e1@1", 7],
  ["rooms", "w", "much"],
  ["paths", "far", "slow"],
  ["paths", "far", -1],
  ["crashes", "e1@1", { ageMs: "old", suspects: [["bad"]] }],
  ["crashes", "e1@1", { ageMs: 0, suspects: [7] }],
  ["answers", "bad", ["a", "b"]],
  ["answers", "bad", [1]],
  ["holds", "bad", { isHeld: true }],
])("a malformed row %j of %j is left out, the others hold", async (...row) => {
  const { quarantine, limits, rates, pathDelays, deliverDigest } =
    await startPair();
  const report = { ageMs: 20, suspects: [["first", "bad"]] };
  deliverDigest([
    row as unknown as Row,
    ["crashes", "e2@1", report],
    ["crashes", "e3@1", report],
    ["answers", "first", [4, 9]],
  ]);
  const now = performance.now();
  expect(limits.roomOf("e1@1", now)).toBe("open");
  expect(pathDelays.to("far", now)).toBe(0);
  expect(rates.roomsOf("i1")).toEqual({});
  expect(quarantine.beliefOn("bad")).toEqual({
    crashes: 2,
    answers: 0,
    isHeld: true,
  });
});
