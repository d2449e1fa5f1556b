/** The trpc router for all calls from peers and operators to an instance.
 *
 * @module
 */
import type { OwnerTable, PermitLedger } from "@banyanlb/permits";
import type { ConfigFollower } from "@banyanlb/published";
import type { RateShares } from "@banyanlb/rate";
import type { SuccessorWatch } from "@banyanlb/lease";
import { createOperatorRouter, type OperatorBackend } from "./operator/mod.ts";
import type { InstanceListWatch } from "./instance_list_watch.ts";
import { createPeerRouter, type PeerHandlers } from "./peer_router.ts";
import type { SlotCoordinator } from "./slot_coordinator.ts";
import { createRouter } from "./trpc.ts";

/** Parts of an instance that handle calls from peers. */
export interface PeerHandlerParts {
  readonly watch: SuccessorWatch;
  readonly shares: RateShares;
  readonly owners: OwnerTable;
  readonly ledger: PermitLedger;
  readonly coordinator: SlotCoordinator;
  readonly list_watch: InstanceListWatch;
  readonly follower: ConfigFollower;
}

function createPeerHandlers(parts: PeerHandlerParts): PeerHandlers {
  const { watch, shares, owners, ledger, coordinator, follower, list_watch } =
    parts;
  return {
    promise: (request) => watch.handlePromiseRequest(request),
    reserve: (request) => shares.reserve(request),
    settle: (batch) => shares.settle(batch),
    acquire: (request) => owners.acquire(request),
    release: (batch) => owners.release(batch.session, batch.releases),
    report: (request) => ledger.report(request),
    addLeavingNames: (names) => list_watch.addReportedLeaving(names),
    receiveHandoff: (handoff) => coordinator.receiveHandoff(handoff),
    evidence: () => follower.evidence(),
    fetch: (request) => follower.answer(request),
  };
}

/** Creates the router of an instance. Peer calls are under `p`, operator calls
 * under `operator`. */
export function createInstanceRouter(
  parts: PeerHandlerParts,
  backend: OperatorBackend,
) {
  return createRouter({
    p: createPeerRouter(createPeerHandlers(parts)),
    operator: createOperatorRouter(backend),
  });
}

/** Router type from which typed clients of an instance are created. */
export type InstanceRouter = ReturnType<typeof createInstanceRouter>;
