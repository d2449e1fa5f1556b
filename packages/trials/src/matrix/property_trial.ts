/** What a property's trial is, and what its cells yield.
 *
 * @module
 */
import type { ClusterOptions } from "../harness/cluster.ts";
import type { Fault } from "./faults/fault.ts";
import type { World } from "./world.ts";

/** One cell of the matrix as it runs. */
export interface Cell {
  readonly world: World;
  readonly step: string;
  readonly fault: Fault;
  readonly random: () => number;
}

/** What a cell showed. */
export interface Verdict {
  /** What broke the property; none if it held. */
  readonly violations: readonly string[];
  /** False if the step was not reached, so that the cell proves nothing. */
  readonly is_reached: boolean;
  /** What the judge counted. */
  readonly counts: Readonly<Record<string, number>>;
}

/** Runs the cells of one property. */
export abstract class PropertyTrial {
  /** Name for `--only`. */
  abstract readonly name: string;
  /** Points of the lives that the property concerns. */
  abstract readonly steps: readonly string[];
  /** Cells of the fixed part that CI runs, as `STEP/FAULT`. */
  abstract readonly quick: readonly string[];
  /** Mutations that must turn a cell red, as `MUTATION: STEP/FAULT`. */
  abstract readonly mutations: Readonly<Record<string, string>>;

  /** How the cluster differs from the usual one. */
  clusterOptions(): Partial<ClusterOptions> {
    return {};
  }

  /** Names of the faults that apply at a step. */
  abstract faultsAt(step: string): readonly string[];

  /** Runs one cell: brings the world to the step, injects the fault, lifts
   * it, waits for the end and judges from outside. */
  abstract run(cell: Cell): Promise<Verdict>;
}
