/** Decides at which version of the engines' software a stream begins or goes
 * on.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type { EventLog } from "@banyanlb/core";
import {
  adapterKey,
  type EngineTable,
  FIRST_ERA,
  type HomeRegions,
  type OpenStreams,
  poolOf,
  positionOf,
  type RecordStore,
  splitsInUse,
  StoreCallError,
  type StreamReport,
  type StreamTrace,
  takeUpMs,
  type TraceSource,
  traceStream,
  versionAt,
} from "@banyanlb/serving";
import { byDeadline } from "../by_deadline.ts";
import * as events from "../events.ts";
import { SharedRead } from "./shared_read.ts";
import type { SplitAdoption } from "./split_adoption.ts";
import { decodeReport, SPLITS_RECORD_NAME } from "./split_records.ts";

/** How long a stream waits for splits to be adopted before it is refused, in
 * milliseconds. */
const ADOPTION_WAIT_MS = 400;

/** How long a stream waits for the store to show the newest splits before peers
 * are asked, in milliseconds. */
const READ_WAIT_MS = 400;

/** How long a stream that is taken up is tried again while the store replies, in
 * milliseconds, and the pause in between: connections may just have been lost. */
const CONFIRM_WAIT_MS = 1000;
const CONFIRM_PAUSE_MS = 100;

/** A stream that is about to begin or to go on. */
export interface StreamRequest {
  /** The id of this attempt. */
  readonly id: string;
  /** The id of the attempt that began the stream. */
  readonly resumes: string | undefined;
  /** Whether events of the stream have reached the caller. */
  readonly isContinued: boolean;
  readonly service: string;
  readonly homes: HomeRegions;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** How long its caller waits, from `arrivedAt` by the monotonic clock on, in
   * milliseconds. */
  readonly deadlineMs: number | undefined;
  readonly arrivedAt: number;
}

/** Why the version of a stream cannot be told. */
export type UnknownReason =
  | Extract<StreamTrace, { readonly kind: "unknown" }>["reason"]
  /** Splits that move the stream are being adopted. */
  | "unsettled"
  /** This process ends, and has reported its streams. */
  | "leaving"
  /** The store has no report of this process. */
  | "unacknowledged";

/** The version that engines must have for a stream. */
export type StreamDecision =
  /** The service's engines state no version. */
  | { readonly kind: "any" }
  /** It counts as begun from the decision on. */
  | { readonly kind: "begin"; readonly version: string }
  | {
    readonly kind: "go_on";
    readonly version: string;
    readonly source: TraceSource;
  }
  | {
    readonly kind: "unknown";
    readonly reason: UnknownReason;
    /** The processes whose reports are older than the last move of the stream. */
    readonly outdated?: readonly string[];
  };

/** Parts of the gateway that decide on versions. */
export interface StreamVersionsOptions {
  readonly engineTable: EngineTable;
  readonly adoption: SplitAdoption;
  readonly streams: OpenStreams;
  readonly store: Pick<RecordStore, "get" | "list" | "era">;
  /** Whether the store replies to this instance. */
  readonly reachesStore: () => boolean;
  /** Resolves to whether peers confirm that this instance knows the newest
   * splits. */
  readonly confirmWithPeers: () => Promise<boolean>;
  readonly log: EventLog;
}

/** Finds the versions of streams. */
export class StreamVersions {
  readonly #options: StreamVersionsOptions;
  readonly #newestSplits: SharedRead<boolean>;
  readonly #peersConfirm: SharedRead<boolean>;
  readonly #reports: SharedRead<readonly StreamReport[] | undefined>;

  constructor(options: StreamVersionsOptions) {
    this.#options = options;
    this.#newestSplits = new SharedRead(() => this.#readSplits());
    this.#peersConfirm = new SharedRead(() => options.confirmWithPeers());
    this.#reports = new SharedRead(() => this.#readReports());
  }

  /** Decides on a stream. One whose version is not known must be refused: the
   * caller would get an answer joined from two versions. */
  async decide(request: StreamRequest): Promise<StreamDecision> {
    const listed = this.#listedVersions(request.service);
    const pool = poolOf(request.service, request.homes);
    // Engines that are not listed yet may have versions.
    const hasVersions = listed.some((version) => version !== undefined) ||
      this.#options.adoption.known.pools[pool] !== undefined ||
      (request.isContinued && listed.length === 0);
    if (!hasVersions) return { kind: "any" };
    if (request.isContinued) return await this.#trace(request);
    return await this.#begin(request, listed);
  }

  /** The number of engines of a service that have a version. */
  countOf(service: string, version: string): number {
    return this.#options.engineTable.ofService(service)
      .filter(({ engine }) => engine.softwareVersion === version).length;
  }

  /** Whether streams may begin at a version, so that its engines may be back
   * soon if there are none. */
  isInUse(service: string, homes: HomeRegions, version: string): boolean {
    const splits = this.#options.adoption.known.pools[poolOf(service, homes)];
    return splits?.[0]?.ranges.some((range) => range.version === version) ??
      true;
  }

