/** Instances in two regions with one store, in simulated time. Only the network
 * is a fake: links deliver digests, questions and replies of the store.
 *
 * @module
 */
import { EventLog } from "@banyanlb/core";
import {
  confirmationTimes,
  DIGEST_TICK_MS,
  EngineTable,
  type Member,
  MemberTable,
  type RecordStore,
} from "@banyanlb/serving";
import { memberOf } from "@banyanlb/serving/testing";
import pino from "pino";
import { DigestExchange } from "../digest_exchange.ts";
import type { Membership } from "../membership.ts";
import type { PeerLinks } from "../peer_links.ts";
import type { PeerMessage } from "../peer_messages.ts";
import { ReaderRoles } from "../reader_roles.ts";
import { RecordConfirmer } from "../record_confirmer.ts";
import { RecordFollower } from "../record_follower.ts";
import { SharedRecords } from "../shared_records.ts";
import { StoreView } from "../store_view.ts";
import { digestOptions } from "./digest_options.ts";
import { FakeRecordStore } from "./fake_record_store.ts";
import { RegionLink } from "./region_link.ts";
import { RemoteRecordStore, sizeOfRecords } from "./remote_record_store.ts";

/** Region of the store. */
const NEAR = "near";
const FAR = "far";

/** Time of a small call to the store. */
const NEAR_ROUND_TRIP_MS = 5;
const FAR_ROUND_TRIP_MS = 21;

/** Options of a fleet. */
export interface RegionFleetOptions {
  readonly size: number;
  /** Rate of the link between the regions in each direction. */
  readonly linkBitsPerSecond: number;
  readonly linkDelayMs: number;
  /** Time within which a change must be known, in milliseconds. */
  readonly changeKnownMs: number;
}

/** All instances and the links between them. */
export class FakeRegionFleet {
  readonly store = new FakeRecordStore();
  /** The direction that carries replies of the store to the far region. */
  readonly toFar: RegionLink;
  readonly toNear: RegionLink;
  readonly instances: readonly FleetInstance[];
  readonly #remoteStores = new Map<string, RemoteRecordStore>();
  readonly #isolated = new Set<string>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: RegionFleetOptions) {
    const createLink = () =>
      new RegionLink({
        bitsPerSecond: options.linkBitsPerSecond,
        delayMs: options.linkDelayMs,
      });
    this.toFar = createLink();
    this.toNear = createLink();
    const members = Array.from({ length: options.size }, (_, i): Member => {
      const region = i % 2 === 0 ? NEAR : FAR;
      const cores = i < 4 ? 2 : 1;
      return memberOf(`${region}${i}`, { zone: region, region, cores });
    });
    this.instances = members.map((member) =>
      new FleetInstance(this, {
        member,
        members,
        store: member.region === NEAR
          ? this.store
          : this.#remoteStoreOf(member.name),
        changeKnownMs: options.changeKnownMs,
      })
    );
  }

  #remoteStoreOf(name: string): RemoteRecordStore {
    const store = new RemoteRecordStore(this.store, this.toFar);
    this.#remoteStores.set(name, store);
    return store;
  }

  /** Cuts an instance of the far region off from the near one. */
  isolateFromNear(name: string): void {
    this.#isolated.add(name);
    const store = this.#remoteStores.get(name);
    if (store !== undefined) store.isCut = true;
  }

  /** Starts all instances. */
  start(): void {
    for (const instance of this.instances) instance.start();
    // One timer for all, since simulated timers are expensive.
    this.#timer = setInterval(() => {
      for (const instance of this.instances) instance.tick();
    }, DIGEST_TICK_MS);
  }

  /** Ends all activity. */
  close(): void {
    clearInterval(this.#timer);
    for (const instance of this.instances) instance.close();
    this.store.close();
  }

  /** Bytes of a kind of records that have entered the link to the far region. */
  bytesToFar(content: string): number {
    return this.toFar.bytes.get(content) ?? 0;
  }

  /** The instance with a peer address. */
  at(address: string): FleetInstance | undefined {
    return this.instances.find(({ member }) => member.peerAddress === address);
  }

  /** Resolves when a message has arrived, within a region at once. */
  async carry(from: Member, to: Member, message: PeerMessage): Promise<void> {
    if (from.region === to.region) return;
    if (this.#isolated.has(from.name) || this.#isolated.has(to.name)) {
      return await new Promise(() => undefined);
    }
    const link = to.region === FAR ? this.toFar : this.toNear;
    if (message.t === "pulled") {
      await link.transfer(
        "configuration",
        message.packed?.length ?? sizeOfRecords(message.list?.records ?? []),
      );
    } else await link.transfer(message.t, JSON.stringify(message).length);
  }
}

/** One instance of the fleet. */
export class FleetInstance {
  readonly member: Member;
  readonly #fleet: FakeRegionFleet;
  readonly #view: StoreView;
  readonly #records: SharedRecords;
  readonly #assignment: RecordFollower;
  readonly #confirmer: RecordConfirmer;
  readonly #roles: ReaderRoles;
  readonly #digests: DigestExchange;
  #hasCrashed = false;

