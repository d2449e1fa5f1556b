/** Confirms regularly that the records of this instance are the newest.
 *
 * @module
 */
import type { ConfirmationRole, Member } from "@banyanlb/serving";
import type { PeerLinks } from "./peer_links.ts";
import type { RecordFollower } from "./record_follower.ts";
import type { SharedRecords } from "./shared_records.ts";

/** Timeout of a question to a peer, in milliseconds: it ends before this
 * instance has to read the store itself. */
const ASK_TIMEOUT_MS = 250;

/** Parts of the gateway that the confirmer uses. */
export interface RecordConfirmerOptions {
  readonly records: SharedRecords;
  /** Followers of records that are not shared with peers. */
  readonly unshared: readonly RecordFollower[];
  /** The instances to ask, the first to ask first; none if this instance is the
   * lead. */
  readonly leads: () => readonly Member[];
  /** Instances to ask too when the leads did not confirm everything. */
  readonly fallbackLeads: () => readonly Member[];
  /** What this instance does to confirm its records. */
  readonly role: () => ConfirmationRole;
  readonly links: () => Pick<PeerLinks, "ask">;
}

/** Asks peers and reads the store so that each kind of records stays
 * confirmed. */
export class RecordConfirmer {
  readonly #options: RecordConfirmerOptions;
  /** Names of the peers whose answer is awaited. */
  readonly #asking = new Set<string>();
  /** Whether the last question did not confirm everything. The next one goes to
   * all leads: one of them may be lost, or know nothing newer. */
  #hasFailed = false;

  constructor(options: RecordConfirmerOptions) {
    this.#options = options;
  }

  /** Confirms the records that need it at `now`. Called a few times a second. */
  check(now: number): void {
    const { records, unshared } = this.#options;
    const leads = this.#options.leads();
    const role = this.#options.role();
    let mustAsk = false;
    for (const kind of records.kinds) {
      const follower = records.follower(kind);
      follower.restartSilentWatch();
      const step = follower.nextConfirmationStep(now, role);
      if (step === "read") void follower.confirm();
      if (step !== "none") mustAsk = true;
    }
    // No peer can confirm these.
    for (const follower of unshared) {
      follower.restartSilentWatch();
      const ownRole = role === "last" ? "last" : "lead";
      if (follower.nextConfirmationStep(now, ownRole) === "read") {
        void follower.confirm();
      }
    }
    if (!mustAsk) return;
    const asked = this.#hasFailed
      ? new Set([...leads, ...this.#options.fallbackLeads()])
      : leads.slice(0, 1);
    // One that does not answer must not keep the others from being asked.
    for (const lead of asked) {
      if (!this.#asking.has(lead.name)) void this.#askOnce(lead, now);
    }
  }

  async #askOnce(lead: Member, askedAt: number): Promise<void> {
    this.#asking.add(lead.name);
    await this.#ask(lead, askedAt);
    this.#asking.delete(lead.name);
    const { records, role } = this.#options;
    const now = performance.now();
    this.#hasFailed = records.kinds.some((kind) =>
      records.follower(kind).nextConfirmationStep(now, role()) !== "none"
    );
  }

  async #ask(lead: Member, askedAt: number): Promise<void> {
    const reply = await this.#options.links().ask(
      lead.peerAddress,
      (n) => ({ t: "confirm", n }),
      ASK_TIMEOUT_MS,
    );
    if (reply?.t !== "confirmed") return;
    this.#options.records.applyConfirmedRows(lead, reply.kinds, askedAt);
  }
}
