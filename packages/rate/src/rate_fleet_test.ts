/** Random faults in a simulated fleet: no window of time may exceed the
 * workspace's limits. */
import fc from "fast-check";
import { expect, test } from "vitest";
import {
  type RateWorkspace,
  reservationValidityMs,
  type ShareLimits,
} from "./limits.ts";
import { RateShares } from "./rate_shares.ts";
import { ShareBucket, type ShareReservation } from "./share_bucket.ts";
import {
  type FleetOptions,
  NaiveBucket,
  SimulatedFleet,
  worstExcess,
} from "./simulated_fleet_test.ts";
import type { SettleBatch } from "./generated/rate_messages.ts";

const SEED = 20_263;
const TOLERANCE = 1e-6;
const NODES = 4;
const DURATION_MS = 12_000;
const LEASE_TERM_MS = 1_000;
const MEAN_TOKENS = 50;
const PERIOD_MS = 3_000;
const BURST_START_MS = 2_000;
const WORKSPACE: RateWorkspace = {
  name: "w",
  rate: 1_000,
  burst: 1_500,
  slots: [0, 1, 2],
};

type Fault = "freeze" | "take_over" | "handover" | "limits";

interface Incident {
  readonly at: number;
  readonly fault: Fault;
  readonly node: number;
  readonly slot: number;
  readonly size: number;
}

interface History {
  readonly seed: number;
  readonly load: number;
  /** Load is offered only in the last second of every three seconds. */
  readonly is_bursty: boolean;
  /** Requests use all tokens that they reserve. */
  readonly uses_all: boolean;
  readonly loss: number;
  readonly lag_ms: number;
  readonly incidents: readonly Incident[];
}

const history = fc.record<History>({
  seed: fc.nat(),
  load: fc.constantFrom(0.9, 4, 20),
  is_bursty: fc.boolean(),
  uses_all: fc.boolean(),
  loss: fc.constantFrom(0, 0, 0.02, 0.2),
  lag_ms: fc.constantFrom(0, 3_000),
  incidents: fc.array(
    fc.record<Incident>({
      at: fc.integer({ min: 500, max: DURATION_MS - 500 }),
      fault: fc.constantFrom("freeze", "take_over", "handover", "limits"),
      node: fc.nat(NODES - 1),
      slot: fc.nat(2),
      size: fc.double({ min: 0, max: 1, noNaN: true }),
    }),
    { maxLength: 10 },
  ),
});

type Mutation = Partial<
  Pick<FleetOptions, "create_bucket" | "create_shares">
>;

/** Ends a node's lease, replaces the node by a new one, and assigns its slots
 * to another node without their levels. */
async function takeOverSlots(fleet: SimulatedFleet, incident: Incident) {
  const node = fleet.nodes[incident.node];
  if (node === undefined) return;
  if (incident.size > 0.5) node.frozen_until = fleet.clock.now() + 3_000;
  node.lease_until = fleet.clock.now() + LEASE_TERM_MS * incident.size;
  fleet.nodes[incident.node] = fleet.createNode();
  await fleet.clock.sleep(LEASE_TERM_MS * incident.size + 10);
  for (const [slot, row] of fleet.holders) {
    if (row.holder === node.id) fleet.assign(slot, (incident.node + 1) % NODES);
  }
}

/** Moves a slot with its levels, which the network may lose. The levels arrive
 * once more later. */
async function handOverSlot(fleet: SimulatedFleet, incident: Incident) {
  const row = fleet.holders.get(incident.slot);
  const from = fleet.findNode(row?.holder ?? "");
  if (from === undefined || !fleet.nodes.includes(from)) return;
  const levels = from.shares.release(incident.slot);
  const is_delivered = await fleet.transmit();
  if (fleet.holders.get(incident.slot)?.epoch !== row?.epoch) return;
  const index = incident.node;
  if (is_delivered) fleet.assign(incident.slot, index, levels);
  else fleet.assign(incident.slot, index);
  await fleet.clock.sleep(200);
  const epoch = (row?.epoch ?? 0) + 1;
  fleet.nodes[index]?.shares.hold(incident.slot, { epoch, handover: levels });
}

/** Changes the limits; the nodes apply the change one after another. */
async function changeLimits(fleet: SimulatedFleet, incident: Incident) {
  const rate = WORKSPACE.rate * (0.5 + incident.size / 2);
  fleet.workspace = { ...fleet.workspace, rate };
  for (const node of fleet.nodes) {
    await fleet.clock.sleep(100 * fleet.random());
    node.shares.setWorkspaces([fleet.workspace]);
  }
}

