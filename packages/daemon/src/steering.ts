/** Which addresses callers should use.
 *
 * @module
 */
import { type Member, rankByRendezvous, type Workspace } from "@banyanlb/core";
import type { FleetView } from "@banyanlb/fleet";
import { admitModel, type Caller, identifyCaller } from "./admission.ts";
import type { Call } from "./caller_server.ts";
import { sendJson } from "./http_reply.ts";
import {
  filterUsableTargets,
  requireSnapshot,
  type ServeContext,
} from "./serve_context.ts";

/** One address with its weight. */
export interface SteeringAddress {
  readonly url: string;
  /** Share of the caller's connections relative to the others. */
  readonly weight: number;
  readonly region: string;
  readonly failure_domain: string;
}

/** The answer to a caller that asks where to connect. */
export interface SteeringResponse {
  readonly addresses: readonly SteeringAddress[];
  /** Time for which the answer may be kept, in milliseconds. */
  readonly keep_ms: number;
}

/** Sum of the weights of the caller's region. */
const LOCAL_REGION_WEIGHT = 1_000;

/** Weight of each address in another region: for when its own is lost. */
const REMOTE_ADDRESS_WEIGHT = 10;

/** Weight of a model's owner relative to all other addresses together. */
const OWNER_WEIGHT_FACTOR = 3;

/** Addresses of another region in an answer. */
const REMOTE_ADDRESS_COUNT = 2;

/** Addresses in an answer for a workspace that needs few instances. */
const ADDRESS_COUNT_MIN = 8;

/** Most of a workspace's traffic that is steered to the holders of its rate,
 * so that their loss leaves connections elsewhere. */
const HOLDER_FRACTION_MAX = 0.8;

/** Tokens a second that one instance relays at the planned peak. */
const INSTANCE_TOKENS_PER_S = 1_430;

/** What is known of the caller. */
export interface SteeringOptions {
  readonly workspace: Workspace | undefined;
  readonly region: string | undefined;
  /** Session of the owner of the target that the caller will use, if known. */
  readonly owner?: string | undefined;
  /** True for instances that the platform shows as leaving. */
  readonly isLeaving: (instance: string) => boolean;
}

/** Instances that a workspace's traffic is spread over, by its rate. */
function countAddresses(workspace: Workspace | undefined): number {
  const rate = workspace?.rate_tokens_per_s ?? 0;
  return Math.max(ADDRESS_COUNT_MIN, Math.ceil(rate / INSTANCE_TOKENS_PER_S));
}

/** Picks the same few members for the same workspace on every instance. */
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

/** Fraction of a workspace's traffic for the holders of its rate: an entry
 * that keeps a share spends it without a message, but must be able to relay
 * what it attracts. */
function computeHolderFraction(
  workspace: Workspace | undefined,
  holders: number,
): number {
  if (workspace === undefined || holders === 0) return 0;
  const capacity_ratio = holders * INSTANCE_TOKENS_PER_S /
    workspace.rate_tokens_per_s;
  return Math.min(HOLDER_FRACTION_MAX, capacity_ratio);
}

/** Chooses and weighs the live members for a caller.
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

/** Puts the owner of the model's target first: its permits cost no message. */
function preferOwner(
  list: readonly SteeringAddress[],
  owner: Member,
): readonly SteeringAddress[] {
  const others = list.filter((address) => address.url !== owner.caller_url);
  const weight = others.reduce((sum, address) => sum + address.weight, 0);
  return [createAddressMapper(weight * OWNER_WEIGHT_FACTOR)(owner), ...others];
}

/** Session of the owner of the target where a model is loaded first. */
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

/** Answers `GET /v1/steering?region=R&model=M`, with or without a key. A caller
 * that names a model it uses often is steered to where its permits are local.
 */
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
    isLeaving: (instance) => ctx.listed.isLeaving(instance),
  });
  const response: SteeringResponse = {
    addresses,
    keep_ms: ctx.settings.steering_keep_ms,
  };
  sendJson(call.res, 200, { body: response });
  return Promise.resolve();
}
