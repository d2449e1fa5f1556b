/** Confirms with peers that this instance knows the newest splits.
 *
 * @module
 */
import type { Member, MemberTable } from "@banyanlb/serving";
import type { PeerLinks } from "../peer_links.ts";
import type { SharedRecords } from "../shared_records.ts";

/** Timeout of a question to a peer, in milliseconds. */
const ASK_TIMEOUT_MS = 250;

/** Number of peers that are asked at most: in a large fleet any few of them know
 * what most know. */
const PEERS_ASKED_MAX = 16;

/** Share of the peers asked that must reply. */
const REPLY_SHARE = 0.5;

/** Parts of the gateway that the confirmation uses. */
export interface PeerConfirmationOptions {
  readonly members: Pick<MemberTable, "list">;
  readonly records: () => Pick<SharedRecords, "kinds" | "summary" | "pull">;
  readonly links: () => Pick<PeerLinks, "ask">;
}

/** Asks peers for the records that assign work, of which the splits are one. */
export class PeerConfirmation {
  readonly #options: PeerConfirmationOptions;

  constructor(options: PeerConfirmationOptions) {
    this.#options = options;
  }

  /** Resolves to whether at least half of the peers have replied since this call
   * and none of them knows newer records; newer ones are fetched. That peers were
   * alive a moment ago shows nothing: this instance may have stood still. */
  async confirm(): Promise<boolean> {
    const asked = sample(this.#options.members.list(), PEERS_ASKED_MAX);
    const revisions = await Promise.all(asked.map((peer) => this.#ask(peer)));
    const known = revisions.filter((revision) => revision !== undefined);
    if (known.length === 0 || known.length < asked.length * REPLY_SHARE) {
      return false;
    }
    await Promise.all(
      asked.map((peer, i) => this.#fetchNewer(peer, revisions[i] ?? 0)),
    );
    return known.every((revision) => revision <= this.#ownRevision);
  }

  get #ownRevision(): number {
    return this.#options.records().summary("assignment").revision;
  }

  async #fetchNewer(peer: Member, revision: number): Promise<void> {
    if (revision <= this.#ownRevision) return;
    await this.#options.records().pull(peer, "assignment");
  }

  /** The revision of the newest records that a peer knows; undefined without a
   * reply. */
  async #ask({ peerAddress }: Member): Promise<number | undefined> {
    const reply = await this.#options.links().ask(
      peerAddress,
      (n) => ({ t: "confirm", n }),
      ASK_TIMEOUT_MS,
    );
    if (reply?.t !== "confirmed") return undefined;
    const place = this.#options.records().kinds.indexOf("assignment");
    return reply.kinds[place]?.[0];
  }
}

/** Up to `max` of the members, any of them. */
function sample(members: readonly Member[], max: number): readonly Member[] {
  if (members.length <= max) return members;
  const start = Math.floor(Math.random() * members.length);
  return [...members.slice(start), ...members.slice(0, start)].slice(0, max);
}