async function applyIncident(fleet: SimulatedFleet, incident: Incident) {
  await fleet.clock.sleep(incident.at);
  if (incident.fault === "take_over") return takeOverSlots(fleet, incident);
  if (incident.fault === "handover") return handOverSlot(fleet, incident);
  if (incident.fault === "limits") return changeLimits(fleet, incident);
  const node = fleet.nodes[incident.node];
  if (node === undefined) return;
  node.frozen_until = fleet.clock.now() + 2_000 * incident.size;
}

async function offerLoad(fleet: SimulatedFleet, history: History) {
  const gap_ms = MEAN_TOKENS / (WORKSPACE.rate * history.load) * 1_000;
  while (fleet.clock.now() < DURATION_MS) {
    await fleet.clock.sleep(-Math.log(1 - fleet.random()) * gap_ms);
    const phase_ms = fleet.clock.now() % PERIOD_MS;
    if (history.is_bursty && phase_ms < BURST_START_MS) continue;
    const tokens = Math.ceil(2 * MEAN_TOKENS * fleet.random()) + 5;
    // In every other burst, most requests use few of their tokens and settle
    // during the next burst.
    const is_odd_period = Math.floor(fleet.clock.now() / PERIOD_MS) % 2 === 1;
    const is_low_use = !history.uses_all && !is_odd_period &&
      fleet.random() < 0.8;
    const used = is_low_use ? 0.1 * tokens : tokens;
    const is_long = is_low_use || fleet.random() < 0.3;
    const run_ms = is_long ? PERIOD_MS * (0.9 + 0.3 * fleet.random()) : 50;
    // Requests reserved at the start of a burst wait, so that they arrive
    // together with those reserved later. Some requests wait until their
    // reservation is no longer valid and must not be sent.
    const align_ms = Math.max(0, BURST_START_MS + 180 - phase_ms);
    const on_time_ms = history.is_bursty ? align_ms : 200 * fleet.random();
    const wait_ms = fleet.random() < 0.2 ? PERIOD_MS : on_time_ms;
    const index = Math.floor(NODES * fleet.random());
    void fleet.serve(index, { tokens, used, run_ms, wait_ms });
  }
}

/** Runs a history and returns the largest excess of any window. */
async function runHistory(history: History, mutation: Mutation = {}) {
  const { loss, seed } = history;
  const message_faults = { loss, duplicate: loss, delay_ms: 4, slow: 0.05 };
  const fleet = new SimulatedFleet({
    ...{ seed, nodes: NODES, message_faults, workspace: WORKSPACE },
    view_lag_ms: history.lag_ms,
    ...mutation,
  });
  void offerLoad(fleet, history);
  for (const incident of history.incidents) void applyIncident(fleet, incident);
  await fleet.clock.runUntil(DURATION_MS + 5_000);
  return { fleet, excess: worstExcess(fleet.arrivals, WORKSPACE) };
}

test(`windows stay within the limits under faults (seed ${SEED})`, async () => {
  let granted = 0;
  await fc.assert(
    fc.asyncProperty(history, async (history) => {
      const { fleet, excess } = await runHistory(history);
      granted += fleet.granted;
      expect(excess).toBeLessThan(TOLERANCE);
    }),
    { seed: SEED, numRuns: 150 },
  );
  expect(granted).toBeGreaterThan(150 * 20);
});

/** Settles reservations with 0 that were not settled within 500 ms. */
class EarlyReturnBucket extends ShareBucket {
  #unsettled: { at: number; reservation: ShareReservation }[] = [];
  override reserve(tokens: number, now: number): ShareReservation {
    for (const row of this.#unsettled.filter((row) => now - row.at > 500)) {
      this.settle(row.reservation, { used: 0, now });
    }
    this.#unsettled = this.#unsettled.filter((row) => now - row.at <= 500);
    const reservation = super.reserve(tokens, now);
    this.#unsettled.push({ at: now, reservation });
    return reservation;
  }
}

/** Creates a bucket that starts full. */
function createFullBucket(limits: ShareLimits, now: number): ShareBucket {
  const bucket = new ShareBucket(limits, now);
  bucket.importShare({ level: limits.capacity, limits }, now);
  return bucket;
}

/** Creates a bucket whose capacity makes no allowance for the validity
 * period. */
