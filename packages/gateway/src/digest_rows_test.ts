import { type Digest, DIGEST_TICK_MS, MemberTable } from "@banyanlb/serving";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { DigestExchange } from "./digest_exchange.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { PeerMessage } from "./peer_messages.ts";
import { digestOptions } from "./testing/digest_options.ts";
import { FakeInstance } from "./testing/fake_instance.ts";
import { FakeRecordStore } from "./testing/fake_record_store.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

// Guards against rows that count as sent though no connection took them: the
// peer, whose own connection works, lacks them until all rows are repeated.
test("rows that could not be sent are in the next digest", async () => {
  const store = new FakeRecordStore();
  const own = new FakeInstance("i0", store);
  const peer = new FakeInstance("i1", store);
  const members = new MemberTable("i0", performance.now());
  members.add(peer.member);
  const sent: Digest[] = [];
  let isConnected = false;
  const links = {
    connect: () => isConnected ? 1 : undefined,
    closeIdle: () => undefined,
    confirmDelivery: () => undefined,
    send: (_: string, message: PeerMessage) => {
      if (message.t === "digest2") sent.push(message);
      return isConnected;
    },
  } as unknown as PeerLinks;
  const options = digestOptions({
    self: own.member,
    members,
    reachesStore: () => own.view.reachesStore,
    records: own.records,
    links,
  });
  const { rates } = options;
  const exchange = new DigestExchange(options);
  rates.setWorkspaces([{
    name: "w",
    keys: [],
    priority: undefined,
    countsTokens: true,
    defaultTokens: 10,
    ratePerSecond: 1000,
    burst: 2000,
  }], 60_000);
  for (let seq = 1; seq <= 4; seq += 1) {
    isConnected = seq > 2;
    exchange.send();
    await vi.advanceTimersByTimeAsync(DIGEST_TICK_MS);
  }
  const rooms = sent[0]?.rows?.filter(([, kind]) => kind === "rooms");
  expect(rooms?.map(([, , name, , , value]) => [name, value]))
    .toEqual([["w", 5000]]);
  own.close();
  peer.close();
  store.close();
});
