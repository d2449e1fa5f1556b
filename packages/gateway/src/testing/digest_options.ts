import { EventLog } from "@banyanlb/core";
import {
  EngineLimits,
  EngineReach,
  EngineTable,
  PathDelays,
  Quarantine,
  SystemClocks,
  WarmUps,
} from "@banyanlb/serving";
import pino from "pino";
import type { AdapterLoader } from "../adapter_loader.ts";
import { AdapterUsageCounts } from "../adapter_usage.ts";
import type { DigestExchangeOptions } from "../digest_exchange.ts";
import type { Membership } from "../membership.ts";
import type { PeerLinks } from "../peer_links.ts";
import { WorkspaceRates } from "../workspace_rates.ts";

/** Options of a digest exchange in which digests report nothing but revisions
 * and what is left of shares. Tests override what matters to them. */
export function digestOptions(
  { self, members, records, reachesStore, links }:
    & Pick<
      DigestExchangeOptions,
      "self" | "members" | "records"
    >
    & Partial<Pick<DigestExchangeOptions, "reachesStore">>
    & { readonly links: PeerLinks },
): DigestExchangeOptions {
  return {
    self,
    members,
    membership: { ownerOf: () => undefined } as unknown as Membership,
    engineTable: new EngineTable(),
    loader: {
      recordOtherFetches: () => undefined,
      held: () => [],
      down: () => [],
      fetches: 0,
    } as unknown as AdapterLoader,
    records,
    rates: new WorkspaceRates({
      self,
      members,
      areMembersKnown: () => true,
      clocks: new SystemClocks(),
      windowMs: 8000,
      links: () => links,
    }),
    use: new AdapterUsageCounts(),
    reach: new EngineReach(),
    quarantine: new Quarantine(self.name, {
      onHold: () => undefined,
      onRelease: () => undefined,
      settleMs: () => 0,
    }),
    limits: new EngineLimits(self.name, () => ({
      names: [self.name],
      isCutOff: false,
    })),
    warmUps: new WarmUps({
      termsOf: () => undefined,
      onWarmUp: () => undefined,
    }),
    roles: { expectsRecordsBefore: () => true, isStoreReader: true },
    reachesStore: reachesStore ?? (() => true),
    pathDelays: new PathDelays(),
    clocks: new SystemClocks(),
    regionOf: () => undefined,
    otherRegions: () => [],
    links: () => links,
    state: () => ({ ready: true, leaving: false, serves: true, busy: 0 }),
    log: new EventLog(pino({ level: "silent" })),
  };
}
