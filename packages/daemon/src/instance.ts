/** Lifecycle of one instance: starts it, joins the fleet and leaves it.
 *
 * @module
 */
import { chooseSuccessors, chooseWatchedSessions } from "@banyanlb/lease";
import type { Snapshot } from "@banyanlb/published";
import { createCallRoutes } from "./call_routes.ts";
import { CallerServer } from "./caller_server.ts";
import {
  KEY_REQUESTS_ENDED,
  PEER_MESSAGE_REJECTED,
  SESSION_LOST,
  STARTED,
  STOPPED,
  STOPPING,
} from "./events.ts";
import { createInstanceRouter } from "./instance_router.ts";
import { LocalOperatorBackend } from "./local_operator_backend.ts";
import { PeerServer } from "./peer_server.ts";
import type { FullSettings } from "./settings.ts";
import {
  closeParts,
  type InstanceParts,
  startLease,
  toServeContext,
  wireBase,
  wireParts,
} from "./wiring.ts";

/** Ports on which an instance listens. */
export interface InstancePorts {
  readonly caller_port: number;
  readonly peer_port: number;
}

/** Pause between two attempts to join, leave or hand over slots. */
const RETRY_MS = 200;

/** An instance of the daemon: one membership in the fleet under one session.
 *
 * @example
 * ```ts
 * const instance = await Instance.start(settings);
 * await instance.stop();
 * ```
 */
export class Instance {
  /** Resolves when another member has ended this instance's session. The
   * process must then start a new instance. */
  readonly lost: Promise<void>;
  /** Resolves once an operator's drain request has stopped the instance. */
  readonly drained: Promise<void>;
  readonly #parts: InstanceParts;
  readonly #caller_server: CallerServer;
  readonly #peer_server: PeerServer;
  #ports: InstancePorts = { caller_port: 0, peer_port: 0 };
  #is_stopping = false;
  #is_lost = false;
  #resolveDrained: () => void = () => {};

  private constructor(parts: InstanceParts) {
    this.#parts = parts;
    const ctx = toServeContext(parts, () => this.#is_lost);
    this.#caller_server = new CallerServer(
      parts,
      createCallRoutes(ctx, () => this.isReady()),
    );
    const backend = new LocalOperatorBackend(parts, () => this.#drain());
    this.#peer_server = new PeerServer(createInstanceRouter(parts, backend), {
      token: parts.settings.peer_token,
      onRejected: (path, message) =>
        parts.log.write(PEER_MESSAGE_REJECTED, { path, message }),
    });
    this.drained = new Promise((resolve) => this.#resolveDrained = resolve);
    this.lost = new Promise((resolve) => {
      parts.lease.onEnded(() => {
        parts.log.write(SESSION_LOST, { session: parts.self.id });
        this.#is_lost = true;
        parts.in_flight.endUnsent();
        resolve();
      });
    });
    this.#subscribe();
  }

  /** Starts an instance and joins the fleet. Waits until the store is
   * reachable. */
  static async start(settings: FullSettings): Promise<Instance> {
    const base = wireBase(settings);
    const lease = await startLease(base);
    const instance = new Instance(wireParts(base, lease));
    await instance.#start();
    return instance;
  }

  /** Ports on which the instance listens; 0 before the start is complete. */
  get ports(): InstancePorts {
    return this.#ports;
  }

  /** Session id. */
  get id(): string {
    return this.#parts.self.id;
  }

  /** True if steering may direct callers to this instance. */
  isReady(): boolean {
    return !this.#is_stopping && this.#parts.guard.state().serve;
  }

