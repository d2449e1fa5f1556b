/** Example of ownership: two members share the slots, and the owner of a target
 * grants a permit for one request.
 *
 * @module
 */
import {
  EngineClient,
  type EngineError,
  type EngineReport,
  type Member,
  type Target,
  type Version,
} from "@banyanlb/core";
import { FleetKeeper, type FleetView, planMoves } from "@banyanlb/fleet";
import {
  type HeldPermit,
  LoadBudget,
  OwnerTable,
  type PeerError,
  PermitLedger,
  PermitPeers,
  ReleaseSender,
} from "@banyanlb/permits";
import { FairQueue } from "@banyanlb/policy";
import { okAsync, type ResultAsync } from "neverthrow";
import { type ExampleContext, orThrow } from "./example_context.ts";

const TARGET: Target = {
  kind: "target",
  name: "engine-1",
  type: "engine",
  url: "http://127.0.0.1:9000",
  pool: "engines",
  model: "base",
  region: "north",
  failure_domain: "north-a",
};
const VERSION: Version = {
  kind: "version",
  name: "drafts@1",
  adapter: "drafts",
  weights: "drafts/1",
};
const DEADLINE_MS = 10_000;
const TOKENS = 300;

/** An engine that loads adapters immediately and reports its loaded
 * versions. */
class MemoryEngine extends EngineClient {
  readonly #loaded = new Set<string>();

  override load(_: Target, version: Version): ResultAsync<void, EngineError> {
    this.#loaded.add(version.name);
    return okAsync(undefined);
  }

  override evict(_: Target, name: string): ResultAsync<void, EngineError> {
    this.#loaded.delete(name);
    return okAsync(undefined);
  }

  override report(): ResultAsync<EngineReport, EngineError> {
    const loaded = [...this.#loaded];
    const idle = { running: {}, waiting: 0, age_ms: 0, boot_id: "1" };
    return okAsync({ loaded, ...idle });
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

/** A load budget that grants every load. */
class UnlimitedLoadBudget extends LoadBudget {
  override acquire() {
    return Promise.resolve({ granted: true, retry_after_ms: 0 });
  }

  override refund() {}
}

/** Permit peers without any other entry instance that holds permits. */
class NoPermitPeers extends PermitPeers {
  override report(): ResultAsync<readonly HeldPermit[], PeerError> {
    return okAsync([]);
  }
}

function createMember(instance: string): Member {
  return {
    id: `${instance}.1`,
    instance,
    peer_url: `ws://${instance}:7001`,
    caller_url: `http://${instance}:7000`,
    region: "north",
    failure_domain: `north-${instance}`,
    state: "live",
  };
}

async function joinFleet(context: ExampleContext, instance: string) {
  const keeper = new FleetKeeper(context, {
    self: createMember(instance),
    regions: ["north"],
    slots_per_region: 8,
  });
  orThrow(await keeper.join());
  return keeper;
}

function viewOf(keeper: FleetKeeper): FleetView {
  const view = keeper.view();
  if (view === undefined) throw new Error("join the fleet first");
  return view;
}

/** Lets two members share the slots, then uses a permit of a target's owner. */
export async function showOwnership(
  context: ExampleContext,
): Promise<void> {
  const { print } = context;
  const a = await joinFleet(context, "a");
  const b = await joinFleet(context, "b");
  // The first member holds every slot and hands half of them over.
  const moves = planMoves(viewOf(b), "a.1");
  orThrow(await a.moveSlots(moves));
  const view = viewOf(a);
  const counts = ["a.1", "b.1"].map((id) => view.slotsHeldBy(id).length);
  print(`ownership: slots of a and b: ${counts.join(", ")}`);

  const slot = view.slotOfTarget(TARGET) ?? 0;
  print(`ownership: ${TARGET.name} is owned by ${view.holder(slot)?.id}`);
  const owners = createOwners(context);
  owners.hold({
    target: TARGET,
    epoch: view.epoch(slot) ?? 0,
    versions: () => VERSION,
    known_members: view.members.map((member) => member.id),
  });
  await usePermit(context, owners);
  await owners.close();
  await a.close();
  await b.close();
}

function createOwners(context: ExampleContext): OwnerTable {
  return new OwnerTable({
    ...context,
    engine: new MemoryEngine(),
    lease: { remaining: () => Infinity },
    load_budget: new UnlimitedLoadBudget(),
    peers: new NoPermitPeers(),
    createQueue: () => new FairQueue(),
  });
}

/** Acquires a permit from the owner, uses it for a request and releases it. */
async function usePermit(
  context: ExampleContext,
  owners: OwnerTable,
): Promise<void> {
  const session = "b.1";
  class InProcessSender extends ReleaseSender {
    override send(_: string, releases: Parameters<ReleaseSender["send"]>[1]) {
      return okAsync(owners.release(session, releases));
    }
  }
  const sender = new InProcessSender();
  const ledger = new PermitLedger({ ...context, session, sender });
  const request = ledger.open({
    target: TARGET.name,
    version: VERSION.name,
    workspace: "acme",
    class: "interactive",
    tokens: TOKENS,
    deadline_ms: DEADLINE_MS,
  });
  const permit = ledger.accept(request.id, await owners.acquire(request));
  if (permit === undefined) throw new Error("no permit; run it again");
  const { usable } = ledger.use(permit.id);
  context.print(
    `ownership: permit for ${permit.version} at ${permit.target}, ` +
      `usable: ${usable}`,
  );
  // The request is sent here, in the same event-loop turn as the check.
  ledger.release(permit.id, "done");
  await ledger.close();
}
