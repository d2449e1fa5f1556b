/** The kinds of records that instances share: compares them with those of a
 * peer, and fetches newer ones from it.
 *
 * @module
 */
import { type EventLog, invariant } from "@banyanlb/core";
import type { Member, RecordList } from "@banyanlb/serving";
import * as events from "./events.ts";
import { type ListMessage, packList, unpackList } from "./packed_list.ts";
import type { PeerLinks } from "./peer_links.ts";
import {
  type ConfirmedRow,
  type PullReply,
  SHARED_KINDS,
  type SharedKind,
} from "./peer_messages.ts";
import type { RecordFollower } from "./record_follower.ts";

/** Timeout of a request for a peer's full list of records, in milliseconds. */
const PULL_TIMEOUT_MS = 800;

/** What identifies the records of one kind. */
export interface RecordSummary {
  /** The revision of the newest change that peers are told of. */
  readonly revision: number;
  /** Equal on two instances that hold the same records. */
  readonly fingerprint: number;
}

/** Followers of the shared kinds, and what else the exchange with peers
 * needs. */
export interface SharedRecordsOptions {
  readonly followers: Readonly<
    Record<SharedKind, RecordFollower | undefined>
  >;
  /** The engines are compared by their set and by which are leaving. Their
   * other fields change too often. */
  readonly engineSet: () => RecordSummary;
  /** Evacuations are compared by their set, since they are removed one by one. */
  readonly evacuationSet: () => RecordSummary;
  readonly links: () => Pick<PeerLinks, "ask">;
  readonly log: EventLog;
}

/** The records that instances share. */
export class SharedRecords {
  readonly #options: SharedRecordsOptions;
  readonly #kinds: readonly SharedKind[];
  readonly #pendingPulls = new Set<SharedKind>();
  /** The last list of each kind that was sent to a peer, by what it contains:
   * many peers request it at the same time. */
  readonly #sentLists = new Map<
    SharedKind,
    { readonly state: string; readonly message: ListMessage }
  >();

  constructor(options: SharedRecordsOptions) {
    this.#options = options;
    this.#kinds = SHARED_KINDS.filter((kind) =>
      options.followers[kind] !== undefined
    );
  }

  /** The kinds that this deployment has, in the order of `SHARED_KINDS`. */
  get kinds(): readonly SharedKind[] {
    return this.#kinds;
  }

  /** The follower of a kind of records that this deployment has. */
  follower(kind: SharedKind): RecordFollower {
    const follower = this.#options.followers[kind];
    invariant(follower !== undefined, {
      code: 801,
      message: `no follower of ${kind}`,
    });
    return follower;
  }

  /** The records of a kind, as peers compare them. */
  summary(kind: SharedKind): RecordSummary {
    if (kind === "engines") return this.#options.engineSet();
    if (kind === "evacuations") return this.#options.evacuationSet();
    const { newestRevision, fingerprint } = this.follower(kind);
    return { revision: newestRevision, fingerprint };
  }

  /** All kinds as reported to a peer that asks, in their order. */
  confirmedRows(now: number): readonly ConfirmedRow[] {
    return this.kinds.map((kind) => {
      const { revision, fingerprint } = this.summary(kind);
      return [revision, fingerprint, this.#reportedAgeMs(kind, now)];
    });
  }

  /** Applies what a peer reported in reply to a question that was sent at
   * `askedAt`. Records that are the same here are confirmed; newer ones are
   * fetched. */
  applyConfirmedRows(
    member: Member,
    rows: readonly ConfirmedRow[],
    askedAt: number,
  ): void {
    this.kinds.forEach((kind, i) => {
      const row = rows[i];
      if (row === undefined) return;
      const [revision, fingerprint, ageMs] = row;
      const own = this.summary(kind);
      if (!this.follower(kind).known) {
        if (ageMs !== null) void this.pull(member, kind);
      } else if (fingerprint === own.fingerprint) {
        this.follower(kind).recordConfirmation(
          confirmationTime(askedAt, ageMs),
        );
      } else if (revision > own.revision) void this.pull(member, kind);
    });
  }

  /** Builds the reply to a peer that requests all records of a kind. */
  pullReply(n: number, kind: SharedKind, now: number): PullReply {
    // A peer of a newer version may ask for a kind that is not known here.
    if (!this.kinds.includes(kind)) return { t: "pulled", n, list: undefined };
    const age = this.#reportedAgeMs(kind, now);
    return { t: "pulled", n, ...this.#listMessage(kind), age };
  }

  /** Fetches all records of a kind from a peer, unless a fetch of the kind is
   * under way. Returns whether they were received. */
  async pull(member: Member, kind: SharedKind): Promise<boolean> {
    if (this.#pendingPulls.has(kind)) return false;
    this.#pendingPulls.add(kind);
    const askedAt = performance.now();
    const reply = await this.#options.links().ask(
      member.peerAddress,
      (n) => ({ t: "pull", n, kind }),
      PULL_TIMEOUT_MS,
    );
    this.#pendingPulls.delete(kind);
    const ms = Math.round(performance.now() - askedAt);
    const peer = member.name;
    const list = reply?.t === "pulled" ? this.#readList(reply) : undefined;
    if (reply?.t !== "pulled" || list === undefined) {
      this.#options.log.write(events.PULL_UNANSWERED, { kind, peer, ms });
      return false;
    }
    const confirmedAt = confirmationTime(askedAt, reply.age ?? null);
    if (this.follower(kind).adopt(list, confirmedAt)) {
      this.#options.log.write(events.RECORDS_FETCHED_FROM_PEER, {
        kind,
        peer,
        revision: list.revision,
        ms,
      });
    }
    return true;
  }

  #listMessage(kind: SharedKind): ListMessage {
    const follower = this.follower(kind);
    const state = follower.stateId;
    const sent = this.#sentLists.get(kind);
    if (sent?.state === state) return sent.message;
    const list = follower.snapshot();
    if (list === undefined) return { list };
    const message = packList(list);
    this.#sentLists.set(kind, { state, message });
    return message;
  }

  #readList(reply: PullReply): RecordList | undefined {
    try {
      return unpackList(reply);
    } catch (err) {
      this.#options.log.write(events.PEER_MESSAGE_INVALID, {
        reason: String(err),
      });
      return undefined;
    }
  }

  #reportedAgeMs(kind: SharedKind, now: number): number | null {
    const ageMs = this.follower(kind).ageMs(now);
    return Number.isFinite(ageMs) ? Math.ceil(ageMs) : null;
  }
}

/** When a peer's records were known to be the newest. It counts from the
 * question, since the reply may have been under way for long. */
function confirmationTime(askedAt: number, ageMs: number | null): number {
  return ageMs === null ? -Infinity : askedAt - ageMs;
}
