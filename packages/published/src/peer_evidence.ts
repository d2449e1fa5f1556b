/** Evidence about the store from other instances.
 *
 * @module
 */
import { type Member, rankByRendezvous } from "@banyanlb/core";
import {
  EVIDENCE_TIMEOUT_MS,
  MAX_SAMPLED_PEERS,
  RENEWAL_PEERS_ELSEWHERE,
  RENEWAL_PEERS_IN_STORE_REGION,
  RENEWAL_TIMEOUT_MS,
  SMALL_FLEET_MEMBERS,
} from "./constants.ts";
import type { FreshnessTimes } from "./freshness_times.ts";
import type { ConfigPeers } from "./peers.ts";

/** Peers outside the store's region that are asked for a relay as well. */
const MAX_SAMPLED_RELAYS = 2;

/** Where the asking instance stands. */
export interface RequestingInstance {
  readonly self: string;
  readonly region: string;
  readonly store_region: string;
  readonly members: () => readonly Member[];
}

/** The peers to ask. */
export interface PeerSample {
  readonly all: readonly Member[];
  /** Ids of those whose word counts on an outage. */
  readonly attester_ids: ReadonlySet<string>;
  readonly timeout_ms: number;
}

/** What the answers say together. */
export interface PeerEvidence {
  /** Age of the freshest contact with the store that a peer has or heard of. */
  readonly contact_age_ms: number | undefined;
  /** Whether that contact is so fresh that the store counts as reached. */
  readonly is_reached: boolean;
  /** Attesters that answered. */
  readonly attesters: number;
  /** The peer with the highest generation. */
  readonly highest:
    | { readonly member: string; readonly generation: number }
    | undefined;
}

/** Which question it is. */
export interface EvidenceRound {
  /** The sample is the same for the same round. */
  readonly round: number;
  /** Whether it renews the word on an outage. Then fewer are asked. */
  readonly is_renewal: boolean;
}

/** Chooses peers: all of the store's region when few, else a sample spread
 * over failure domains. */
export function samplePeers(
  requester: RequestingInstance,
  round: EvidenceRound,
): PeerSample {
  const { self, region, store_region } = requester;
  const others = requester.members().filter((m) => m.id !== self);
  const in_store_region = others.filter((m) => m.region === store_region);
  const is_alone_in_region = in_store_region.length === 0 &&
    region === store_region;
  const is_small_sample = round.is_renewal &&
    others.length >= SMALL_FLEET_MEMBERS;
  const renewal_count = region === store_region
    ? RENEWAL_PEERS_IN_STORE_REGION
    : RENEWAL_PEERS_ELSEWHERE;
  const key = `${self}/${round.round}`;
  const attesters = sampleAcrossDomains(
    is_alone_in_region ? others : in_store_region,
    {
      key,
      count: is_small_sample ? renewal_count : MAX_SAMPLED_PEERS,
    },
  );
  const attester_ids = new Set(attesters.map((m) => m.id));
  const relays = sampleAcrossDomains(
    others.filter((m) => !attester_ids.has(m.id)),
    {
      key,
      count: is_small_sample ? 0 : MAX_SAMPLED_RELAYS,
    },
  );
  return {
    all: [...attesters, ...relays],
    attester_ids,
    timeout_ms: is_small_sample ? RENEWAL_TIMEOUT_MS : EVIDENCE_TIMEOUT_MS,
  };
}

function sampleAcrossDomains(
  members: readonly Member[],
  options: { readonly key: string; readonly count: number },
): readonly Member[] {
  if (members.length <= options.count) return members;
  const ranked = rankByRendezvous(members, {
    key: options.key,
    name: (m) => m.id,
  });
  const domain_counts = new Map<string, number>();
  const rows = ranked.map((member) => {
    const rank_in_domain = domain_counts.get(member.failure_domain) ?? 0;
    domain_counts.set(member.failure_domain, rank_in_domain + 1);
    return { member, rank_in_domain };
  });
  rows.sort((a, b) => a.rank_in_domain - b.rank_in_domain);
  return rows.slice(0, options.count).map((row) => row.member);
}

/** Asks the peers at the same time and sums up their answers. */
export async function requestEvidence(
  peers: ConfigPeers,
  sample: PeerSample,
  times: FreshnessTimes,
): Promise<PeerEvidence> {
  const replies = await Promise.all(sample.all.map(async (member) => ({
    id: member.id,
    reply: (await peers.evidence(member.id, sample.timeout_ms))
      .unwrapOr(undefined),
  })));
  let contact_age_ms: number | undefined;
  let attesters = 0;
  let highest: PeerEvidence["highest"];
  for (const { id, reply } of replies) {
    if (reply === undefined) continue;
    if (sample.attester_ids.has(id)) attesters++;
    if (reply.g > (highest?.generation ?? -1)) {
      highest = { member: id, generation: reply.g };
    }
    if (reply.a === undefined) continue;
    contact_age_ms = Math.min(contact_age_ms ?? Infinity, reply.a);
  }
  const is_reached = (contact_age_ms ?? Infinity) <= times.contact_lost_ms;
  return { contact_age_ms, is_reached, attesters, highest };
}
