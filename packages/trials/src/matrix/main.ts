/** `npm run matrix`: injects every fault at every step and checks the result
 * from outside the processes.
 *
 * Exits with 0 if every cell held, with 1 if a cell did not, and with 2 if no
 * cell matches the options. With `--mutation`, cells are expected to break.
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
  .option("--seed", "Seed of all random choices", DEFAULT_SEED)
  .option("--only", "Only this property")
  .option("--fault", "Only this fault: NAME, NAME*2 or NAME+NAME")
  .option("--step", "Only this step")
  .option("--mutation", "Apply this mutation to the daemons")
  .option("--json", "File that the results are written to", "out/matrix.json")
  .option("--quick", "Only the fixed set of cells that CI runs")
  .option("--sample", "Only this many cells, drawn at random by the seed")
  .action((flags: CliOptions) => {
    run(flags).then((code) => process.exit(code), (cause) => {
      console.error(cause instanceof Error ? cause.message : cause);
      process.exit(EXIT_USAGE);
    });
  })
  .parse(process.argv);
