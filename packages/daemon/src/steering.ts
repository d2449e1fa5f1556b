/** Steering: selects the instance addresses that a caller should connect to.
 *
 * @module
 */
import { type Member, rankByRendezvous, type Workspace } from "@banyanlb/core";
import type { FleetView } from "@banyanlb/fleet";
import { admitModel, type Caller, identifyCaller } from "./admission.ts";
import type { Call } from "./caller_server.ts";
import { sendJson } from "./http_response.ts";
import {
  filterUsableTargets,
  requireSnapshot,
  type ServeContext,
} from "./serve_context.ts";

/** Address of one instance, with its weight. */
export interface SteeringAddress {
  readonly url: string;
  /** Share of the caller's connections, relative to the weights of the other
   * addresses. */
  readonly weight: number;
  readonly region: string;
  readonly failure_domain: string;
}

/** Body of the response to a steering request. */
export interface SteeringResponse {
  readonly addresses: readonly SteeringAddress[];
  /** Time for which the caller may reuse the response, in milliseconds. */
  readonly keep_ms: number;
}

/** Sum of the weights of the addresses in the caller's region. */
const LOCAL_REGION_WEIGHT = 1_000;

/** Weight of each address in another region, the fallback if the caller's region
 * fails. */
const REMOTE_ADDRESS_WEIGHT = 10;

/** Weight of the owner of a model's target, relative to the sum of the weights of
 * all other addresses. */
const OWNER_WEIGHT_FACTOR = 3;

/** Count of addresses of other regions in a response. */
const REMOTE_ADDRESS_COUNT = 2;

/** Minimum number of instances that a workspace's traffic is spread over, if the
 * region has as many. */
const ADDRESS_COUNT_MIN = 8;

/** Maximum fraction of a workspace's traffic that is steered to the holders of
 * its rate shares, so that the caller keeps connections to other instances if
 * the holders fail. */
const HOLDER_FRACTION_MAX = 0.8;

/** Tokens a second that one instance is planned to relay at peak load. */
const INSTANCE_TOKENS_PER_S = 1_430;

/** Properties of the caller for {@linkcode steer}. */
export interface SteeringOptions {
  readonly workspace: Workspace | undefined;
  readonly region: string | undefined;
  /** Session id of the owner of the target that the caller's model is served by,
   * if known. */
  readonly owner?: string | undefined;
  /** Returns true for an instance that is leaving according to the platform's
   * instance list. */
  readonly isLeaving: (instance: string) => boolean;
}

/** Returns the count of instances that a workspace's traffic is spread over. It
 * grows with the rate of the workspace. */
function countAddresses(workspace: Workspace | undefined): number {
  const rate = workspace?.rate_tokens_per_s ?? 0;
  return Math.max(ADDRESS_COUNT_MIN, Math.ceil(rate / INSTANCE_TOKENS_PER_S));
}

/** Selects `count` members by rendezvous hashing, so that every instance selects
 * the same members for a key. */
function selectMembers(
  members: readonly Member[],
  options: { readonly key: string; readonly count: number },
): readonly Member[] {
  const { key, count } = options;
  return rankByRendezvous(members, { key, name: (member) => member.id })
    .slice(0, Math.max(0, count));
}

function createAddressMapper(
  weight: number,
): (member: Member) => SteeringAddress {
  return (member) => ({
    url: member.caller_url,
    weight: Math.max(1, Math.round(weight)),
    region: member.region,
    failure_domain: member.failure_domain,
  });
}

/** Returns the fraction of a workspace's traffic to be steered to the holders of
 * its rate shares. A holder reserves tokens without a message to a peer, but the
 * fraction must not exceed the traffic that the holders can relay. */
function computeHolderFraction(
  workspace: Workspace | undefined,
  holders: number,
): number {
  if (workspace === undefined || holders === 0) return 0;
  const capacity_ratio = holders * INSTANCE_TOKENS_PER_S /
    workspace.rate_tokens_per_s;
  return Math.min(HOLDER_FRACTION_MAX, capacity_ratio);
}

