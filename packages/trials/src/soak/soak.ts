/** Runs one soak: real gateways as processes, faults chosen by a seed, and
 * checks of the responses that callers received and of the events that engines
 * recorded.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { TRIAL_RATE_WINDOW_MS } from "@banyanlb/platform/stand_in";
import { createRandom } from "../harness/random.ts";
import { type CallerOptions, SoakCaller } from "./callers.ts";
import { runFaults } from "./faults.ts";
import { type Attempt, checkSoak, countsForRecovery } from "./checks.ts";
import { chooseGuilty, toldToEngines } from "./crashing_requests.ts";
import { RepeatingCallers } from "./repeating_callers.ts";
import {
  LIMITED_WORKSPACE,
  LIMITS,
  MODEL,
  ORDER_GAP_MS,
  type SoakSize,
  SoakWorld,
  ZONES,
} from "./world.ts";

const CALLER_COUNT = 10;

/** Ratio of the requests that are sent for the limited workspace. */
const LIMITED_RATIO = 0.5;

/** Ratio of the streams and reads that a caller gives up early. */
const LEAVE_RATIO = 0.1;

const ADAPTER_COUNT = 40;

/** Time before the first fault, in milliseconds, in which instances become the
 * owners of the engines. */
const WARM_UP_MS = 4500;

/** Time after the last fault until requests must be served again, in
 * milliseconds. It covers the lease term of an owner that died and the wait of
 * its successor. */
const RECOVERY_MS = 12_000;

/** The part of that time after the last request that ends an engine, in
 * milliseconds. The engine is started again, listed, and loads its adapters. */
const ENGINE_RECOVERY_MS = 4000;

/** Time for which requests must be served, in milliseconds: one window of the
 * workspace's limit. */
const FINAL_PHASE_MS = TRIAL_RATE_WINDOW_MS;

/** Zone whose engines are behind full links for a part of the recovery, and how
 * long, in milliseconds. */
const FULL_ZONE = "n-b";
const FULL_LINK_MS = 7000;

/** Zone that is evacuated for that time where links are not filled. */
const EVACUATED_ZONE = "s-a";

/** Time after the links became full from which instances must know it, in
 * milliseconds; the number of callers that send more requests from then on, and
 * the ratio of those that they give up early. */
const FULL_LINK_KNOWN_MS = 1500;
const LEAVING_CALLERS = 30;
const LEAVING_RATIO = 0.8;

/** Time from the end of the last fault to the withdrawal of a key, in
 * milliseconds. From then on all instances are within reach. */
const STABLE_MS = 3000;

/** Time after the store accepted the withdrawal of a key from which the key
 * must be refused, in milliseconds. */
const WITHDRAWAL_BOUND_MS = 2500;

/** How long the store's watches hear of no change around the withdrawal, in
 * milliseconds. After that the store loses its history. */
const DEAF_MS = WITHDRAWAL_BOUND_MS + 1500;

/** Time within which the store must accept the withdrawal, in milliseconds. */
const WITHDRAWAL_TIMEOUT_MS = 20_000;

/** Number of engines that name a limit while the rest of the soak is calm, and
 * the limit in requests a second. */
const LIMITED_ENGINES = 1;
const REQUEST_LIMIT = 1.5;

/** Added to the seed for the choice of requests that crash engines, so that the
 * faults of a seed are the same with and without them. */
const CRASHING_SEED_OFFSET = 1_000_000_007;

const UNLIMITED_KEY = ["w1", "key-1"] as const;
const WITHDRAWN_KEY = { workspace: "w2", key: "key-2b" } as const;

/** Outcome of a soak. */
export interface SoakResult {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly faults: readonly string[];
  readonly sent: number;
  readonly served: number;
  /** Counts of the requests after the recovery that were not served, by kind,
   * status and reason. */
  readonly unserved: Readonly<Record<string, number>>;
  readonly logs: readonly string[];
}

