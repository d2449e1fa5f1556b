import { MemberTable } from "@banyanlb/serving";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { DIGEST_TICK_MS, DigestExchange } from "./digest_exchange.ts";
import type { PeerLinks } from "./peer_links.ts";
import type { Digest, PeerMessage } from "./peer_messages.ts";
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
    confirmDelivery: () => undefined,
    send: (_: string, message: PeerMessage) => {
      if (isConnected && message.t === "digest") sent.push(message);
      return isConnected;
    },
  } as unknown as PeerLinks;
  const options = digestOptions({
    self: own.member,
    members,
    storeView: own.view,
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
    exchange.receive("i1", {
      t: "digest",
      seq,
      ack: 0,
      ready: true,
      tenure: undefined,
      revs: [],
      up: 10_000,
    });
    exchange.send();
    await vi.advanceTimersByTimeAsync(DIGEST_TICK_MS);
  }
  expect(sent[0]?.rooms).toEqual({ w: 5000 });
  own.close();
  peer.close();
  store.close();
});
