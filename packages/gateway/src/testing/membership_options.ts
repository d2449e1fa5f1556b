import { EventLog } from "@banyanlb/core";
import {
  EngineTable,
  type Member,
  type MemberTable,
  SystemClocks,
} from "@banyanlb/serving";
import pino from "pino";
import type { MembershipOptions } from "../membership.ts";

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
    onAssignmentChange: () => undefined,
    onStoreFailure: () => undefined,
    acceptsOrders: () => true,
  };
}