/** Selects live members for a caller and assigns their weights.
 *
 * @example
 * ```ts
 * steer(view, { workspace, region: "north", isLeaving: () => false });
 * ```
 */
export function steer(
  view: FleetView,
  options: SteeringOptions,
): readonly SteeringAddress[] {
  const { region, workspace } = options;
  const live = view.liveMembers()
    .filter((member) => !options.isLeaving(member.instance));
  const in_region = live.filter((member) => member.region === region);
  const local = in_region.length === 0 ? live : in_region;
  const key = workspace?.name ?? "";
  const slots = workspace === undefined ? [] : view.shareSlots(key);
  const ids = new Set(slots.map((slot) => view.holder(slot)?.id));
  const holders = local.filter((member) => ids.has(member.id));
  const others = selectMembers(local.filter((m) => !ids.has(m.id)), {
    key,
    count: countAddresses(workspace) - holders.length,
  });
  const remote = selectMembers(
    live.filter((member) => !local.includes(member)),
    {
      key,
      count: REMOTE_ADDRESS_COUNT,
    },
  );
  const fraction = others.length === 0
    ? 1
    : computeHolderFraction(workspace, holders.length);
  const holder_weight = LOCAL_REGION_WEIGHT * fraction / holders.length;
  const other_weight = LOCAL_REGION_WEIGHT * (1 - fraction) / others.length;
  const list = [
    ...holders.map(createAddressMapper(holder_weight)),
    ...others.map(createAddressMapper(other_weight)),
    ...remote.map(createAddressMapper(REMOTE_ADDRESS_WEIGHT)),
  ];
  const owner = local.find((member) => member.id === options.owner);
  return owner === undefined ? list : preferOwner(list, owner);
}

/** Puts the owner of the model's target first, with the largest weight: it grants
 * permits without a message to a peer. */
function preferOwner(
  list: readonly SteeringAddress[],
  owner: Member,
): readonly SteeringAddress[] {
  const others = list.filter((address) => address.url !== owner.caller_url);
  const weight = others.reduce((sum, address) => sum + address.weight, 0);
  return [createAddressMapper(weight * OWNER_WEIGHT_FACTOR)(owner), ...others];
}

/** Returns the session id of the owner of the target that ranks first for a
 * version by rendezvous hashing, where its adapter is loaded first. */
function findModelOwner(
  ctx: ServeContext,
  options: { readonly caller: Caller; readonly name: string },
): string | undefined {
  const snapshot = requireSnapshot(ctx);
  const { adapter, version } = admitModel(snapshot, options);
  const [first_target] = rankByRendezvous(
    filterUsableTargets(ctx, snapshot.targetsOfModel(adapter.model)),
    { key: version.name, name: (target) => target.name },
  );
  const view = ctx.fleet();
  const slot = first_target === undefined
    ? undefined
    : view?.slotOfTarget(first_target);
  return slot === undefined ? undefined : view?.holder(slot)?.id;
}

/** Handles `GET /v1/steering?region=R&model=M`, with or without a key. A caller
 * that names the model it uses most is steered to the owner of that model's
 * target. */
export function serveSteering(ctx: ServeContext, call: Call): Promise<void> {
  const url = new URL(call.req.url ?? "/", "http://localhost");
  const snapshot = ctx.snapshot();
  const caller = snapshot === undefined
    ? undefined
    : identifyCaller(requireSnapshot(ctx), call.req);
  const view = ctx.fleet();
  const model = url.searchParams.get("model");
  const owner = caller === undefined || model === null
    ? undefined
    : findModelOwner(ctx, { caller, name: model });
  const addresses = view === undefined ? [] : steer(view, {
    workspace: caller?.workspace,
    owner,
    region: url.searchParams.get("region") ?? undefined,
    isLeaving: (instance) => ctx.list_watch.isLeaving(instance),
  });
  const response: SteeringResponse = {
    addresses,
    keep_ms: ctx.settings.steering_keep_ms,
  };
  sendJson(call.res, 200, { body: response });
  return Promise.resolve();
}
