/** `npm run matrix`: faults at steps, judged from outside.
 *
 * Ends with 0 if every cell held, with 1 if one did not, and with 2 if there
 * is no such cell. With `--mutation` the cells are expected to break.
 *
 * @module
 */
import sade from "sade";
import { createRandom } from "../harness/random.ts";
import { chooseCells } from "./cells.ts";
import { findMutation } from "./mutations/all.ts";
import { mutationEnvironment } from "./mutations/mutation.ts";
import { type CellResult, MatrixRunner } from "./runner.ts";
import { formatCell, formatTable, writeResults } from "./table.ts";

interface CliOptions {
  readonly seed: number;
  readonly only?: string;
  readonly fault?: string;
  readonly step?: string;
  readonly mutation?: string;
  readonly json: string;
  readonly quick?: boolean;
  readonly sample?: number;
}

const DEFAULT_SEED = 20_261_204;
const EXIT_BROKEN = 1;
const EXIT_USAGE = 2;

async function run(flags: CliOptions): Promise<number> {
  const seed = Number(flags.seed);
  const count = flags.sample;
  const cells = chooseCells({
    property: flags.only,
    step: flags.step,
    fault: flags.fault,
    quick: flags.quick,
    sample: count === undefined
      ? undefined
      : { count, random: createRandom(seed) },
  });
  console.log(`seed ${seed}, ${cells.length} cells`);
  const { mutation } = flags;
  const env = mutation === undefined
    ? undefined
    : mutationEnvironment(findMutation(mutation));
  const results: CellResult[] = [];
  const runner = new MatrixRunner({
    seed,
    ...(env === undefined ? {} : { daemon_env: env }),
    onResult: (result) => {
      results.push(result);
      console.log(formatCell(result));
    },
  });
  process.once("SIGINT", () => {
    void runner.close().then(() => process.exit(EXIT_BROKEN));
  });
  await runner.run(cells);
  console.log(`\n${formatTable(results)}`);
  await writeResults(flags.json, { seed, mutation, results });
  return results.every((row) => row.state === "held") ? 0 : EXIT_BROKEN;
}

sade("matrix", true)
  .option("--seed", "Seed of every random choice", DEFAULT_SEED)
  .option("--only", "Only this property")
  .option("--fault", "Only this fault: NAME, NAME*2 or NAME+NAME")
  .option("--step", "Only this step")
  .option("--mutation", "Break the daemons by this mutation")
  .option("--json", "File of the results", "out/matrix.json")
  .option("--quick", "Only the fixed part that CI runs")
  .option("--sample", "Only so many cells, drawn by the seed")
  .action((flags: CliOptions) => {
    run(flags).then((code) => process.exit(code), (cause) => {
      console.error(cause instanceof Error ? cause.message : cause);
      process.exit(EXIT_USAGE);
    });
  })
  .parse(process.argv);
