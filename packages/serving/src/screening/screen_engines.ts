/** Decides which engines a request may be sent to, before any is preferred.
 *
 * @module
 */
import type { EngineRoom } from "../engine_limits.ts";
import type { EngineView } from "../engine_table.ts";
import { allowsRegion, type HomeRegions } from "../residency/residency.ts";

/** Time that the links to an engine and back take, above which other engines are
 * used if there are any, in milliseconds. Callers leave at any time, and a
 * request that arrives long after that is work for nobody. */
export const SLOW_PATH_MS = 400;

/** Why an engine is not used for a request. */
export type Exclusion =
  /** Its software has another version than the one that began the stream. */
  | "software_version"
  /** It was tried before. */
  | "tried"
  | "leaving"
  /** Its region is none of the request's homes. */
  | "residency"
  /** Its zone is evacuated. */
  | "evacuated"
  /** Its owner gets no response from it, unless that is true of all. */
  | "down"
  /** Its limit, its warm-up or its pause leaves this instance no request now. */
  | "closed"
  /** Its response cannot arrive before the deadline. */
  | "too_late"
  /** The links to it are slow, unless all are. */
  | "slow_path";

/** Why a request can be sent to no engine. */
export type NoEngineReason =
  | "no_engine"
  /** No engine has the version of the software that the stream needs. */
  | "no_version"
  | "residency"
  | "evacuated"
  | "limited"
  | "too_late";

/** What a request asks of the engines that may serve it. */
export interface ScreeningRequirements {
  /** Keys of engines that were already tried. */
  readonly excludedEngines: ReadonlySet<string>;
  /** The regions in which the request may be served. */
  readonly homes?: HomeRegions;
  /** The only version of the engines' software that may serve; undefined for
   * any. */
  readonly softwareVersion?: string | undefined;
  /** Time until the request's deadline, in milliseconds. */
  readonly timeLeftMs: number;
}

/** What is known of engines and the ways to them. */
export interface ScreeningContext {
  readonly regionOf: (zone: string) => string | undefined;
  /** Whether a zone's engines must get no request. */
  readonly isEvacuated?: (zone: string) => boolean;
  /** How the engine's own limit on requests allows it to be used. */
  readonly roomOf: (engineKey: string) => EngineRoom;
  /** Time that the links to a zone and back take at present, in
   * milliseconds. */
  readonly linkMs: (zone: string) => number;
  readonly now: number;
}

interface Stage {
  readonly exclusion: Exclusion;
  /** The reason of the refusal if no engine is left; undefined for a preference,
   * which is dropped if no engine meets it. */
  readonly reason: NoEngineReason | undefined;
  readonly admits: (
    view: EngineView,
    requirements: ScreeningRequirements,
    context: ScreeningContext,
  ) => boolean;
}

/** What decides whether an engine may get a request at all. */
type PermissionRequirements = Pick<
  ScreeningRequirements,
  "homes" | "softwareVersion"
>;

/** Whether one rule allows an engine. */
type PermissionRule = (
  view: EngineView,
  requirements: PermissionRequirements,
  context: Pick<ScreeningContext, "regionOf" | "isEvacuated">,
) => boolean;

const isInHomes: PermissionRule = ({ engine }, { homes }, { regionOf }) =>
  allowsRegion(homes, regionOf(engine.zone));

const isInUse: PermissionRule = ({ engine }, _, { isEvacuated }) =>
  isEvacuated?.(engine.zone) !== true;

const isOfVersion: PermissionRule = ({ engine }, { softwareVersion }) =>
  softwareVersion === undefined || engine.softwareVersion === softwareVersion;

const STAGES: readonly Stage[] = [
  {
    exclusion: "software_version",
    reason: "no_version",
    admits: isOfVersion,
  },
  {
    exclusion: "tried",
    reason: "no_engine",
    admits: ({ engine }, { excludedEngines }) =>
      !excludedEngines.has(engine.key),
  },
  {
    exclusion: "leaving",
    reason: "no_engine",
    admits: ({ engine }) => !engine.leaving,
  },
  {
    exclusion: "residency",
    reason: "residency",
    admits: isInHomes,
  },
  {
    exclusion: "evacuated",
    reason: "evacuated",
    admits: isInUse,
  },
  {
    // If every engine is reported unresponsive, the reports are more likely wrong
    // than the engines.
    exclusion: "down",
    reason: undefined,
    admits: ({ down }) => !down,
  },
  {
    exclusion: "closed",
    reason: "limited",
    admits: ({ engine }, _, { roomOf }) => roomOf(engine.key) !== "closed",
  },
  {
    exclusion: "too_late",
    reason: "too_late",
    admits: (view, { timeLeftMs }, context) =>
      earliestResponseMs(view, context) < timeLeftMs,
  },
  {
    exclusion: "slow_path",
    reason: undefined,
    admits: ({ engine }, _, { linkMs }) => linkMs(engine.zone) < SLOW_PATH_MS,
  },
];

/** The engines that remain, or why there is none. */
export type Screening =
  | { readonly kind: "usable"; readonly views: readonly EngineView[] }
  | { readonly kind: "none"; readonly reason: NoEngineReason };

/** Finds the engines of `views` to which a request may be sent. `onExcluded` is
 * called for each of the others.
 *
 * @example
 * ```ts
 * const screening = screenEngines(views, requirements, context);
 * if (screening.kind === "none") refuse(screening.reason);
 * ```
 */
export function screenEngines(
  views: readonly EngineView[],
  requirements: ScreeningRequirements,
  context: ScreeningContext & {
    readonly onExcluded?: (view: EngineView, exclusion: Exclusion) => void;
  },
): Screening {
  let remaining = views;
  if (views.length === 0) return { kind: "none", reason: "no_engine" };
  for (const { exclusion, reason, admits } of STAGES) {
    const admitted = remaining.filter((view) =>
      admits(view, requirements, context)
    );
    if (admitted.length === remaining.length) continue;
    if (admitted.length === 0 && reason === undefined) continue;
    if (context.onExcluded !== undefined) {
      const kept = new Set(admitted);
      for (const view of remaining) {
        if (!kept.has(view)) context.onExcluded(view, exclusion);
      }
    }
    if (admitted.length === 0 && reason !== undefined) {
      return { kind: "none", reason };
    }
    remaining = admitted;
  }
  return { kind: "usable", views: remaining };
}

/** Whether a request may be sent to an engine at all: its region is a home, its
 * zone is not evacuated, and its software fits what was sent so far. */
export function isPermitted(
  view: EngineView,
  requirements: PermissionRequirements,
  context: Pick<ScreeningContext, "regionOf" | "isEvacuated">,
): boolean {
  return isInHomes(view, requirements, context) &&
    isInUse(view, requirements, context) &&
    isOfVersion(view, requirements, context);
}

/** Time until an engine's response begins at the earliest, in milliseconds.
 *
 * @example
 * ```ts
 * if (earliestResponseMs(view, context) >= timeLeftMs) refuse();
 * ```
 */
export function earliestResponseMs(
  view: EngineView,
  { linkMs, now }: Pick<ScreeningContext, "linkMs" | "now">,
): number {
  return Math.max(linkMs(view.engine.zone), view.path.delayMs(now));
}
