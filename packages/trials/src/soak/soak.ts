/** One soak: the real gateways as processes, faults by seed, judged from what
 * callers got and what engines saw.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { createRandom } from "../harness/random.ts";
import { SoakCaller } from "./callers.ts";
import { runFaults } from "./faults.ts";
import { type Attempt, judgeSoak } from "./judge.ts";
import { ORDER_GAP_MS, type SoakSize, SoakWorld, ZONES } from "./world.ts";

const CALLERS = 10;
const ADAPTERS = 40;

/** Time before the first fault, in milliseconds: engines get their owners. */
const WARM_MS = 4500;

/** Time after the last fault until everything must be served again, in
 * milliseconds: a lapsed owner's term and its successor's wait are in it. */
const SETTLE_MS = 12_000;

const CALM_MS = 3000;

/** A withdrawn key is refused this long after the store accepted the change. */
const WITHDRAWN_AFTER_MS = 2500;

const WITHDRAWN = { workspace: "w2", key: "key-2b" } as const;

/** What a soak showed. */
export interface SoakResult {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly faults: readonly string[];
  readonly sent: number;
  readonly served: number;
  /** How the requests of the calm end were answered that were not served. */
  readonly unserved: Readonly<Record<string, number>>;
  readonly logs: readonly string[];
}

/** Runs a soak with `forMs` of faults. */
export async function runSoak(
  options: {
    readonly seed: number;
    readonly forMs: number;
    readonly size: SoakSize;
  },
): Promise<SoakResult> {
  const { seed, forMs, size } = options;
  const random = createRandom(seed);
  const world = new SoakWorld(seed);
  let withdrawnAt = Infinity;
  try {
    await world.start(size);
    const pairs = Object.entries(world.keys)
      .flatMap(([name, keys]) => keys.map((key) => [name, key] as const));
    const callers = Array.from(
      { length: CALLERS },
      (_, i) =>
        new SoakCaller(`c${i}`, {
          random,
          instances: world.instances,
          zones: ZONES,
          model: world.model,
          adapters: ADAPTERS,
          pickKey: () => pairs[Math.floor(random() * pairs.length)] ?? ["", ""],
          keyHeld: (key, since) =>
            key !== WITHDRAWN.key || (since < withdrawnAt &&
              Date.now() < withdrawnAt),
        }),
    );
    await pause(WARM_MS);
    const running = callers.map((caller) => caller.run());
    const faults = await runFaults(world, { random, forMs });
    withdrawnAt = Date.now();
    while (!await world.withdraw(WITHDRAWN.workspace, WITHDRAWN.key)) {
      await pause(300);
    }
    const refusedFrom = Date.now() + WITHDRAWN_AFTER_MS;
    await pause(SETTLE_MS);
    const calmFrom = Date.now();
    await pause(CALM_MS);
    for (const caller of callers) caller.close();
    await Promise.all(running);
    const attempts = callers.flatMap((caller) => caller.attempts);
    const violations = [
      ...judgeSoak({
        attempts,
        records: world.records,
        orderGapMs: ORDER_GAP_MS,
        calmFrom,
      }),
      ...attempts.filter((a) =>
        !a.keyHeld && a.sentAt > Math.max(refusedFrom, calmFrom) &&
        a.status === 200
      ).map((a) => `${a.id} was served with a withdrawn key`),
      ...world.crashes(),
    ];
    return {
      seed,
      violations,
      faults,
      sent: attempts.length,
      served: attempts.filter((a) => a.status === 200 && a.complete).length,
      unserved: countUnserved(attempts.filter((a) => a.sentAt >= calmFrom)),
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
  for (const { kind, status, complete, body, keyHeld } of attempts) {
    if ((status === 200 && complete) || !keyHeld) continue;
    const reason = /"type":"([^"]*)"/.exec(body)?.[1] ?? "";
    const name = `${kind} ${status} ${complete ? "" : "cut "}${reason}`.trim();
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