function createWithoutAllowance(limits: ShareLimits, now: number): ShareBucket {
  const capacity = limits.capacity +
    limits.rate * reservationValidityMs(WORKSPACE) / 1_000;
  return new ShareBucket({ ...limits, capacity }, now);
}

/** Returns tokens again for each repeat of a settlement. */
class RepeatingShares extends RateShares {
  readonly #requests = new Map<string, { slot: number; granted: number }>();
  override reserve(request: Parameters<RateShares["reserve"]>[0]) {
    if (request.x !== undefined) this.settle({ x: request.x });
    const { x: _, ...rest } = request;
    const reply = super.reserve(rest);
    this.#requests.set(request.i, {
      slot: request.s[0] ?? 0,
      granted: reply.g,
    });
    return reply;
  }
  override settle(batch: SettleBatch): void {
    super.settle(batch);
    for (const { i, u } of batch.x) {
      const request = this.#requests.get(i);
      if (request === undefined || request.granted <= u) continue;
      const id = `${i}!`;
      super.reserve({ w: "w", i: id, n: 1e-9, s: [request.slot] });
      super.settle({ x: [{ i: id, u: u - request.granted }] });
    }
  }
}

const mutations: readonly (readonly [string, Mutation])[] = [
  ["returns of unused tokens up to the capacity", {
    create_bucket: (limits, now) => new NaiveBucket(limits, now),
  }],
  ["no allowance for the validity period", {
    create_bucket: createWithoutAllowance,
  }],
  ["a full bucket at takeover", { create_bucket: createFullBucket }],
  ["the return of reservations that are not settled in time", {
    create_bucket: (limits, now) => new EarlyReturnBucket(limits, now),
  }],
  ["a return for each repeat of a settlement", {
    create_shares: (deps) => new RepeatingShares(deps),
  }],
];

test.each(mutations)("the window check detects %s", async (_name, mutation) => {
  const outcome = await fc.check(
    fc.asyncProperty(history, async (history) => {
      const { excess } = await runHistory(history, mutation);
      return excess < TOLERANCE;
    }),
    { seed: SEED, numRuns: 60, endOnFailure: true },
  );
  expect(outcome.failed).toBe(true);
});

test("lowered limits hold once every holder has applied them", async () => {
  const message_faults = { loss: 0, duplicate: 0, delay_ms: 4, slow: 0 };
  const options = {
    seed: SEED,
    nodes: NODES,
    message_faults,
    workspace: WORKSPACE,
  };
  const fleet = new SimulatedFleet(options);
  const steady = {
    load: 20,
    is_bursty: false,
    uses_all: false,
    loss: 0,
    lag_ms: 0,
  };
  void offerLoad(fleet, { ...steady, seed: SEED, incidents: [] });
  await fleet.clock.runUntil(4_000);
  fleet.workspace = { ...WORKSPACE, rate: 200, burst: 400 };
  for (const node of fleet.nodes) {
    await fleet.clock.runUntil(fleet.clock.now() + 300);
    node.shares.setWorkspaces([fleet.workspace]);
  }
  const since = fleet.clock.now() + reservationValidityMs(WORKSPACE);
  await fleet.clock.runUntil(DURATION_MS);
  const late_arrivals = fleet.arrivals.filter((arrival) => arrival.at > since);
  expect(late_arrivals.length).toBeGreaterThan(10);
  expect(worstExcess(late_arrivals, fleet.workspace)).toBeLessThan(TOLERANCE);
});

test("small token counts are reserved in fractions of a token", async () => {
  const message_faults = { loss: 0, duplicate: 0, delay_ms: 4, slow: 0 };
  const countGranted = async (slots: readonly number[]) => {
    const workspace = { name: "~weights", rate: 6, burst: 2, slots };
    const options = {
      seed: SEED,
      nodes: slots.length,
      message_faults,
      workspace,
    };
    const fleet = new SimulatedFleet(options);
    await fleet.clock.runUntil(2_000);
    const request = { tokens: 1, used: 1, run_ms: 10 };
    for (let i = 0; i < 200; i++) {
      void fleet.serve(i % slots.length, request);
      await fleet.clock.runUntil(2_000 + i * 100);
    }
    await fleet.clock.runUntil(30_000);
    expect(worstExcess(fleet.arrivals, workspace)).toBeLessThan(TOLERANCE);
    return fleet.granted;
  };
  const central = await countGranted([0]);
  const shared = await countGranted([0, 1, 2]);
  console.log(`loads granted: ${shared} by 3 shares, ${central} by one`);
  expect(shared).toBeGreaterThan(0.8 * central);
});
