/** Selects the cells of a run.
 *
 * @module
 */
import { properties } from "./properties/all.ts";
import type { PropertyTrial } from "./property_trial.ts";
import type { CellSpec } from "./runner.ts";

/** Selects cells of the matrix. An absent field selects all. */
export interface CellFilter {
  readonly property?: string | undefined;
  readonly step?: string | undefined;
  readonly fault?: string | undefined;
  /** True to select only the fixed set that CI runs. */
  readonly quick?: boolean | undefined;
  /** Random sample of the cells that pass the other filters. */
  readonly sample?: CellSample | undefined;
}

/** Size and random source of a sample of cells. */
export interface CellSample {
  readonly count: number;
  readonly random: () => number;
}

/** Parses `STEP/FAULT` into a cell of `property`. */
export function parseCell(property: PropertyTrial, text: string): CellSpec {
  const [step = "", fault = ""] = text.split("/");
  return { property, step, fault };
}

/** Draws `count` cells at random and keeps their order. */
function pickCells(
  cells: readonly CellSpec[],
  { count, random }: CellSample,
): readonly CellSpec[] {
  const sampled = cells.map((cell) => ({ cell, rank: random() }))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, count);
  const chosen = new Set(sampled.map((row) => row.cell));
  return cells.filter((cell) => chosen.has(cell));
}

function cellsOf(
  property: PropertyTrial,
  quick: boolean,
): readonly CellSpec[] {
  if (quick) return property.quick.map((text) => parseCell(property, text));
  return property.steps.flatMap((step) =>
    property.faultsAt(step).map((fault) => ({ property, step, fault }))
  );
}

/** Returns the cells that match a filter. Throws if none match. */
export function chooseCells(filter: CellFilter): readonly CellSpec[] {
  const cells = properties
    .filter((p) => filter.property === undefined || p.name === filter.property)
    .flatMap((p) => cellsOf(p, filter.quick === true))
    .filter((c) => filter.step === undefined || c.step === filter.step)
    .filter((c) => filter.fault === undefined || c.fault === filter.fault);
  const { sample } = filter;
  if (cells.length > 0 && sample !== undefined) return pickCells(cells, sample);
  if (cells.length > 0) return cells;
  const names = properties.map((p) => `${p.name}: ${p.steps.join(", ")}`);
  throw new Error(`no such cell; properties and steps:\n${names.join("\n")}`);
}
