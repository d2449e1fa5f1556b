/** Base class of the trials of properties, and the verdict of a cell.
 *
 * @module
 */
import type { ClusterOptions } from "../harness/cluster.ts";
import type { Fault } from "./faults/fault.ts";
import type { World } from "./world.ts";

/** A running cell of the matrix. */
export interface Cell {
  readonly world: World;
  readonly step: string;
  readonly fault: Fault;
  readonly random: () => number;
}

/** The outcome of a cell that ran to its end. */
export interface Verdict {
  /** Descriptions of violations of the property; empty if it held. */
  readonly violations: readonly string[];
  /** False if the step was not reached. The cell then shows nothing about the
   * property unless there are violations. */
  readonly is_reached: boolean;
  /** Counts for the report, for example of requests served. */
  readonly counts: Readonly<Record<string, number>>;
}

/** Runs the cells of one property. */
export abstract class PropertyTrial {
  /** Name of the property, as given to `--only`. */
  abstract readonly name: string;
  /** Points in the life cycle of a request or change at which faults are
   * injected. */
  abstract readonly steps: readonly string[];
  /** Fixed set of cells that CI runs, as `STEP/FAULT`. */
  abstract readonly quick: readonly string[];
  /** Mutations, each with a cell that it must break, as
   * `MUTATION: STEP/FAULT`. */
  abstract readonly mutations: Readonly<Record<string, string>>;

  /** Cluster options that differ from the defaults of `World.start`. */
  clusterOptions(): Partial<ClusterOptions> {
    return {};
  }

  /** Names of the faults that apply at a step. */
  abstract faultsAt(step: string): readonly string[];

  /** Runs one cell: brings the cluster to the step, injects the fault, lifts
   * it, waits until all work has ended, and checks what callers and targets
   * recorded. */
  abstract run(cell: Cell): Promise<Verdict>;
}
