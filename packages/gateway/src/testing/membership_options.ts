import { EventLog } from "@banyanlb/core";
import {
  EngineTable,
  type Member,
  type MemberTable,
  SystemClocks,
} from "@banyanlb/serving";
import { memberOf } from "@banyanlb/serving/testing";
import pino from "pino";
import type { MembershipOptions } from "../membership.ts";

/** A member whose addresses are a port of 127.0.0.1. */
export function memberOnPort(name: string, port: number): Member {
  const address = `127.0.0.1:${port}`;
  return memberOf(name, { peerAddress: address, callerAddress: address });
}

/** Options of a membership in which nothing else happens: no engines, no use of
 * limits. Tests override what matters to them. */
export function membershipOptions(
  self: Member,
  members: MemberTable,
): MembershipOptions {
  return {
    self,
    members,
    engineTable: new EngineTable(),
    clocks: new SystemClocks(),
    log: new EventLog(pino({ level: "silent" })),
    orderGapMs: 1000,
    changeKnownMs: 2500,
    isStoreReader: () => true,
    rates: {
      useAt: () => ({}),
      isNearlyUsed: () => false,
      adoptFormerUse: () => undefined,
    },
    onAssignmentRecords: () => undefined,
    onAssignmentChange: () => undefined,
    onStoreFailure: () => undefined,
    ownPath: { mayOrder: true, mayTakeOver: true },
    acceptsOrders: () => true,
  };
}
