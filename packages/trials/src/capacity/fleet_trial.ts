/** Measures a fleet of one size: idle, during configuration changes, a kill, a
 * join and a graceful leave.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { FLEET_SIZES, IDLE_WINDOW_MS } from "./constants.ts";
import { DaemonFleet } from "./daemon_fleet.ts";
import type { FleetUsage } from "./fleet_usage.ts";
import { adapterObjects, baseObjects } from "./synthetic.ts";

const EVENT_IN_FORCE = 700;
const EVENT_MEMBER_REMOVED = 303;
/** Number of changes published in one trial. */
export const CHANGE_COUNT = 5;
const CHANGE_GAP_MS = 2_500;
const TAKE_OVER_TIMEOUT_MS = 30_000;
const SETTLE_MS = 6_000;
const POLL_MS = 200;

/** Figures of a fleet of one size. */
export interface FleetFigures {
  readonly daemons: number;
  readonly idle: FleetUsage;
  /** Usage while {@linkcode CHANGE_COUNT} changes were published. */
  readonly changes: FleetUsage;
  /** Time from each publication until the change was in force on the last
   * instance. */
  readonly in_force_ms: readonly number[];
  readonly kill: FleetUsage;
  /** Time from the kill until the fleet removed the member and reassigned its
   * slots. */
  readonly take_over_ms: number;
  readonly join: FleetUsage;
  readonly leave: FleetUsage;
}

/** Time from `since` until the last daemon logged that the generation or a
 * later one is in force, in milliseconds; infinite if a daemon logged none. */
function maxInForceDelayMs(
  fleet: DaemonFleet,
  change: { readonly since: number; readonly generation: number },
): number {
  const delays_ms = fleet.logLines(EVENT_IN_FORCE, change.since).map(
    (lines) => {
      const line = lines.find((row) =>
        Number(row["generation"]) >= change.generation
      );
      return line === undefined ? Infinity : line.time - change.since;
    },
  );
  return Math.max(...delays_ms);
}

async function publishChanges(fleet: DaemonFleet): Promise<readonly number[]> {
  const { client, close } = fleet.operator(0);
  const delays_ms: number[] = [];
  for (let i = 0; i < CHANGE_COUNT; i++) {
    const put = adapterObjects(i).map((object) => ({ object, base: null }));
    const since = Date.now();
    const reply = await client.operator.publish.mutate({ put, remove: [] });
    if (reply.error !== undefined) throw new Error(JSON.stringify(reply.error));
    await sleep(CHANGE_GAP_MS);
    const generation = (await client.operator.status.query()).generation;
    delays_ms.push(maxInForceDelayMs(fleet, { since, generation }));
  }
  close();
  return delays_ms;
}

async function publishBaseObjects(fleet: DaemonFleet): Promise<void> {
  const { client, close } = fleet.operator(0);
  const put = baseObjects().map((object) => ({ object, base: null }));
  const reply = await client.operator.publish.mutate({ put, remove: [] });
  if (reply.error !== undefined) throw new Error(JSON.stringify(reply.error));
  close();
}

async function killDaemon(fleet: DaemonFleet, index: number): Promise<number> {
  const since = Date.now();
  await fleet.daemon(index).kill();
  while (Date.now() < since + TAKE_OVER_TIMEOUT_MS) {
    const removed = fleet.logLines(EVENT_MEMBER_REMOVED, since).flat();
    const first = removed[0];
    if (first !== undefined) return first.time - since;
    await sleep(POLL_MS);
  }
  return Infinity;
}

/** Measures a fleet of one size from its start to its end. */
export async function measureFleet(daemons: number): Promise<FleetFigures> {
  const fleet = await DaemonFleet.start({ daemons });
  try {
    await publishBaseObjects(fleet);
    await sleep(SETTLE_MS);
    const idle = await fleet.measureIdle(IDLE_WINDOW_MS);
    let in_force_ms: readonly number[] = [];
    const changes = await fleet.measure(async () => {
      in_force_ms = await publishChanges(fleet);
    });
    let take_over_ms = Infinity;
    const kill = await fleet.measure(async () => {
      take_over_ms = await killDaemon(fleet, daemons - 1);
      await sleep(SETTLE_MS);
    });
    const join = await fleet.measure(async () => {
      await fleet.startDaemon(daemons - 1);
      await fleet.waitUntilBalanced(daemons);
      await sleep(SETTLE_MS);
    });
    const leave = await fleet.measure(async () => {
      await fleet.daemon(daemons - 1).stop(TAKE_OVER_TIMEOUT_MS);
      await sleep(SETTLE_MS);
    });
    return {
      daemons,
      idle,
      changes,
      in_force_ms,
      kill,
      take_over_ms,
      join,
      leave,
    };
  } finally {
    await fleet.close();
  }
}

/** Starts fleets of all sizes one after another. */
export async function measureFleets(): Promise<readonly FleetFigures[]> {
  const rows: FleetFigures[] = [];
  for (const daemons of FLEET_SIZES) rows.push(await measureFleet(daemons));
  return rows;
}
