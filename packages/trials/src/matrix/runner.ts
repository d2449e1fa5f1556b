/** Runs cells one after another and collects their results.
 *
 * @module
 */
import { createRandom } from "../harness/random.ts";
import { findFault } from "./faults/all.ts";
import type { PropertyTrial, Verdict } from "./property_trial.ts";
import { World } from "./world.ts";

/** A cell of the matrix: a property, a step and a fault. */
export interface CellSpec {
  readonly property: PropertyTrial;
  readonly step: string;
  readonly fault: string;
}

/** How a cell ended: `held` and `broken` concern the property, `not_reached`
 * means that the step was not reached, `failed` that the cell itself failed or
 * timed out. */
export type CellState = "held" | "broken" | "not_reached" | "failed";

/** The result of one cell, as written to the JSON file. */
export interface CellResult {
  readonly property: string;
  readonly step: string;
  readonly fault: string;
  readonly state: CellState;
  readonly violations: readonly string[];
  readonly counts: Readonly<Record<string, number>>;
  readonly ms: number;
}

/** Options of a `MatrixRunner`. */
export interface RunnerOptions {
  readonly seed: number;
  /** Extra environment variables of the daemons, for example a mutation's. */
  readonly daemon_env?: Readonly<Record<string, string>>;
  /** Called after each cell. */
  readonly onResult?: (result: CellResult) => void;
}

const CELL_TIMEOUT_MS = 90_000;

function stateOf(verdict: Verdict): CellState {
  if (verdict.violations.length > 0) return "broken";
  return verdict.is_reached ? "held" : "not_reached";
}

/** Derives a cell's seed from its name, so that its random numbers do not
 * depend on which other cells run. */
function seedOf(seed: number, cell: CellSpec): number {
  const text = `${cell.property.name}/${cell.step}/${cell.fault}`;
  return [...text].reduce(
    (sum, char) => (Math.imul(sum, 31) + char.charCodeAt(0)) | 0,
    seed,
  );
}

function startTimeout(
  ms: number,
): { promise: Promise<never>; clear: () => void } {
  let timer: NodeJS.Timeout | undefined;
  const promise = new Promise<never>((_, reject) => {
    const onTimeout = () =>
      reject(new Error(`the cell took longer than ${ms} ms`));
    timer = setTimeout(onTimeout, ms);
  });
  return { promise, clear: () => clearTimeout(timer) };
}

/** Runs consecutive cells of a property on one cluster. Starts a new cluster if
 * a cell failed or the cluster cannot be reset. */
export class MatrixRunner {
  readonly #options: RunnerOptions;
  #world: World | undefined;

  constructor(options: RunnerOptions) {
    this.#options = options;
  }

  /** Runs cells in order and then stops the cluster. */
  async run(cells: readonly CellSpec[]): Promise<readonly CellResult[]> {
    const results: CellResult[] = [];
    let property: PropertyTrial | undefined;
    for (const cell of cells) {
      if (cell.property !== property) await this.close();
      property = cell.property;
      const result = await this.#runCell(cell);
      results.push(result);
      this.#options.onResult?.(result);
    }
    await this.close();
    return results;
  }

  /** Stops the cluster if one is running. */
  async close(): Promise<void> {
    const world = this.#world;
    this.#world = undefined;
    await world?.close();
  }

  async #runCell(cell: CellSpec): Promise<CellResult> {
    const start = performance.now();
    const timeout = startTimeout(CELL_TIMEOUT_MS);
    const row = { property: cell.property.name, step: cell.step };
    const finish = (
      rest: Pick<CellResult, "state" | "violations" | "counts">,
    ) => {
      const ms = Math.round(performance.now() - start);
      return { ...row, fault: cell.fault, ms, ...rest };
    };
    try {
      const verdict = await Promise.race([
        this.#runProperty(cell),
        timeout.promise,
      ]);
      const { violations, counts } = verdict;
      return finish({ state: stateOf(verdict), violations, counts });
    } catch (cause) {
      await this.close();
      const violations = [String(cause)];
      return finish({ state: "failed", violations, counts: {} });
    } finally {
      timeout.clear();
    }
  }

  async #runProperty(cell: CellSpec): Promise<Verdict> {
    const random = createRandom(seedOf(this.#options.seed, cell));
    const world = await this.#prepareWorld(cell, random);
    const fault = findFault(cell.fault);
    const verdict = await cell.property.run({
      world,
      step: cell.step,
      fault,
      random,
    });
    const violations = [...verdict.violations, ...world.crashes()];
    return { ...verdict, violations };
  }

  async #prepareWorld(cell: CellSpec, random: () => number): Promise<World> {
    const { daemon_env } = this.#options;
    if (this.#world !== undefined) {
      try {
        await this.#world.reset();
        return this.#world;
      } catch {
        await this.close();
      }
    }
    this.#world = await World.start({
      random,
      cluster: {
        ...cell.property.clusterOptions(),
        ...(daemon_env === undefined ? {} : { daemon_env }),
      },
    });
    return this.#world;
  }
}
