/** `npm run soak`: faults from outside against the real gateways.
 *
 * Ends with 0 if every promise held under every seed, else with 1; a failed
 * seed leaves its logs in `out/soak`.
 *
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import sade from "sade";
import { runSoak } from "./soak.ts";

interface Flags {
  readonly seed?: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly gateways: number;
  readonly engines: number;
}

const PLAIN_SERVICES = 2;
const FRESH_SEEDS = 1_000_000;

sade("soak", true)
  .describe("Runs gateways as processes and injects faults, seed by seed.")
  .option("--seed", "First seed; a fresh one by default")
  .option("--seeds", "How many seeds, one after another", 1)
  .option("--seconds", "Seconds of faults for each seed", 20)
  .option("--gateways", "Gateways", 5)
  .option("--engines", "Engines with adapters", 4)
  .action(async (flags: Flags) => {
    const first = Number(flags.seed ?? Math.floor(Math.random() * FRESH_SEEDS));
    let failed = 0;
    for (let i = 0; i < Number(flags.seeds); i++) {
      const result = await runSoak({
        seed: first + i,
        faultPhaseMs: Number(flags.seconds) * 1000,
        size: {
          gateways: Number(flags.gateways),
          engines: Number(flags.engines),
          plain: PLAIN_SERVICES,
        },
      });
      const { seed, violations, sent, served, faults, logs, unserved } = result;
      const verdict = violations.length === 0 ? "held" : "BROKEN";
      console.log(
        `${verdict} seed ${seed}: ${faults.length} faults, ` +
          `${served} of ${sent} served; at the end unserved: ` +
          JSON.stringify(unserved),
      );
      for (const text of violations.slice(0, 10)) console.log(`  ${text}`);
      if (violations.length === 0) continue;
      failed += 1;
      mkdirSync("out/soak", { recursive: true });
      const lines = [...violations, ...faults, ...logs];
      writeFileSync(`out/soak/${seed}.txt`, lines.join("\n"));
    }
    process.exit(failed === 0 ? 0 : 1);
  })
  .parse(process.argv);
