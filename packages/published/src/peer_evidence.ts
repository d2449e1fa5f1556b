/** Evidence about the store, requested from other instances.
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

/** Maximum number of peers in a sample besides the attesters. They may relay a
 * contact with the store. */
const MAX_SAMPLED_RELAYS = 2;

/** Location of the requesting instance and its view of the fleet. */
export interface RequestingInstance {
  readonly self: string;
  readonly region: string;
  readonly store_region: string;
  readonly members: () => readonly Member[];
}

/** The peers that receive an evidence request. */
export interface PeerSample {
  readonly all: readonly Member[];
  /** Ids of the peers whose replies count as evidence of an outage. */
  readonly attester_ids: ReadonlySet<string>;
  readonly timeout_ms: number;
}

/** Summary of the replies. */
export interface PeerEvidence {
  /** Age of the most recent contact with the store among the replies, direct or
   * relayed, in milliseconds. */
  readonly contact_age_ms: number | undefined;
  /** Whether that contact is recent enough to count the store as reached. */
  readonly is_reached: boolean;
  /** Number of attesters that replied. */
  readonly attesters: number;
  /** The highest generation among the replies and the peer that reported it. */
  readonly highest:
    | { readonly member: string; readonly generation: number }
    | undefined;
}

/** Identifies a round of evidence requests. */
export interface EvidenceRound {
  /** Round number. The same number selects the same sample. */
  readonly round: number;
  /** Whether the round renews the evidence of an outage. In a large fleet a
   * renewal goes to fewer peers. */
  readonly is_renewal: boolean;
}

/** Selects the peers for a round: all of the store's region if they are few,
 * else a sample of them spread over failure domains, plus a few others that
 * may relay a contact. An instance without peers in the store's region, which
 * is its own, samples all peers. */
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

/** Requests evidence from all peers of the sample in parallel and summarizes
 * the replies. */
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
