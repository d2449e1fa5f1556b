/** The router of everything that peers and operators call on an instance.
 *
 * @module
 */
import type { OwnerTable, PermitLedger } from "@banyanlb/permits";
import type { ConfigFollower } from "@banyanlb/published";
import type { RateShares } from "@banyanlb/rate";
import type { SuccessorWatch } from "@banyanlb/lease";
import { createOperatorRouter, type OperatorBackend } from "./operator/mod.ts";
import type { ListedStates } from "./listed_states.ts";
import { createPeerRouter, type PeerPorts } from "./peer_router.ts";
import type { SlotCoordinator } from "./slot_coordinator.ts";
import { createRouter } from "./trpc.ts";

/** The parts that peers call. */
export interface CalledParts {
  readonly watch: SuccessorWatch;
  readonly shares: RateShares;
  readonly owners: OwnerTable;
  readonly ledger: PermitLedger;
  readonly coordinator: SlotCoordinator;
  readonly listed: ListedStates;
  readonly follower: ConfigFollower;
}

function createPeerPorts(parts: CalledParts): PeerPorts {
  const { watch, shares, owners, ledger, coordinator, follower, listed } =
    parts;
  return {
    promise: (ask) => watch.handlePromiseRequest(ask),
    reserve: (ask) => shares.reserve(ask),
    settle: (batch) => shares.settle(batch),
    acquire: (ask) => owners.acquire(ask),
    release: (batch) => owners.release(batch.session, batch.releases),
    report: (ask) => ledger.report(ask),
    takeLeaving: (names) => listed.takeTold(names),
    takeHandoff: (handoff) => coordinator.takeHandoff(handoff),
    evidence: () => follower.evidence(),
    fetch: (req) => follower.answer(req),
  };
}

/** Builds the whole router of an instance. */
export function createInstanceRouter(
  parts: CalledParts,
  backend: OperatorBackend,
) {
  return createRouter({
    p: createPeerRouter(createPeerPorts(parts)),
    operator: createOperatorRouter(backend),
  });
}

/** The type that clients of an instance are built on. */
export type InstanceRouter = ReturnType<typeof createInstanceRouter>;
