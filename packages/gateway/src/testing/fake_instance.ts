/** The part of a gateway that keeps its records up to date, with peers that are
 * called directly.
 *
 * @module
 */
import { EventLog } from "@banyanlb/core";
import {
  confirmationTimes,
  DIGEST_TICK_MS,
  EngineTable,
  type Member,
  type RecordStore,
} from "@banyanlb/serving";
import { memberOf } from "@banyanlb/serving/testing";
import pino from "pino";
import type { PeerMessage } from "../peer_messages.ts";
import { RecordConfirmer } from "../record_confirmer.ts";
import { RecordFollower } from "../record_follower.ts";
import { SharedRecords } from "../shared_records.ts";
import { StoreView } from "../store_view.ts";

/** The deployments' bound on the time from a change to its effect, in
 * milliseconds. */
export const APPLY_WITHIN_MS = 2500;

/** The deployments' bound on the time from an evacuation to the last request, in
 * milliseconds. */
export const EVACUATED_WITHIN_MS = 5000;

/** Time that a message between instances takes, in milliseconds. */
const MESSAGE_DELAY_MS = 8;

/** An instance whose peers and store can fail. */
export class FakeInstance {
  readonly member: Member;
  readonly engineTable = new EngineTable();
  readonly view: StoreView;
  readonly records: SharedRecords;
  /** The instances that this one asks, the lead first. */
  leads: readonly FakeInstance[] = [];
  /** Whether messages to this instance get no reply. */
  isSilent = false;
  /** Number of questions that this instance has answered. */
  answered = 0;
  /** Log lines, each as its fields. */
  readonly logged: Readonly<Record<string, unknown>>[] = [];
  readonly #assignment: RecordFollower;
  readonly #confirmer: RecordConfirmer;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    name: string,
    store: RecordStore,
    { evacuationKnownMs }: { readonly evacuationKnownMs?: number } = {},
  ) {
    this.member = memberOf(name);
    const log = new EventLog(pino({}, {
      write: (line: string) => void this.logged.push(JSON.parse(line)),
    }));
    this.view = new StoreView(store, {
      engineTable: this.engineTable,
      log,
      isStoreReader: () => true,
      changeKnownMs: APPLY_WITHIN_MS,
      evacuationKnownMs,
      regions: new Map([["z", "r"]]),
    });
    this.#assignment = new RecordFollower(store, {
      kind: "assignment",
      waitMs: 25_000,
      watchPauseMs: () => 0,
      confirmationTimes: confirmationTimes(2 * APPLY_WITHIN_MS),
      onRecords: () => undefined,
      onReachabilityChange: (reachable) => {
        if (!reachable) this.view.reconnect();
      },
      log,
    });
    const links = {
      ask: (
        address: string,
        buildRequest: (n: number) => PeerMessage,
        timeoutMs: number,
      ) => this.#ask(address, buildRequest(1), timeoutMs),
    };
    this.records = new SharedRecords({
      followers: {
        configuration: this.view.follower("configuration"),
        engines: this.view.follower("engines"),
        versions: this.view.follower("versions"),
        assignment: this.#assignment,
        evacuations: this.view.evacuationFollower,
      },
      engineSet: () => this.view.engineSet,
      evacuationSet: () => this.view.evacuationSet,
      links: () => links,
      log,
    });
    this.#confirmer = new RecordConfirmer({
      records: this.records,
      unshared: [],
      leads: () => this.leads.map(({ member }) => member),
      fallbackLeads: () => [],
      role: () => this.leads.length === 0 ? "lead" : "member",
      links: () => links,
    });
  }

  /** The version of the configuration in force. */
  get version(): number | undefined {
    return this.view.routeTable?.configuration.version;
  }

  /** Starts to follow the store. */
  start(): void {
    this.view.start();
    void this.#assignment.run();
    this.#timer = setInterval(
      () => this.#confirmer.check(performance.now()),
      DIGEST_TICK_MS,
    );
  }

  /** Ends all activity. */
  close(): void {
    clearInterval(this.#timer);
    this.view.close();
    this.#assignment.close();
  }

  async #ask(
    address: string,
    request: PeerMessage,
    timeoutMs: number,
  ): Promise<PeerMessage | undefined> {
    const peer = this.leads.find(({ member }) => member.name === address);
    if (peer === undefined || peer.isSilent) {
      await delay(timeoutMs);
      return undefined;
    }
    await delay(MESSAGE_DELAY_MS);
    const reply = JSON.stringify(peer.#reply(request));
    await delay(MESSAGE_DELAY_MS);
    return JSON.parse(reply) as PeerMessage;
  }

  #reply(request: PeerMessage): PeerMessage | undefined {
    this.answered += 1;
    const now = performance.now();
    if (request.t === "confirm") {
      const kinds = this.records.confirmedRows(now);
      return { t: "confirmed", n: request.n, kinds };
    }
    if (request.t !== "pull") return undefined;
    return this.records.pullReply(request.n, request.kind, now);
  }
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
