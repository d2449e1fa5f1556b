/** What the parts of this instance report in rows of digests, and what they learn
 * from the rows of others.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  agedHold,
  type AnswerCounts,
  type BoardRow,
  type CrashReport,
  type DigestBoard,
  type DigestPlane,
  distanceBetween,
  type Engine,
  type EngineLimits,
  type EngineReach,
  type EngineTable,
  type HoldRecord,
  type LimitRecord,
  type Member,
  type PathDelays,
  type Quarantine,
  type ReportRow,
  type RowKind,
  SLOW_PATH_MS,
  type WarmUps,
} from "@banyanlb/serving";
import type { AdapterLoader } from "./adapter_loader.ts";
import * as events from "./events.ts";
import { isHold } from "./quarantine/hold_keeper.ts";
import type { Membership } from "./membership.ts";
import type { HeldRow } from "./peer_messages.ts";
import type { ReaderRoles } from "./reader_roles.ts";
import type { WorkspaceRates } from "./workspace_rates.ts";

/** Time after which measured delays are reported again, in milliseconds: they
 * count for about twice as long. */
const DELAY_REPEAT_MS = 800;

/** Largest number of engines with slow paths that an instance reports. */
const SLOW_ENGINES_MAX = 16;

/** Round trips to regions are reported in steps of this size, in
 * milliseconds. */
const REGION_STEP_MS = 5;

/** Parts of the gateway that report and learn. */
export interface DigestRowsOptions {
  readonly self: Member;
  readonly board: DigestBoard;
  readonly membership: Membership;
  readonly engineTable: EngineTable;
  readonly loader: AdapterLoader;
  readonly rates: WorkspaceRates;
  readonly quarantine: Quarantine;
  readonly limits: EngineLimits;
  readonly warmUps: Pick<WarmUps, "report" | "recordTold">;
  readonly roles: Pick<ReaderRoles, "isStoreReader">;
  readonly pathDelays: PathDelays;
  /** Which engines this instance reaches. What others believe of engines does not
   * follow from its own lack of a path. */
  readonly reach: EngineReach;
  /** The region of a zone. */
  readonly regionOf: (zone: string) => string | undefined;
  /** All regions but this instance's. */
  readonly otherRegions: () => readonly string[];
  readonly log: EventLog;
}

/** The rows of this instance and of its peers. */
export class DigestRows {
  readonly #options: DigestRowsOptions;
  /** Versions of engine list and assignment for which the rows of owners were
   * last applied. */
  #appliedState = "";

  constructor(options: DigestRowsOptions) {
    this.#options = options;
  }

