/** Keeps track of cold engines, and of this instance's share in what they bear.
 *
 * @module
 */
import type { EventLog } from "@banyanlb/core";
import {
  type ColdBounds,
  type ColdEngines,
  type EngineTable,
  type Member,
  type MemberTable,
  WarmUps,
  warmUpShare,
  type WarmUpTerms,
} from "@banyanlb/serving";
import * as events from "./events.ts";

/** What the shares follow from. */
export interface EngineWarmUpOptions {
  readonly self: Member;
  readonly engineTable: EngineTable;
  readonly members: Pick<MemberTable, "isStarting" | "possiblyServing">;
  /** What engines of a service bear while they are cold; undefined if they bear
   * any load. */
  readonly termsOf: (service: string) => WarmUpTerms | undefined;
  readonly regionOf: (zone: string) => string | undefined;
  readonly bounds: ColdBounds;
  readonly log: EventLog;
}

/** The cold engines, as this instance knows them. */
export class EngineWarmUp implements ColdEngines {
  /** What is known of each engine. */
  readonly warmUps: WarmUps;
  readonly #options: EngineWarmUpOptions;

  constructor(options: EngineWarmUpOptions) {
    this.#options = options;
    const { termsOf, log } = options;
    this.warmUps = new WarmUps({
      termsOf,
      onWarmUp: (warmUp) =>
        log.write(events.ENGINE_WARM_UP, {
          ...warmUp,
          share: this.shareOf(warmUp.engine, performance.now()),
        }),
    });
  }

  isCold(engineKey: string, now: number): boolean {
    return this.warmUps.leftMs(engineKey, now) > 0;
  }

  shareOf(engineKey: string, now: number): number {
    const { self, engineTable, members, termsOf, regionOf, bounds } =
      this.#options;
    const engine = engineTable.get(engineKey)?.engine;
    const terms = engine && termsOf(engine.service);
    if (engine === undefined || terms === undefined) return 0;
    // Until it has heard of the others, its share would be too large.
    if (members.isStarting(now)) return 0;
    const place = { zone: engine.zone, region: regionOf(engine.zone) };
    return warmUpShare(self.name, { key: engineKey, place, terms }, {
      sharers: [self, ...members.possiblyServing()],
      bounds,
    });
  }

  /** Reads what the list of engines says. */
  recordList(): void {
    const engines = [...this.#options.engineTable.all()];
    this.warmUps.recordEntries(
      engines.map(({ engine }) => engine),
      performance.now(),
    );
  }

  /** Records what an engine said itself. */
  recordTold(engineKey: string, leftMs: number): void {
    const now = performance.now();
    const told = { leftMs, at: now, source: "engine" as const };
    this.warmUps.recordTold(engineKey, told, now);
  }

  /** Takes the engines of a zone for cold that was evacuated until now. */
  recordReturn(zone: string): void {
    const engines = [...this.#options.engineTable.all()]
      .map(({ engine }) => engine)
      .filter((engine) => engine.zone === zone);
    this.warmUps.recordReturn(engines, performance.now());
  }
}