  constructor(
    fleet: FakeRegionFleet,
    options: {
      readonly member: Member;
      readonly members: readonly Member[];
      readonly store: RecordStore;
      readonly changeKnownMs: number;
    },
  ) {
    const { member: self, store, changeKnownMs } = options;
    this.#fleet = fleet;
    this.member = self;
    const log = new EventLog(pino({ level: "silent" }));
    const storeRoundTripMs = self.region === NEAR
      ? NEAR_ROUND_TRIP_MS
      : FAR_ROUND_TRIP_MS;
    const engineTable = new EngineTable();
    const members = new MemberTable(self.name, performance.now());
    for (const member of options.members) members.add(member);
    this.#roles = new ReaderRoles({
      self,
      members,
      reachesStore: () => this.#view.reachesStore,
      storeRoundTripMs: () => storeRoundTripMs,
      onBecomeReader: () => this.#view.readNow(),
    });
    this.#view = new StoreView(store, {
      engineTable,
      log,
      isStoreReader: () => this.#roles.isStoreReader,
      changeKnownMs,
    });
    this.#assignment = new RecordFollower(store, {
      kind: "assignment",
      waitMs: 25_000,
      watchPauseMs: () => 0,
      confirmationTimes: confirmationTimes(2 * changeKnownMs),
      onRecords: () => undefined,
      onReachabilityChange: () => undefined,
      log,
    });
    const links = {
      ask: (
        address: string,
        buildRequest: (n: number) => PeerMessage,
        timeoutMs: number,
      ) => this.#ask(address, buildRequest(1), timeoutMs),
      send: (address: string, message: PeerMessage) => {
        void this.#send(address, message);
        return true;
      },
      connect: () => 1,
      closeIdle: () => undefined,
      confirmDelivery: () => undefined,
    } as unknown as PeerLinks;
    this.#records = new SharedRecords({
      followers: {
        configuration: this.#view.follower("configuration"),
        engines: this.#view.follower("engines"),
        versions: this.#view.follower("versions"),
        assignment: this.#assignment,
        evacuations: this.#view.evacuationFollower,
      },
      engineSet: () => this.#view.engineSet,
      evacuationSet: () => this.#view.evacuationSet,
      links: () => links,
      log,
    });
    this.#confirmer = new RecordConfirmer({
      records: this.#records,
      unshared: [],
      leads: () => this.#roles.leads,
      fallbackLeads: () => this.#roles.fallbackLeads,
      role: () => this.#roles.role,
      links: () => links,
    });
    this.#digests = new DigestExchange({
      ...digestOptions({
        self,
        members,
        reachesStore: () => this.#view.reachesStore,
        records: this.#records,
        links,
      }),
      membership: {
        ownerOf: () => undefined,
        storeRoundTripMs,
      } as unknown as Membership,
      engineTable,
      roles: this.#roles,
      log,
    });
    this.#view.onRecordsApplied = () => {
      if (this.#roles.isStoreReader) this.#digests.announceChanges();
    };
  }

  /** The version of the configuration in force. */
  get version(): number | undefined {
    return this.#view.routeTable?.configuration.version;
  }

  /** Whether the store replies to this instance, as its digests say. */
  get reachesStore(): boolean {
    return this.#view.reachesStore;
  }

  /** Starts to follow the store. */
  start(): void {
    this.#view.start();
    void this.#assignment.run();
  }

  /** Does the periodic work: sends digests, decides the roles and confirms the
   * records. */
  tick(): void {
    if (this.#hasCrashed) return;
    const now = performance.now();
    this.#digests.send();
    this.#roles.update(now);
    this.#confirmer.check(now);
  }

  /** Ends all activity. */
  close(): void {
    this.#view.close();
    this.#assignment.close();
  }

  /** Ends all activity, and answers no question any more. */
  crash(): void {
    this.#hasCrashed = true;
    this.close();
  }

  async #send(address: string, message: PeerMessage): Promise<void> {
    const peer = this.#fleet.at(address);
    if (peer === undefined) return;
    await this.#fleet.carry(this.member, peer.member, message);
    if (message.t === "digest2" && !peer.#hasCrashed) {
      peer.#digests.receive(this.member.name, message);
    }
  }

  #ask(
    address: string,
    request: PeerMessage,
    timeoutMs: number,
  ): Promise<PeerMessage | undefined> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(undefined), timeoutMs);
      void this.#exchange(address, request).then((reply) => {
        clearTimeout(timer);
        resolve(reply);
      });
    });
  }

  async #exchange(
    address: string,
    request: PeerMessage,
  ): Promise<PeerMessage | undefined> {
    const peer = this.#fleet.at(address);
    if (peer === undefined) return undefined;
    await this.#fleet.carry(this.member, peer.member, request);
    if (peer.#hasCrashed) return await new Promise(() => undefined);
    const reply = peer.#reply(request);
    if (reply === undefined) return undefined;
    await this.#fleet.carry(peer.member, this.member, reply);
    return reply;
  }

  #reply(request: PeerMessage): PeerMessage | undefined {
    const now = performance.now();
    if (request.t === "confirm") {
      const kinds = this.#records.confirmedRows(now);
      return { t: "confirmed", n: request.n, kinds };
    }
    if (request.t !== "pull") return undefined;
    return this.#records.pullReply(request.n, request.kind, now);
  }
}