/** Runs one soak, which injects faults for `faultPhaseMs`. */
export async function runSoak(
  options: {
    readonly seed: number;
    readonly faultPhaseMs: number;
    readonly size: SoakSize;
    /** Whether callers leave while the links to the engines of a zone are full,
     * in the calm part. */
    readonly fillsLinks: boolean;
    /** Whether the store comes back from older copies in the fault phase. */
    readonly restoresStore?: boolean;
    /** Whether requests that crash engines come again and again. */
    readonly crashingRequests?: boolean;
    /** Whether engines run two software versions, callers take streams up, and
     * gateways are cut off from engines. */
    readonly hasTwoVersions?: boolean;
    /** Main script of a former build of the gateway, which every second one runs
     * until its first restart. */
    readonly formerProgram?: string | undefined;
  },
): Promise<SoakResult> {
  const { seed, faultPhaseMs, size, fillsLinks } = options;
  const { restoresStore = false, hasTwoVersions = false } = options;
  const random = createRandom(seed);
  const crashingRandom = createRandom(seed + CRASHING_SEED_OFFSET);
  const guilty = options.crashingRequests === true
    ? chooseGuilty({
      random: crashingRandom,
      model: MODEL,
      withinMs: faultPhaseMs,
    })
    : [];
  const world = new SoakWorld(seed, {
    crashingRequests: toldToEngines(guilty),
    hasTwoVersions,
    formerProgram: options.formerProgram,
  });
  let withdrawnAtMs = Infinity;
  try {
    await world.start(size);
    const workspaceKeys = Object.entries(world.keys)
      .flatMap(([name, keys]) => keys.map((key) => [name, key] as const));
    const pickKey = () => {
      const isLimited = random() < LIMITED_RATIO;
      const keys = workspaceKeys.filter(([name]) =>
        (name === LIMITED_WORKSPACE) === isLimited
      );
      return keys[Math.floor(random() * keys.length)] ?? ["", ""] as const;
    };
    const createCallers = (
      prefix: string,
      rest: Pick<CallerOptions, "leaveRatio" | "pickKey"> & {
        readonly count: number;
      },
    ) =>
      Array.from(
        { length: rest.count },
        (_, i) =>
          new SoakCaller(`${prefix}${i}`, {
            random,
            instances: world.instances,
            zones: ZONES,
            model: world.model,
            adapters: ADAPTER_COUNT,
            isKeyValidSince: (key, sinceMs) =>
              key !== WITHDRAWN_KEY.key || (sinceMs < withdrawnAtMs &&
                Date.now() < withdrawnAtMs),
            sendsCrashingPart: () => world.sendsCrashingPart,
            takesUp: hasTwoVersions,
            ...rest,
          }),
      );
    const callers = createCallers("c", {
      count: CALLER_COUNT,
      pickKey,
      leaveRatio: LEAVE_RATIO,
    });
    const leavingCallers = createCallers("l", {
      count: fillsLinks ? LEAVING_CALLERS : 0,
      pickKey: () => UNLIMITED_KEY,
      leaveRatio: LEAVING_RATIO,
    });
    await pause(WARM_UP_MS);
    const repeatingCallers = new RepeatingCallers({
      random: crashingRandom,
      instances: world.instances,
      guilty,
    });
    const callerTasks = callers.map((caller) => caller.run());
    callerTasks.push(repeatingCallers.run());
    const faults = await runFaults(world, {
      random,
      durationMs: faultPhaseMs,
      restoresStore,
      hasTwoVersions,
    });
    world.sendsCrashingPart = true;
    await pause(STABLE_MS);
    const calmFromMs = Date.now();
    for (const { process } of world.engines.slice(0, LIMITED_ENGINES)) {
      process.write(String(REQUEST_LIMIT));
    }
    world.store.write("deaf");
    const historyLost = pause(DEAF_MS).then(() =>
      world.store.write("lose_history")
    );
    withdrawnAtMs = Date.now();
    const { workspace, key } = WITHDRAWN_KEY;
    while (!await world.withdraw(workspace, { key, limit: LIMITS.low })) {
      if (Date.now() - withdrawnAtMs > WITHDRAWAL_TIMEOUT_MS) {
        throw new Error(`seed ${seed}: the store accepts no configuration`);
      }
      await pause(300);
    }
    const endEvacuation = fillsLinks
      ? () => Promise.resolve()
      : world.evacuate(EVACUATED_ZONE);
    const refusedFromMs = Date.now() + WITHDRAWAL_BOUND_MS;
    await historyLost;
    if (fillsLinks) world.setZoneLinks(FULL_ZONE, "full");
    await pause(FULL_LINK_KNOWN_MS);
    callerTasks.push(...leavingCallers.map((caller) => caller.run()));
    await pause(FULL_LINK_MS - FULL_LINK_KNOWN_MS);
    for (const caller of leavingCallers) caller.close();
    world.setZoneLinks(FULL_ZONE, "open");
    await endEvacuation();
    await pause(RECOVERY_MS - ENGINE_RECOVERY_MS - FULL_LINK_MS);
    // The trial of a held suspect ends an engine, which must be back before the
    // requests of the final phase count.
    world.sendsCrashingPart = false;
    repeatingCallers.stopGuilty();
    await pause(ENGINE_RECOVERY_MS);
    const recoveredFromMs = Date.now();
    await pause(FINAL_PHASE_MS);
    for (const caller of [...callers, repeatingCallers]) caller.close();
    await Promise.all(callerTasks);
    const attempts = [...callers, ...leavingCallers, repeatingCallers]
      .flatMap((caller) => caller.attempts);
    const limits = world.workspaceLimits;
    const violations = [
      ...checkSoak({
        attempts,
        records: world.records,
        orderGapMs: ORDER_GAP_MS,
        recoveredFromMs,
        calmFromMs,
        limits,
        evacuations: world.evacuations,
      }),
      ...attempts.filter((a) =>
        !a.isKeyValid && a.sentAt > refusedFromMs && a.status === 200
      ).map((a) => `${a.id} was served with a withdrawn key`),
      ...world.describeCrashes(),
    ];
    return {
      seed,
      violations,
      faults,
      sent: attempts.length,
      served: attempts.filter((a) => a.status === 200 && a.complete).length,
      unserved: countUnserved(
        attempts.filter((a) =>
          a.sentAt >= recoveredFromMs && countsForRecovery(a, limits)
        ),
      ),
      logs: violations.length > 0
        ? [...world.records.map((r) => JSON.stringify(r)), ...world.logs()]
        : [],
    };
  } finally {
    await world.close();
  }
}

function countUnserved(
  attempts: readonly Attempt[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { kind, status, complete, body } of attempts) {
    if (status === 200 && complete) continue;
    const reason = /"type":"([^"]*)"/.exec(body)?.[1] ?? "";
    const name = `${kind} ${status} ${complete ? "" : "cut "}${reason}`.trim();
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
