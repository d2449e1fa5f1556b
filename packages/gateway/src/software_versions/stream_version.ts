/** The software version that the engines of one answer must have.
 *
 * @module
 */
import {
  type Engine,
  type HomeRegions,
  type OpenStreams,
  takeUpMs,
} from "@banyanlb/serving";
import type { EventLog } from "@banyanlb/core";
import { byDeadline } from "../by_deadline.ts";
import { retryAfterSeconds } from "../error_response.ts";
import * as events from "../events.ts";
import { deadlineOf, type ExchangeInput } from "../exchange_input.ts";
import type { StreamDecision, StreamVersions } from "./stream_versions.ts";

/** What the version of an answer depends on. */
export interface StreamVersionDependencies {
  readonly softwareVersions: {
    readonly streams: OpenStreams;
    readonly versions: Pick<StreamVersions, "decide" | "countOf" | "isInUse">;
  };
  readonly log: EventLog;
}

/** Why a stream cannot be served. */
export interface VersionRefusal {
  readonly reason: string;
  /** When the caller may come back, in seconds; undefined if that is in vain. */
  readonly waitSeconds: number | undefined;
}

/** The version at which a stream begins or goes on. What two versions write does
 * not fit together, and engines do not check it. */
export class StreamVersion {
  readonly #deps: StreamVersionDependencies;
  readonly #input: ExchangeInput;
  #required: string | undefined;
  #isGoingOn = false;
  /** Whether this process begins the stream. */
  #isBegun = false;
  #hasEvents = false;

  constructor(deps: StreamVersionDependencies, input: ExchangeInput) {
    this.#deps = deps;
    this.#input = input;
  }

  /** The version that engines must have; undefined for any. */
  get required(): string | undefined {
    return this.#required;
  }

  /** Finds the version; returns why the request must be refused if it is not
   * known, at the request's deadline at the latest. */
  async decide(homes: HomeRegions): Promise<VersionRefusal | undefined> {
    const { caller, route, service, arrivedAt } = this.#input;
    if (route.kind !== "stream" || !route.resumable) return undefined;
    const { versions } = this.#deps.softwareVersions;
    const { id = "", resumes, lastEventId, model, adapter } = caller;
    const isContinued = resumes !== undefined || lastEventId !== undefined;
    const deciding = versions.decide({
      id,
      resumes,
      isContinued,
      service,
      homes,
      model,
      adapter,
      deadlineMs: caller.deadlineMs,
      arrivedAt,
    });
    const decision = await byDeadline(deciding, deadlineOf(this.#input));
    if (decision === undefined) {
      this.#forgetLate(deciding, id);
      return { reason: "timed_out", waitSeconds: retryAfterSeconds() };
    }
    if (isContinued) {
      const version = "version" in decision ? decision.version : undefined;
      this.#deps.log.write(events.STREAM_TAKEN_UP, {
        id,
        resumes,
        softwareVersion: version,
        engines: version && versions.countOf(service, version),
        source: decision.kind === "go_on" ? decision.source : undefined,
        reason: decision.kind === "unknown" ? decision.reason : undefined,
        outdated: decision.kind === "unknown" ? decision.outdated : undefined,
      });
    }
    if (decision.kind === "unknown") {
      const isInVain = decision.reason === "unnamed";
      return {
        reason: `version_unknown:${decision.reason}`,
        waitSeconds: isInVain ? undefined : retryAfterSeconds(),
      };
    }
    if (decision.kind === "any") return undefined;
    this.#required = decision.version;
    this.#isGoingOn = decision.kind === "go_on";
    this.#isBegun = decision.kind === "begin";
    return undefined;
  }

  /** Ends a stream whose decision comes too late for it to be sent. */
  #forgetLate(deciding: Promise<StreamDecision>, id: string): void {
    const { softwareVersions, log } = this.#deps;
    deciding.then(
      ({ kind }) => {
        if (kind === "begin") softwareVersions.streams.end(id);
      },
      (err) => log.write(events.UNEXPECTED_ERROR, { error: String(err) }),
    );
  }

  /** When a caller may come back whose stream has no engine of its version, in
   * seconds; undefined if that is in vain. */
  waitSeconds(homes: HomeRegions): number | undefined {
    const isGone = this.#isGoingOn && this.#required !== undefined &&
      !this.#deps.softwareVersions.versions.isInUse(
        this.#input.service,
        homes,
        this.#required,
      );
    return isGone ? undefined : retryAfterSeconds();
  }

  /** Records that events of this engine are forwarded. */
  recordEvents({ softwareVersion }: Pick<Engine, "softwareVersion">): void {
    this.#hasEvents = true;
    this.#required ??= softwareVersion;
  }

  /** Records that nothing more is sent. Whether the answer was whole does not
   * matter: its bytes may lie anywhere on the way to a slow caller, whose
   * connection may still break. */
  close(): void {
    if (!this.#isBegun) return;
    const { streams } = this.#deps.softwareVersions;
    const { caller, arrivedAt } = this.#input;
    const { id = "" } = caller;
    if (!this.#hasEvents) return streams.end(id);
    streams.close(id, arrivedAt + takeUpMs(caller.deadlineMs));
  }
}
