import { EventLog } from "@banyanlb/core";
import { MemberTable } from "@banyanlb/serving";
import { memberOf } from "@banyanlb/serving/testing";
import { pino } from "pino";
import { expect, test } from "vitest";
import { GatewayMetrics } from "./metrics.ts";
import { TrafficLog } from "./traffic_log.ts";

const SUM_EVENT = 873;

function createTrafficLog() {
  const lines: Record<string, unknown>[] = [];
  const log = new EventLog(pino({}, {
    write: (line: string) => void lines.push(JSON.parse(line)),
  }));
  const self = memberOf("self", { region: "near" });
  const members = new MemberTable(self.name, 0);
  members.setMembers([
    self,
    memberOf("neighbour", { region: "near", peerAddress: "10.0.0.1:1" }),
    memberOf("distant", { region: "far", peerAddress: "10.0.0.2:1" }),
  ], 0);
  const metrics = new GatewayMetrics();
  const trafficLog = new TrafficLog({ self, members, log, metrics });
  trafficLog.tick(0);
  const sums = () => lines.filter(({ event }) => event === SUM_EVENT);
  return { trafficLog, sums };
}

function transferOf(bytes: number) {
  return {
    kind: "engines",
    call: "watch",
    bytes,
    ms: 1,
    bodyMs: 1,
    isComplete: true,
  } as const;
}

test("bytes of other regions are summed for each second, by type", () => {
  const { trafficLog, sums } = createTrafficLog();
  trafficLog.recordPeerMessage("digest2", 9000, "distant");
  trafficLog.recordPeerMessage("digest2", 500, "distant");
  trafficLog.recordPeerMessage("digest2", 70_000, "neighbour");
  // Replies are known by the address that was dialled.
  trafficLog.recordPeerMessage("pulled", 300, "10.0.0.2:1");
  trafficLog.recordPeerMessage("pulled", 70_000, "10.0.0.1:1");
  trafficLog.recordPeerMessage("hello", 40, "");
  trafficLog.recordStoreTransfer(transferOf(200));
  trafficLog.recordStoreTransfer(transferOf(100));
  trafficLog.tick(999);
  expect(sums()).toHaveLength(0);
  trafficLog.tick(1000);
  expect(sums()).toHaveLength(1);
  expect(sums()[0]).toMatchObject({
    peers: { "digest2 far": 9500, "pulled far": 300, "hello unknown": 40 },
    store: { "engines watch": 300 },
  });
});

test("a second counts by itself, and a quiet one is not logged", () => {
  const { trafficLog, sums } = createTrafficLog();
  trafficLog.recordPeerMessage("digest2", 8191, "distant");
  trafficLog.recordPeerMessage("digest2", 70_000, "neighbour");
  trafficLog.tick(1000);
  expect(sums()).toHaveLength(0);
  trafficLog.recordPeerMessage("digest2", 8192, "distant");
  trafficLog.tick(2000);
  expect(sums()).toMatchObject([{ peers: { "digest2 far": 8192 }, store: {} }]);
  trafficLog.tick(3000);
  expect(sums()).toHaveLength(1);
});
