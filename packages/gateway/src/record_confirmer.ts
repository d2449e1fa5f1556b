/** Confirms regularly that the records of this instance are the newest.
 *
 * @module
 */
import type { ConfirmationRole, Member } from "@banyanlb/serving";
import type { PeerLinks } from "./peer_links.ts";
import { SHARED_KINDS } from "./peer_messages.ts";
import type { RecordFollower } from "./record_follower.ts";
import type { SharedRecords } from "./shared_records.ts";

/** Time between checks of whether records must be confirmed, in
 * milliseconds. */
const CHECK_INTERVAL_MS = 200;

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
  /** What this instance does to confirm its records. */
  readonly role: () => ConfirmationRole;
  readonly links: () => Pick<PeerLinks, "ask">;
}

/** Asks peers and reads the store so that each kind of records stays
 * confirmed. */
export class RecordConfirmer {
  readonly #options: RecordConfirmerOptions;
  #timer: NodeJS.Timeout | undefined;
  #isAsking = false;
  /** Whether the last question did not confirm everything. The next one goes to
   * all leads: one of them may be lost, or know nothing newer. */
  #hasFailed = false;

  constructor(options: RecordConfirmerOptions) {
    this.#options = options;
  }

  /** Starts the regular checks. */
  start(): void {
    this.#timer = setInterval(
      () => this.check(performance.now()),
      CHECK_INTERVAL_MS,
    );
  }

  /** Stops the checks. */
  close(): void {
    clearInterval(this.#timer);
  }

  /** Confirms the records that need it at `now`. */
  check(now: number): void {
    const { records, unshared } = this.#options;
    const leads = this.#options.leads();
    const role = this.#options.role();
    let mustAsk = false;
    for (const kind of SHARED_KINDS) {
      const follower = records.follower(kind);
      follower.restartSilentWatch();
      const step = follower.nextConfirmationStep(now, role);
      if (step === "read") void follower.confirm();
      if (step !== "none") mustAsk = true;
    }
    // No peer can confirm these.
    for (const follower of unshared) {
      follower.restartSilentWatch();
      if (follower.nextConfirmationStep(now, "lead") === "read") {
        void follower.confirm();
      }
    }
    if (!mustAsk || this.#isAsking) return;
    const asked = this.#hasFailed ? leads : leads.slice(0, 1);
    if (asked.length > 0) void this.#askAll(asked, now);
  }

  async #askAll(leads: readonly Member[], askedAt: number): Promise<void> {
    this.#isAsking = true;
    await Promise.all(leads.map((lead) => this.#ask(lead, askedAt)));
    this.#isAsking = false;
    const { records, role } = this.#options;
    const now = performance.now();
    this.#hasFailed = SHARED_KINDS.some((kind) =>
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
