/** Command line of the soak (`npm run soak`), which runs real gateways as
 * processes and injects faults from outside.
 *
 * Exits with 0 if every guarantee held under every seed, otherwise with 1. The
 * logs of a failed seed are written to `out/soak`.
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
  readonly fill: boolean;
  readonly restores?: boolean;
  readonly crashes?: boolean;
  readonly versions?: boolean;
  readonly former?: string;
}

const PLAIN_SERVICES = 2;
const FRESH_SEEDS = 1_000_000;

sade("soak", true)
  .describe("Runs gateways as processes and injects faults, seed by seed.")
  .option("--seed", "First seed; random by default")
  .option("--seeds", "Number of seeds, run one after another", 1)
  .option("--seconds", "Seconds of fault injection for each seed", 20)
  .option("--gateways", "Number of gateways", 5)
  .option("--engines", "Number of engines with adapters", 4)
  .option("--no-fill", "Fill no links while callers leave in the calm part")
  .option("--restores", "Let the store come back from older copies")
  .option("--crashes", "Send requests that crash engines again and again")
  .option(
    "--versions",
    "Run engines of two software versions, and cut gateways off from engines",
  )
  .option(
    "--former",
    "Main script of a former build, which every second gateway runs at first",
  )
  .action(async (flags: Flags) => {
    const first = Number(flags.seed ?? Math.floor(Math.random() * FRESH_SEEDS));
    let failed = 0;
    for (let i = 0; i < Number(flags.seeds); i++) {
      const result = await runSoak({
        seed: first + i,
        faultPhaseMs: Number(flags.seconds) * 1000,
        fillsLinks: flags.fill !== false,
        restoresStore: flags.restores === true,
        crashingRequests: flags.crashes === true,
        hasTwoVersions: flags.versions === true,
        formerProgram: flags.former,
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
