/** Fetches the configuration from a peer, for an instance that starts or cannot
 * reach the store.
 *
 * @module
 */
import type { Change, Part } from "@banyanlb/core";
import { MAX_FETCH_ATTEMPTS } from "./constants.ts";
import type { FetchReply, FetchRequest } from "./generated/config_messages.ts";
import { applyAll, changesBetween } from "./manifest.ts";
import { toPart } from "./parts.ts";
import type { ConfigPeers } from "./peers.ts";
import { Snapshot } from "./snapshot.ts";
import { SnapshotBuilder } from "./snapshot_builder.ts";

/** A snapshot and the most recent changes that led to it. */
export interface SnapshotInForce {
  readonly snapshot: Snapshot;
  readonly recent: readonly Change[];
}

/** Builds the reply to a fetch request: the requested bucket, or the changes
 * after the requester's generation if all of them are retained. */
export function answerFetch(
  in_force: SnapshotInForce,
  request: FetchRequest,
): FetchReply {
  const { snapshot, recent } = in_force;
  const reply = { g: snapshot.generation, n: snapshot.bucketCount };
  if (request.b !== undefined) {
    const part = toPart(snapshot, request.b);
    return { ...reply, p: { ...part } };
  }
  const range = { from: request.f, to: snapshot.generation };
  const changes = changesBetween(recent, range);
  if (changes === undefined) return reply;
  return { ...reply, c: changes.map((change) => ({ ...change })) };
}

/** Fetches a peer's snapshot: only the missing changes if the peer retains all
 * of them, else every bucket. `undefined` if the peer does not reply or its
 * generation is not higher. */
export async function fetchSnapshot(
  peers: ConfigPeers,
  member: string,
  base: Snapshot | undefined,
): Promise<SnapshotInForce | undefined> {
  const from = base?.generation ?? -1;
  for (let i = 0; i < MAX_FETCH_ATTEMPTS; i++) {
    const head = (await peers.fetch(member, { f: from })).unwrapOr(undefined);
    if (head === undefined || head.g <= from) return undefined;
    const changes = head.c as readonly Change[] | undefined;
    if (changes !== undefined && base !== undefined) {
      const snapshot = applyAll(base, changes);
      if (snapshot.generation === head.g) return { snapshot, recent: changes };
    }
    const snapshot = await fetchAllBuckets(peers, member, head);
    if (snapshot !== undefined) return { snapshot, recent: [] };
  }
  return undefined;
}

async function fetchAllBuckets(
  peers: ConfigPeers,
  member: string,
  head: FetchReply,
): Promise<Snapshot | undefined> {
  const builder = new SnapshotBuilder(Snapshot.empty(head.n), head.g);
  for (let b = 0; b < head.n; b++) {
    const reply = (await peers.fetch(member, { f: -1, b })).unwrapOr(undefined);
    // Buckets of different generations do not form a consistent snapshot.
    if (reply?.p === undefined || reply.g !== head.g) return undefined;
    await builder.put(reply.p as unknown as Part);
  }
  return builder.snapshot;
}
