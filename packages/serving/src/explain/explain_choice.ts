/** Explains where a request would go now, and why, without sending it.
 *
 * It asks the code that decides: the same screening, the same weights, the same
 * choice.
 *
 * @module
 */
import { fillParts } from "../balance/load_level.ts";
import {
  type AdapterPresence,
  type EngineChooser,
  type EngineRequirements,
  presenceOf,
  type SelectionContext,
  servingAtOnce,
} from "../choose_engine.ts";
import type { EngineView } from "../engine_table.ts";
import { type Exclusion, screenEngines } from "../screening/screen_engines.ts";

/** One engine of the service. */
export interface EngineExplanation {
  readonly engine: string;
  readonly zone: string;
  readonly region: string | undefined;
  readonly softwareVersion: string | undefined;
  /** The rule that leaves it out; undefined if none does. */
  readonly excluded: Exclusion | undefined;
  /** Undefined for requests without an adapter. */
  readonly adapter: AdapterPresence | undefined;
  /** Requests of this instance there. */
  readonly ownLoad: number;
  /** Requests of the others as they were last counted, and how long ago that was,
   * in milliseconds; null if nothing is known of them. */
  readonly othersLoad: number;
  readonly countedMsAgo: number | null;
  /** Requests that are expected there now, the number that it runs at full speed,
   * and what speaks against it beside its load, in multiples of that number. Only
   * of engines that could serve the request at once. */
  readonly expectedLoad: number | undefined;
  readonly capacity: number | undefined;
  readonly penalty: number | undefined;
  /** The chance that it is chosen, in [0, 1]. */
  readonly chance: number;
}

/** Where a request would go. */
export interface ChoiceExplanation {
  readonly decision: "send" | "load" | "refuse";
  /** The engine; undefined for a refusal. */
  readonly engine: string | undefined;
  /** An engine on which the adapter would be loaded as well. */
  readonly spreadTo: string | undefined;
  /** The reason of a refusal. */
  readonly reason: string | undefined;
  /** Requests of the others that are expected to have come since the counts. */
  readonly expectedArrivals: number;
  readonly engines: readonly EngineExplanation[];
}

/** Explains the choice for a request.
 *
 * @example
 * ```ts
 * explainChoice(chooser, requirements, context).decision; // "send"
 * ```
 */
export function explainChoice(
  chooser: EngineChooser,
  requirements: EngineRequirements,
  context: SelectionContext,
): ChoiceExplanation {
  const { service, adapter } = requirements;
  const views = chooser.enginesOf(service);
  const exclusions = new Map<EngineView, Exclusion>();
  const screening = screenEngines(views, requirements, {
    ...context,
    onExcluded: (view, exclusion) => void exclusions.set(view, exclusion),
  });
  const choice = chooser.choose(requirements, context);
  const ready = screening.kind === "none"
    ? []
    : servingAtOnce(screening.views, requirements, context.now);
  const { entries, arrivals } = chooser.weigh(ready, requirements, context);
  const parts = fillParts(entries, arrivals);
  const isPicked = choice.kind === "send" && ready.includes(choice.view);
  return {
    decision: choice.kind === "none" ? "refuse" : choice.kind,
    engine: choice.kind === "none" ? undefined : choice.view.engine.key,
    spreadTo: choice.kind === "send" ? choice.spreadTo?.engine.key : undefined,
    reason: choice.kind === "none" ? choice.reason : undefined,
    expectedArrivals: arrivals,
    engines: views.map((view) => {
      const index = ready.indexOf(view);
      const entry = entries[index];
      const { engine } = view;
      const ageMs = view.othersAgeMs(context.now);
      return {
        engine: engine.key,
        zone: engine.zone,
        region: context.regionOf(engine.zone),
        softwareVersion: engine.softwareVersion,
        excluded: exclusions.get(view),
        adapter: adapter === undefined
          ? undefined
          : presenceOf(view, requirements, context.now),
        ownLoad: view.inFlight,
        othersLoad: view.othersLoad(context.now),
        countedMsAgo: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
        expectedLoad: entry?.load,
        capacity: entry?.capacity,
        penalty: entry?.penalty,
        chance: isPicked
          ? parts[index] ?? 0
          : Number(choice.kind !== "none" && choice.view === view),
      };
    }),
  };
}

/** Writes an explanation as lines of text, engines that are likelier to be chosen
 * first. */
export function formatExplanation(explanation: ChoiceExplanation): string {
  const { decision, engine, spreadTo, reason, expectedArrivals } = explanation;
  const head = decision === "refuse"
    ? `refuse: ${reason}`
    : `${decision === "send" ? "send to" : "load the adapter on"} ${engine}`;
  const spread = spreadTo === undefined
    ? ""
    : `, and load the adapter on ${spreadTo}`;
  const rows = explanation.engines
    .toSorted((a, b) => b.chance - a.chance || (a.engine < b.engine ? -1 : 1))
    .map((row) => [
      row.engine,
      row.region === undefined ? row.zone : `${row.region}/${row.zone}`,
      row.excluded ??
        (row.chance > 0 ? `${Math.round(row.chance * 100)}%` : "-"),
      row.adapter ?? "-",
      `${row.ownLoad}+${row.othersLoad}`,
      row.countedMsAgo === null ? "unknown" : `${row.countedMsAgo} ms`,
      row.expectedLoad === undefined
        ? "-"
        : `${row.expectedLoad.toFixed(1)}/${row.capacity}`,
      row.penalty === undefined ? "-" : row.penalty.toFixed(2),
      row.softwareVersion ?? "-",
    ]);
  const table = [
    [
      "engine",
      "place",
      "chance",
      "adapter",
      "own+others",
      "counted",
      "expected",
      "penalty",
      "version",
    ],
    ...rows,
  ];
  const widths = (table[0] ?? []).map((_, column) =>
    Math.max(...table.map((row) => row[column]?.length ?? 0))
  );
  const lines = table.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
      .trimEnd()
  );
  return [
    `${head}${spread}`,
    `${expectedArrivals.toFixed(1)} requests of other instances are expected ` +
    "to have come since they were counted",
    ...lines,
    "",
  ].join("\n");
}