  #listedVersions(service: string): readonly (string | undefined)[] {
    const versions = this.#options.engineTable.ofService(service)
      .map(({ engine }) => engine.softwareVersion);
    return [...new Set(versions)];
  }

  async #begin(
    request: StreamRequest,
    listed: readonly (string | undefined)[],
  ): Promise<StreamDecision> {
    const { adoption, streams } = this.#options;
    const pool = poolOf(request.service, request.homes);
    const { id } = request;
    const position = positionIn(request, id);
    const mayTakeUpMs = takeUpMs(request.deadlineMs);
    if (!adoption.isAcknowledged(mayTakeUpMs)) {
      adoption.acknowledge(mayTakeUpMs);
      await adoption.settled(ADOPTION_WAIT_MS);
    }
    if (!adoption.isAcknowledged(mayTakeUpMs)) {
      return { kind: "unknown", reason: "unacknowledged" };
    }
    for (const mayWait of [true, false]) {
      const { adopted, pending, isEnding } = adoption;
      if (isEnding) return { kind: "unknown", reason: "leaving" };
      const newest = adopted.pools[pool]?.[0];
      const version = newest === undefined && listed.length === 1
        ? listed[0]
        : versionAt(newest, position);
      const isMoving = pending !== undefined &&
        versionAt(pending.pools[pool]?.[0], position) !== version;
      if (!isMoving) {
        if (version === undefined) {
          return { kind: "unknown", reason: "no_split" };
        }
        // No report may be written in between.
        streams.begin(id, { pool, position, version });
        return { kind: "begin", version };
      }
      if (mayWait) await adoption.settled(ADOPTION_WAIT_MS);
    }
    return { kind: "unknown", reason: "unsettled" };
  }

  async #trace(request: StreamRequest): Promise<StreamDecision> {
    const { adoption, streams, reachesStore } = this.#options;
    const { resumes } = request;
    const startedAt = performance.now();
    const remembered = resumes === undefined
      ? undefined
      : streams.versionOf(resumes, startedAt);
    if (remembered !== undefined) {
      return { kind: "go_on", version: remembered, source: "memory" };
    }
    for (;;) {
      const decision = await this.#traceOnce(request);
      const isUnconfirmed = decision.kind === "unknown" &&
        decision.reason === "unconfirmed";
      const mayChange = reachesStore() && !adoption.mayHaveLostSplits &&
        performance.now() - startedAt < CONFIRM_WAIT_MS;
      if (!isUnconfirmed || !mayChange) return decision;
      await pause(CONFIRM_PAUSE_MS);
    }
  }

  /** Finds the version of a stream by splits that are shown to be the newest after
   * the call: this instance may have been cut off, or have stood still, while
   * streams began at a version that it does not know. */
  async #traceOnce(request: StreamRequest): Promise<StreamDecision> {
    const { adoption } = this.#options;
    const { resumes, service, homes } = request;
    const pool = poolOf(service, homes);
    const splits = () => splitsInUse(adoption.known, pool, Date.now());
    const isNewest = await this.#confirmSplits();
    if (!isNewest || adoption.mayHaveLostSplits) {
      return { kind: "unknown", reason: "unconfirmed" };
    }
    const only = singleVersion(splits(), this.#listedVersions(service));
    if (only !== undefined) {
      return { kind: "go_on", version: only, source: "single" };
    }
    if (resumes === undefined) return { kind: "unknown", reason: "unnamed" };
    const stream = {
      id: resumes,
      position: positionIn(request, resumes),
      until: givesUpAt(request),
    };
    let trace = traceStream(stream, splits());
    if (trace.kind === "moved") {
      const reports = await this.#reports.run();
      if (reports === undefined) {
        return { kind: "unknown", reason: "unconfirmed" };
      }
      trace = traceStream(stream, splits(), reports);
    }
    if (trace.kind === "known") return { ...trace, kind: "go_on" };
    if (trace.kind === "moved") {
      return { kind: "unknown", reason: "unreported" };
    }
    const { reason, outdated = [] } = trace;
    return {
      kind: "unknown",
      reason,
      outdated: outdated.flatMap(({ process }) => process ?? []),
    };
  }

  /** Resolves to whether the store, or else most peers, have shown after this call
   * that this instance knows the newest splits. */
  async #confirmSplits(): Promise<boolean> {
    const isRead = this.#options.reachesStore() && await byDeadline(
      this.#newestSplits.run(),
      performance.now() + READ_WAIT_MS,
    );
    return isRead === true || await this.#peersConfirm.run();
  }

  /** Reads the newest splits; returns whether the store has replied. */
  async #readSplits(): Promise<boolean> {
    const { store, adoption, log } = this.#options;
    try {
      adoption.setRecord(await store.get("assignment", SPLITS_RECORD_NAME));
      return true;
    } catch (err) {
      if (!(err instanceof StoreCallError)) throw err;
      log.write(events.SPLITS_NOT_READ, { failure: err.failure });
      return false;
    }
  }

  async #readReports(): Promise<readonly StreamReport[] | undefined> {
    const { store, log } = this.#options;
    try {
      const { records } = await store.list("streams");
      return records.map(({ name, value }) => ({
        ...decodeReport(value, store.era ?? FIRST_ERA),
        process: name,
      }));
    } catch (err) {
      if (!(err instanceof StoreCallError)) throw err;
      log.write(events.SPLITS_NOT_READ, { failure: err.failure });
      return undefined;
    }
  }
}

/** The position of the stream whose first attempt was `id`. */
function positionIn({ model, adapter }: StreamRequest, id: string): number {
  return model === undefined || adapter === undefined
    ? positionOf(id, undefined)
    : positionOf(id, adapterKey(model, adapter));
}

/** When the caller of a request gives up, in milliseconds of Unix time; now at the
 * earliest. */
function givesUpAt({ arrivedAt, deadlineMs = 0 }: StreamRequest): number {
  const leftMs = arrivedAt + deadlineMs - performance.now();
  return Date.now() + Math.max(0, leftMs);
}

/** The only version that splits and listed engines name; undefined if there are
 * more. */
function singleVersion(
  splits: ReturnType<typeof splitsInUse>,
  listed: readonly (string | undefined)[],
): string | undefined {
  if (splits.length === 0) return undefined;
  const versions = new Set([
    ...listed,
    ...splits.flatMap(({ ranges }) => ranges.map(({ version }) => version)),
  ]);
  return versions.size === 1 ? [...versions][0] : undefined;
}