  /** Stops gracefully, without interrupting a request. Marks the instance as
   * leaving, so that steering excludes it, and hands over its slots. Accepts
   * new requests until clients' cached steering responses have expired
   * (`steering_keep_ms`), waits for its running requests for at most
   * `shutdown_limit_ms`, then leaves the fleet and ends its session. */
  async stop(): Promise<void> {
    if (this.#is_stopping) return;
    this.#is_stopping = true;
    const { clock, coordinator, fleet, in_flight, log, settings } = this.#parts;
    log.write(STOPPING, { in_flight: in_flight.size });
    this.#caller_server.closeAfterResponses();
    const accept_until = clock.now() + settings.steering_keep_ms;
    await this.#retryUntil(
      accept_until,
      async () => (await fleet.setLeaving()).isOk(),
    );
    await this.#retryUntil(
      accept_until,
      () => Promise.resolve(coordinator.has_no_slots),
    );
    await clock.sleep(Math.max(0, accept_until - clock.now()));
    this.#caller_server.stopAccepting();
    await in_flight.waitUntilEmpty(settings.shutdown_limit_ms);
    await this.#leave();
    await this.close();
    log.write(STOPPED);
  }

  /** Releases the ports of an instance whose session is lost. Its running
   * requests continue; {@linkcode finishWithoutLeaving} waits for them. */
  async detach(): Promise<void> {
    this.#is_stopping = true;
    this.#caller_server.closeAfterResponses();
    this.#caller_server.stopAccepting();
    await this.#peer_server.close();
  }

  /** Waits for the running requests, for at most `shutdown_limit_ms`, and
   * closes the instance without leaving the fleet, since its session has
   * already ended. */
  async finishWithoutLeaving(): Promise<void> {
    const { in_flight, settings } = this.#parts;
    await in_flight.waitUntilEmpty(settings.shutdown_limit_ms);
    await this.close();
  }

  /** Closes all servers and parts without waiting for running requests. */
  async close(): Promise<void> {
    this.#is_stopping = true;
    this.#caller_server.close();
    await closeParts(this.#parts);
    await this.#peer_server.close();
  }

  async #start(): Promise<void> {
    const { address, caller_port, peer_port } = this.#parts.settings.listen;
    const bound_peer_port = await this.#peer_server.listen(address, peer_port);
    const {
      clock,
      coordinator,
      fleet,
      follower,
      guard,
      list_watch,
      log,
      intent_sweep,
    } = this.#parts;
    while ((await fleet.join()).isErr()) await clock.sleep(RETRY_MS);
    follower.start();
    guard.start();
    this.#parts.freshness_watch.start();
    this.#parts.pause_watch.start();
    list_watch.start();
    coordinator.start();
    intent_sweep.start();
    const bound_caller_port = await this.#caller_server.listen(
      address,
      caller_port,
    );
    this.#ports = {
      caller_port: bound_caller_port,
      peer_port: bound_peer_port,
    };
    log.write(STARTED, { session: this.id, ...this.#ports });
  }

  /** Subscribes to changes of the fleet and of the configuration, and updates
   * the parts that depend on them. */
  #subscribe(): void {
    const { coordinator, fleet, follower, lease, links, owners, self, watch } =
      this.#parts;
    fleet.onChange((view, previous) => {
      const current_self = view.memberOf(self.id) ?? self;
      lease.setSuccessors(chooseSuccessors(current_self, view.members));
      watch.setWatchedSessions(
        chooseWatchedSessions(current_self, view.members),
      );
      watch.setMembers(view.members.map((member) => member.id));
      for (const { id } of previous?.members ?? []) {
        if (view.memberOf(id) === undefined) owners.memberEnded(id);
      }
      links.prune((id) => view.memberOf(id) !== undefined);
      coordinator.reconcile();
    });
    watch.onEnded((id) => {
      owners.memberEnded(id);
      void fleet.removeEnded(id);
    });
    follower.onChange((snapshot) => {
      this.#endWithdrawnRequests(snapshot);
      coordinator.reconcile();
    });
  }

  #endWithdrawnRequests(snapshot: Snapshot): void {
    const { in_flight, log, metrics } = this.#parts;
    const ended_count = in_flight.endWithdrawn((key_sha256) =>
      snapshot.keyBySha256(key_sha256) === undefined
    );
    if (ended_count === 0) return;
    metrics.count("withdrawn_running", {}, ended_count);
    log.write(KEY_REQUESTS_ENDED, { count: ended_count });
  }

  #drain(): void {
    void this.stop().then(() => this.#resolveDrained());
  }

  async #leave(): Promise<void> {
    const { clock, fleet, lease, settings } = this.#parts;
    const until = clock.now() + settings.lease_term_ms;
    await this.#retryUntil(until, async () => (await fleet.leave()).isOk());
    await lease.end();
  }

  async #retryUntil(
    until: number,
    attempt: () => Promise<boolean>,
  ): Promise<void> {
    const { clock } = this.#parts;
    while (!await attempt()) {
      if (clock.now() >= until) return;
      await clock.sleep(RETRY_MS);
    }
  }
}
