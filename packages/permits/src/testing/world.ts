/** Owners, entries and one engine for tests, driven by one manual clock.
 *
 * @module
 */
import { ManualClock, NoopMetrics, type Target } from "@banyanlb/core";
import { err, ok, ResultAsync } from "neverthrow";
import { OwnerTable } from "../owner_table.ts";
import { PermitLedger } from "../permit_ledger.ts";
import type { SafetyRules } from "../safety_rules.ts";
import {
  PermitPeers,
  type PermitRelease,
  type PermitReply,
  ReleaseSender,
  type ReportRequest,
  type TargetHandoff,
} from "../types.ts";
import { ArrivalQueue, createDiscardingLog, UnlimitedBudget } from "./fakes.ts";
import { FakeEngine } from "./fake_engine.ts";

const STEP_MS = 10;
const MAX_DEADLINE_MS = 20_000;

/** The target of every test. */
export const target: Target = {
  kind: "target",
  name: "engine-1",
  type: "engine",
  url: "http://127.0.0.1:1",
  pool: "pool",
  region: "here",
  failure_domain: "here-a",
  adapter_slots: 2,
  max_running: 4,
};

/** One entry instance. */
export interface Entry {
  readonly session: string;
  readonly ledger: PermitLedger;
  /** If false, the entry replies to no request and its messages are lost. */
  is_reachable: boolean;
}

/** One engine with its entries and its current owner. */
export class World {
  readonly clock = new ManualClock();
  readonly engine = new FakeEngine(this.clock);
  readonly entries = new Map<string, Entry>();
  readonly rules: SafetyRules | undefined;
  target: Target = target;
  owners: OwnerTable | undefined;
  former_owners: OwnerTable | undefined;
  epoch = 0;
  /** Grants of an owner whose lease had expired. */
  readonly late_grants: string[] = [];
  readonly #leases = new Map<OwnerTable, { until: number }>();
  readonly #unused_permits = new Map<string, Set<() => void>>();

  constructor(rules?: SafetyRules) {
    this.rules = rules;
    this.engine.onOrder = (text) => this.#useBeforeEviction(text);
  }

  /** Starts an entry instance. */
  addEntry(session: string): Entry {
    const send = (releases: readonly PermitRelease[]) =>
      this.#deliverReleases(session, releases);
    class Sender extends ReleaseSender {
      override send(_: string, releases: readonly PermitRelease[]) {
        return send(releases);
      }
    }
    const ledger = new PermitLedger({
      clock: this.clock,
      session,
      sender: new Sender(),
      log: createDiscardingLog(),
      metrics: new NoopMetrics(),
    });
    const entry = { session, ledger, is_reachable: true };
    this.entries.set(session, entry);
    return entry;
  }

  /** Makes a new owner own the target. The former owner is not closed, as if it
   * had crashed or were suspended. */
  takeOver(handoff?: TargetHandoff): OwnerTable {
    this.epoch += 1;
    this.former_owners = this.owners;
    const lease = { until: Infinity };
    const report = (id: string, request: ReportRequest) =>
      this.#report(id, request);
    class Peers extends PermitPeers {
      override report(member_id: string, request: ReportRequest) {
        return report(member_id, request);
      }
    }
    this.owners = new OwnerTable({
      clock: this.clock,
      engine: this.engine,
      lease: { remaining: () => lease.until - this.clock.now() },
      load_budget: new UnlimitedBudget(),
      peers: new Peers(),
      createQueue: () => new ArrivalQueue(),
      log: createDiscardingLog(),
      metrics: new NoopMetrics(),
      max_deadline_ms: MAX_DEADLINE_MS,
      ...(this.rules === undefined ? {} : { rules: this.rules }),
    });
    this.#leases.set(this.owners, lease);
    this.owners.hold({
      target: this.target,
      epoch: this.epoch,
      versions: (name) => ({
        kind: "version",
        name,
        adapter: name.split("@")[0]!,
        weights: name,
      }),
      known_members: [...this.entries.keys()],
      ...(handoff === undefined ? {} : { handoff }),
    });
    return this.owners;
  }

  /** Requests a permit. Resolves with `undefined` if no reply arrives. */
  async ask(
    entry: Entry,
    version: string | undefined,
    deadline_ms = 5_000,
    owners = this.owners,
  ): Promise<PermitReply | undefined> {
    const request = entry.ledger.open({
      target: target.name,
      version,
      workspace: "w",
      class: "interactive",
      tokens: 100,
      deadline_ms,
    });
    const reply = await owners?.acquire(request);
    this.#checkLeaseAtGrant(owners, reply);
    if (reply === undefined || !entry.is_reachable) {
      entry.ledger.abandon(request.id);
      return undefined;
    }
    entry.ledger.accept(request.id, reply);
    return reply;
  }

  /** Makes the owner's lease expire in `ms` and advances the clock to then. */
  async expireLease(ms: number): Promise<void> {
    this.endLeaseIn(ms);
    await this.advance(ms);
  }