  /** Reports the present rows. */
  publish(plane: DigestPlane, now: number): void {
    const { loader, rates, quarantine, limits, warmUps } = this.#options;
    const { crashes, answers, holds } = quarantine.report(now);
    plane.publish("held", loader.held(), now);
    plane.publish("down", loader.down().map((key) => [key, 1, true]), now);
    plane.publish("rooms", rates.roomRows(now), now);
    plane.publish("crashes", crashes, now);
    plane.publish("answers", answers, now);
    plane.publish("holds", holds, now);
    plane.publish("limits", limits.report(now), now);
    const { isStoreReader } = this.#options.roles;
    plane.publish("warmups", warmUps.report(now, { isStoreReader }), now);
    plane.publish("slow", this.#slowRows(now), now);
    if (plane.isCollector) plane.publish("paths", this.#pathRows(now), now);
  }

  /** Applies the new rows of an instance. A malformed one is left out. */
  apply(from: Member, rows: readonly BoardRow[]): void {
    const now = performance.now();
    for (const row of rows) {
      this.#guard(from, row, () => this.#applyRow(from, row, now));
    }
    const { quarantine } = this.#options;
    const report = {
      crashes: valuesOf<CrashReport>(
        rows,
        "crashes",
        (report, row) =>
          isDuration(report.ageMs) && isDuration(report.knownMs ?? 0) &&
            isListOfTexts(report.suspects)
            ? {
              ...report,
              ageMs: report.ageMs + now - row.madeAt,
              knownMs: (report.knownMs ?? 0) + now - row.madeAt,
            }
            : undefined,
      ),
      answers: valuesOf<AnswerCounts>(
        rows,
        "answers",
        (counts) =>
          Array.isArray(counts) && counts.length === 2 &&
            counts.every(isDuration)
            ? counts
            : undefined,
      ),
      holds: valuesOf<HoldRecord>(
        rows,
        "holds",
        (hold, row) =>
          isHold(hold)
            ? agedHold(hold, Math.round(now - row.madeAt))
            : undefined,
      ),
    };
    if (Object.values(report).every((values) => values === undefined)) return;
    this.#guard(
      from,
      rows[0],
      () => quarantine.receive(from.name, report, now),
    );
  }

  /** Applies the rows of engines' owners, after the list of engines or the
   * assignment has changed: they may have arrived before. */
  applyOwners(): void {
    const { engineTable, membership, board } = this.#options;
    const state = `${engineTable.generation} ${membership.fence}`;
    if (state === this.#appliedState) return;
    this.#appliedState = state;
    for (const { engine } of engineTable.all()) {
      const owner = membership.ownerOf(engine.key);
      const origin = owner === undefined ? undefined : board.get(owner);
      if (origin === undefined) continue;
      for (const kind of ["held", "down"] as const) {
        const row = board.rowOf(origin.member.name, kind, engine.key);
        if (row === undefined) continue;
        this.#guard(
          origin.member,
          row,
          () => this.#applyRow(origin.member, row, performance.now()),
        );
      }
    }
  }

  #applyRow(from: Member, row: BoardRow, now: number): void {
    const { kind, name, value, madeAt } = row;
    const { engineTable, membership, rates, limits, pathDelays, self } =
      this.#options;
    const view = engineTable.get(name);
    const isOwner = membership.ownerOf(name) === from.name;
    switch (kind) {
      case "held": {
        if (view === undefined || !isOwner || value === null) return;
        const held = (value as readonly HeldRow[]).map((
          [adapter, version, readyInMs],
        ) =>
          [adapter, {
            version,
            readyAt: readyInMs === 0 ? 0 : madeAt + readyInMs,
          }] as const
        );
        view.isReportedByOwner = true;
        view.adapters = new Map(held);
        return;
      }
      case "down":
        if (view !== undefined && isOwner) view.down = value === true;
        return;
      case "rooms":
        if (value !== null && !isDuration(value)) return;
        rates.recordRooms(from.name, { [name]: value ?? 0 });
        return;
      case "limits": {
        const { limit, ageMs } = (value ?? {}) as Partial<LimitRecord>;
        if (limit === undefined || !isDuration(ageMs)) return;
        if (limit !== null && !isDuration(limit)) return;
        const record = { limit, ageMs: ageMs + now - madeAt };
        limits.receive({ [name]: record }, now);
        return;
      }
      case "warmups":
        if (!isDuration(value)) return;
        this.#options.warmUps.recordTold(
          name,
          { leftMs: value, at: madeAt, source: "peer" },
          now,
        );
        return;
      case "slow":
        if (view === undefined || !isDuration(value)) return;
        if (this.#isNoFarther(from, view.engine)) {
          view.path.recordReport(value, madeAt);
        }
        return;
      case "paths":
        // Only those nearby measure the same paths.
        if (!isDuration(value) || from.zone !== self.zone) return;
        pathDelays.record(`${from.name} ${name}`, {
          region: name,
          roundTripMs: value,
          intervalMs: DELAY_REPEAT_MS,
          at: madeAt,
        });
        return;
      default:
        return;
    }
  }

  #guard(from: Member, row: BoardRow | undefined, apply: () => void): void {
    try {
      apply();
    } catch (err) {
      this.#options.log.write(events.PEER_ROW_INVALID, {
        peer: from.name,
        kind: row?.kind,
        name: row?.name,
        reason: String(err),
      });
    }
  }

  /** Engines whose path is slow, by this instance's own requests. */
  #slowRows(now: number): readonly ReportRow<number>[] {
    const { reach } = this.#options;
    const rows: ReportRow<number>[] = [];
    const state = Math.floor(now / DELAY_REPEAT_MS);
    for (const { engine, path } of this.#options.engineTable.all()) {
      const delayMs = path.ownDelayMs(now);
      if (delayMs <= SLOW_PATH_MS || reach.isCut(engine.service)) continue;
      rows.push([engine.key, state, Math.round(delayMs)]);
      if (rows.length === SLOW_ENGINES_MAX) break;
    }
    return rows;
  }

  /** Round trips to the other regions. */
  #pathRows(now: number): readonly ReportRow<number>[] {
    const { pathDelays, otherRegions } = this.#options;
    const state = Math.floor(now / DELAY_REPEAT_MS);
    return otherRegions().flatMap((region): readonly ReportRow<number>[] => {
      const delayMs = pathDelays.to(region, now);
      const reportedMs = Math.ceil(delayMs / REGION_STEP_MS) * REGION_STEP_MS;
      return reportedMs === 0 ? [] : [[region, state, reportedMs]];
    });
  }

  /** Whether a path that is slow for the peer is slow for this instance too. */
  #isNoFarther(peer: Member, engine: Engine): boolean {
    const { self, regionOf } = this.#options;
    const place = { zone: engine.zone, region: regionOf(engine.zone) };
    return distanceBetween(peer, place) <= distanceBetween(self, place);
  }
}

/** The values of a kind by name, changed by `adapt`; those that it leaves out are
 * malformed. Undefined if there are none. */
function valuesOf<T>(
  rows: readonly BoardRow[],
  kind: RowKind,
  adapt: (value: T, row: BoardRow) => T | undefined,
): Readonly<Record<string, T>> | undefined {
  const values = rows.flatMap((row): readonly (readonly [string, T])[] => {
    if (row.kind !== kind || typeof row.value !== "object") return [];
    if (row.value === null) return [];
    const value = adapt(row.value as T, row);
    return value === undefined ? [] : [[row.name, value]];
  });
  return values.length === 0 ? undefined : Object.fromEntries(values);
}

function isDuration(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

function isListOfTexts(lists: unknown): boolean {
  return Array.isArray(lists) &&
    lists.every((list) =>
      Array.isArray(list) && list.every((text) => typeof text === "string")
    );
}
