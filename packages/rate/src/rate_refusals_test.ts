/** Compares the refusals and messages of shares with those of one central
 * bucket. */
import { expect, test } from "vitest";
import { ShareBucket, type ShareReservation } from "./share_bucket.ts";
import {
  createRandom,
  type FleetOptions,
  SimulatedFleet,
  worstExcess,
} from "./simulated_fleet_test.ts";

const SEED = 20_264;
const NODES = 9;
const DURATION_MS = 600_000;
const WARM_UP_MS = 10_000;
const RATE = 1_000;
const BURST = 4_000;
const MEAN_TOKENS = 200;
const LOAD = 0.95;

interface Trial {
  readonly shares: number;
  readonly is_skewed: boolean;
  /** Ratio of reserved tokens to used tokens. */
  readonly reserve_ratio: number;
  readonly nodes?: number;
  readonly load?: number;
  readonly create_bucket?: FleetOptions["create_bucket"];
}

/** Keeps capacity free for every open reservation, so that all its tokens can
 * be returned. */
class HeadroomBucket extends ShareBucket {
  #reserved_tokens = 0;
  override level(now: number): number {
    return Math.min(
      super.level(now),
      this.limits.capacity - this.#reserved_tokens,
    );
  }
  override reserve(tokens: number, now: number): ShareReservation {
    const reservation = super.reserve(tokens, now);
    this.#reserved_tokens += reservation.granted;
    return reservation;
  }
  override settle(
    reservation: ShareReservation,
    outcome: { readonly used: number; readonly now: number },
  ): void {
    this.#reserved_tokens -= reservation.granted;
    super.settle(reservation, outcome);
  }
}

async function runTrial(trial: Trial) {
  const nodes = trial.nodes ?? NODES;
  const fleet = new SimulatedFleet({
    seed: SEED,
    nodes,
    message_faults: { loss: 0, duplicate: 0, delay_ms: 1, slow: 0 },
    workspace: {
      name: "w",
      rate: RATE,
      burst: BURST,
      slots: Array.from({ length: trial.shares }, (_, slot) => slot),
    },
    ...(trial.create_bucket && { create_bucket: trial.create_bucket }),
  });
  const random = createRandom(SEED);
  const gap_ms = MEAN_TOKENS / (RATE * (trial.load ?? LOAD)) * 1_000;
  const duration_ms = DURATION_MS * LOAD / (trial.load ?? LOAD);
  let now = WARM_UP_MS;
  await fleet.clock.runUntil(now);
  while (now < duration_ms) {
    now += -Math.log(1 - random()) * gap_ms;
    const used = MEAN_TOKENS * (0.5 + random());
    const tokens = used * trial.reserve_ratio;
    const run_ms = 200 + 1_600 * random();
    const chosen = Math.floor(random() * NODES);
    const node = trial.is_skewed ? NODES - 1 : chosen;
    await fleet.clock.runUntil(now);
    void fleet.serve(node % nodes, { tokens, used, run_ms });
  }
  await fleet.clock.runUntil(duration_ms + 10_000);
  const excess = worstExcess(fleet.arrivals, { rate: RATE, burst: BURST });
  expect(excess).toBeLessThan(1e-6);
  const { reserve_calls, granted, refused, settle_calls } = fleet;
  const requests = granted + refused;
  return {
    requests,
    refused,
    messages: (reserve_calls + settle_calls) / requests,
  };
}

const central = { shares: 1, nodes: 1, is_skewed: false };
const rows: Readonly<Record<string, Omit<Trial, "reserve_ratio">>> = {
  "central": central,
  "1 even": { shares: 1, is_skewed: false },
  "3 even": { shares: 3, is_skewed: false },
  "9 even": { shares: 9, is_skewed: false },
  "1 skewed": { shares: 1, is_skewed: true },
  "3 skewed": { shares: 3, is_skewed: true },
  "9 skewed": { shares: 9, is_skewed: true },
  "3 even, load 4": { shares: 3, is_skewed: false, load: 4 },
  "3 even, load 20": { shares: 3, is_skewed: false, load: 20 },
  "central, room held": {
    ...central,
    create_bucket: (limits, at) => new HeadroomBucket(limits, at),
  },
};

test(`refusals near those of a central bucket (seed ${SEED})`, async () => {
  for (const reserve_ratio of [1, 2]) {
    const refused: Record<string, number> = {};
    for (const [name, row] of Object.entries(rows)) {
      const result = await runTrial({ ...row, reserve_ratio });
      refused[name] = result.refused;
      const messages = result.messages.toFixed(2);
      console.log(
        `reserve ${reserve_ratio}x, ${name}: ${result.refused} of ` +
          `${result.requests} refused, ${messages} messages per request`,
      );
    }
    const limit = (refused["central"] ?? 0) + 0.02 * DURATION_MS / 200;
    expect(refused["3 even"]).toBeLessThan(limit);
    expect(refused["3 skewed"]).toBeLessThan(limit);
  }
});
