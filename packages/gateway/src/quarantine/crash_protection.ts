/** Protects engines from what crashes them: wires the quarantine to the log, to
 * the store, and to the requests.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  type EngineControl,
  isLargeFleet,
  type Member,
  type MemberTable,
  Quarantine,
  type RecordStore,
} from "@banyanlb/serving";
import { heldFields, nameField } from "./crash_log.ts";
import { CrashWatch } from "./crash_watch.ts";
import * as events from "../events.ts";
import { HoldKeeper } from "./hold_keeper.ts";
import type { GatewayMetrics } from "../metrics.ts";
import { type GuardedRequest, RequestGuard } from "./request_guard.ts";

/** Time after which all instances have reported their suspects in a crash, in
 * milliseconds: two of the longest intervals between the digests of instances
 * that callers use, in a small fleet and in one that sends fewer digests. */
const SETTLE_MS = 450;
const SETTLE_LARGE_FLEET_MS = 1000;

/** Parts of the gateway that the protection uses. */
export interface CrashProtectionOptions {
  readonly self: Member;
  readonly members: MemberTable;
  readonly store: RecordStore;
  readonly control: Pick<EngineControl, "probe">;
  /** Whether the store replies to this instance. */
  readonly reachesStore: () => boolean;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** The quarantine of this instance and what feeds it. */
export class CrashProtection {
  readonly quarantine: Quarantine;
  readonly #options: CrashProtectionOptions;
  readonly #crashWatch: CrashWatch;
  readonly #holdKeeper: HoldKeeper;

  constructor(options: CrashProtectionOptions) {
    const { self, members, store, control, log, metrics } = options;
    this.#options = options;
    this.quarantine = new Quarantine(self.name, {
      onHold: (_, held) => {
        log.write(events.SUSPECT_HELD, heldFields(held));
        this.#countHeld();
      },
      onRelease: (suspect, reason) => {
        log.write(events.SUSPECT_RELEASED, {
          ...nameField(suspect),
          reason,
          ...this.quarantine.beliefOn(suspect),
        });
        this.#countHeld();
      },
      onPeerCrash: (engineKey) => this.#crashWatch.recordPeerCrash(engineKey),
      settleMs: () =>
        isLargeFleet(members.list().length) ? SETTLE_LARGE_FLEET_MS : SETTLE_MS,
    });
    const { quarantine } = this;
    this.#crashWatch = new CrashWatch({ quarantine, control, log, metrics });
    this.#holdKeeper = new HoldKeeper(store, {
      quarantine,
      isWriter: () =>
        options.reachesStore() &&
        members.membersReachingStore(performance.now())
          .every(({ name }) => self.name < name),
      log,
    });
  }

  /** Whether the suspects that were held before this process started are known, as
   * far as they can be. */
  get isReady(): boolean {
    return this.#holdKeeper.isReady;
  }

  /** Reads the holds, and starts to keep them in the store. */
  start(): void {
    this.#holdKeeper.start();
  }

  /** Stops to keep the holds in the store. */
  close(): void {
    this.#holdKeeper.close();
  }

  /** Records that the engine list has changed. */
  recordEngineList(isListed: (engineKey: string) => boolean): void {
    this.#crashWatch.recordEngineList(isListed);
  }

  /** Creates the guard of a request. */
  guard(request: GuardedRequest): RequestGuard {
    const { members, log, metrics } = this.#options;
    return new RequestGuard({
      quarantine: this.quarantine,
      crashWatch: this.#crashWatch,
      instances: () => members.servingInstances(performance.now()),
      log,
      metrics,
    }, request);
  }

  /** What is held at present, as operators are told. */
  held(): readonly Readonly<Record<string, unknown>>[] {
    return this.quarantine.held(performance.now()).map(heldFields);
  }

  #countHeld(): void {
    this.#options.metrics.set("held_parts", this.quarantine.size);
  }
}