  /** Makes the owner's lease expire in `ms`, then has a new owner take over
   * unless one already has. */
  async replaceOwner(ms: number): Promise<void> {
    const owners = this.owners;
    this.endLeaseIn(ms);
    await this.clock.sleep(ms);
    if (this.owners === owners) this.takeOver();
  }

  /** Holds a permit for `ms` before it is used, or until an order to evict its
   * adapter arrives, which is the moment when the use does the most harm. */
  async holdUnused(version: string, ms: number): Promise<void> {
    const resolvers = this.#unused_permits.get(version) ?? new Set();
    this.#unused_permits.set(version, resolvers);
    await new Promise<void>((resolve) => {
      resolvers.add(resolve);
      void this.clock.sleep(ms).then(resolve);
    });
  }

  /** Runs a request with a permit for `ms`, or until its deadline, at which the
   * engine ends it. */
  async run(
    entry: Entry,
    permit: { readonly permit_id: string; readonly version: string },
    ms: number,
  ): Promise<"done" | "not_loaded" | "unused"> {
    const use = entry.ledger.use(permit.permit_id);
    const outcome = !use.usable
      ? "unused"
      : this.engine.start(permit.version)
      ? "done"
      : "not_loaded";
    if (use.usable && outcome === "done") {
      const boot = this.engine.boot_count;
      await this.clock.sleep(Math.min(ms, use.remaining_ms));
      if (boot === this.engine.boot_count) this.engine.finish(permit.version);
    }
    entry.ledger.release(permit.permit_id, outcome);
    return outcome;
  }

  /** Advances the clock in small steps and runs the tasks that become due. */
  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await runPendingTasks();
      this.clock.advance(STEP_MS);
      this.engine.recordReport();
    }
    await runPendingTasks();
  }

  /** Advances the clock until the promise resolves, at most for `ms`. Returns
   * `pending` if it did not resolve. */
  async resultWithin<T>(
    ms: number,
    promise: Promise<T>,
  ): Promise<T | "pending"> {
    let result: T | "pending" = "pending";
    void promise.then((value) => {
      result = value;
    });
    for (let passed = 0; passed <= ms && result === "pending";) {
      await this.advance(STEP_MS);
      passed += STEP_MS;
    }
    return result;
  }

  /** Makes the owner's lease expire `ms` from now. */
  endLeaseIn(ms: number): void {
    if (this.owners === undefined) return;
    this.#leases.get(this.owners)!.until = this.clock.now() + ms;
  }

  #useBeforeEviction(order: string): void {
    const [kind, version] = order.split(" ");
    if (kind !== "evict" || version === undefined) return;
    for (const resolve of this.#unused_permits.get(version) ?? []) resolve();
    this.#unused_permits.delete(version);
  }

  #checkLeaseAtGrant(owners?: OwnerTable, reply?: PermitReply): void {
    const until = owners && this.#leases.get(owners)?.until;
    if (until === undefined || reply?.kind !== "granted") return;
    if (until > this.clock.now()) return;
    this.late_grants.push(`${reply.permit_id} at ${this.clock.now()}`);
  }

  #report(id: string, request: ReportRequest) {
    const entry = this.entries.get(id);
    if (entry === undefined || !entry.is_reachable) return unreachable<never>();
    return new ResultAsync(Promise.resolve(ok(entry.ledger.report(request))));
  }

  #deliverReleases(session: string, releases: readonly PermitRelease[]) {
    const is_reachable = this.entries.get(session)?.is_reachable ?? false;
    if (!is_reachable || this.owners === undefined) return unreachable<never>();
    const untaken = this.owners.release(session, releases);
    return new ResultAsync(Promise.resolve(ok(untaken)));
  }
}

function unreachable<T>() {
  const error = { kind: "unreachable" as const, message: "no reply" };
  return new ResultAsync<T, typeof error>(Promise.resolve(err(error)));
}

/** Runs everything that is due, without advancing the clock. */
async function runPendingTasks(): Promise<void> {
  for (let turn = 0; turn < 3; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Creates an owner and one entry, and completes the first take-over. */
export async function startWorld(
  rules?: SafetyRules,
  fencing = true,
): Promise<{ readonly world: World; readonly entry: Entry }> {
  const world = new World(rules);
  world.target = { ...target, fencing };
  const entry = world.addEntry("e1");
  world.takeOver();
  await world.advance(4_000);
  return { world, entry };
}

/** Acquires a permit. Throws if it is refused or does not arrive in time. */
export async function acquire(
  world: World,
  entry: Entry,
  version: string,
): Promise<{ readonly permit_id: string; readonly version: string }> {
  const reply = await world.resultWithin(
    8_000,
    world.ask(entry, version, 20_000),
  );
  if (reply === "pending" || reply?.kind !== "granted") {
    throw new Error(`no permit: ${JSON.stringify(reply)}`);
  }
  return { permit_id: reply.permit_id, version };
}

/** Runs a request for `ms` on each of the two adapter slots. */
export async function fillSlots(
  world: World,
  entry: Entry,
  ms: number,
): Promise<void> {
  for (const version of ["a@1", "b@1"]) {
    void world.run(entry, await acquire(world, entry, version), ms);
  }
}
