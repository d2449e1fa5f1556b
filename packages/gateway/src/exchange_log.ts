/** Logs and measures one exchange: its attempts and its end.
 *
 * @module
 */
import type {
  CallerRequest,
  EngineView,
  Route,
  Workspace,
} from "@banyanlb/serving";
import { type AttemptOutcome, failureReason } from "./attempt_outcome.ts";
import type { EngineRequest } from "./engine_connections.ts";
import * as events from "./events.ts";
import type {
  ConfigurationInUse,
  RelayDependencies,
} from "./relay_dependencies.ts";

/** What lines about a request need to know of it. */
export interface LoggedRequest {
  readonly caller: CallerRequest;
  readonly route: Route;
  readonly workspace: Workspace | undefined;
  readonly arrivedAt: number;
  readonly configuration: ConfigurationInUse;
}

interface Attempt {
  readonly view: EngineView;
  readonly request: EngineRequest;
  readonly startMs: number;
}

/** Writes the lines of one exchange. */
export class ExchangeLog {
  readonly #deps: Pick<RelayDependencies, "log" | "metrics">;
  readonly #request: LoggedRequest;
  /** The last attempt at each engine. */
  readonly #attempts = new Map<EngineView, Attempt>();
  /** The attempt that is in progress, or was last; the later one of two. */
  #attempt: Attempt | undefined;
  #firstByteAt: number | undefined;
  /** The longest pause between two chunks of a stream, in milliseconds. */
  #longestPauseMs = 0;
  #lastChunkAt: number | undefined;

  constructor(
    deps: Pick<RelayDependencies, "log" | "metrics">,
    request: LoggedRequest,
  ) {
    this.#deps = deps;
    this.#request = request;
  }

  /** Records that an attempt begins at `now`. */
  startAttempt(view: EngineView, request: EngineRequest, now: number): void {
    const startMs = Math.round(now - this.#request.arrivedAt);
    this.#attempt = { view, request, startMs };
    this.#attempts.set(view, this.#attempt);
    this.#deps.metrics.time("attempt_start_ms", "", startMs);
  }

  /** Records that the attempt at this engine goes on, since a later one did
   * not. */
  resumeAttempt(view: EngineView): void {
    this.#attempt = this.#attempts.get(view);
  }

  /** Records that the attempt at this engine has ended. */
  endAttempt(view: EngineView): void {
    const request = this.#attempts.get(view)?.request;
    const connectionMs = request?.connectionMs();
    if (request === undefined || connectionMs === undefined) return;
    const tags = `new="${!request.req.reusedSocket}"`;
    this.#deps.metrics.time("connection_ms", tags, connectionMs);
  }

  /** Records that the response to the caller begins. */
  recordFirstByte(): void {
    this.#firstByteAt = performance.now();
  }

  /** Records that a chunk of a stream has arrived. */
  recordChunk(): void {
    const now = performance.now();
    const pauseMs = now - (this.#lastChunkAt ?? now);
    this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    this.#lastChunkAt = now;
  }

  /** The caller left before an attempt began. */
  callerDisconnected(): void {
    const { id } = this.#request.caller;
    this.#deps.log.write(events.CALLER_DISCONNECTED, { id });
  }

  /** The caller left, during an attempt if there was one; the request would have
   * had to end by `deadline`. */
  callerLeft(deadline: number): void {
    if (this.#attempt === undefined) return;
    this.#deps.log.write(events.CALLER_LEFT_ATTEMPT, {
      id: this.#request.caller.id,
      ...attemptFields(this.#attempt),
      leftMs: Math.round(deadline - performance.now()),
    });
  }

  /** The attempt at this engine failed, or another one goes on with the
   * request. */
  attemptFailed(view: EngineView, outcome: AttemptOutcome, now: number): void {
    const { caller, arrivedAt } = this.#request;
    const reason = failureReason(outcome);
    this.#deps.metrics.add("attempt_failures_total", `reason="${reason}"`);
    this.#deps.log.write(events.ATTEMPT_FAILED, {
      id: caller.id,
      kind: outcome.kind,
      reason,
      status: outcome.kind === "error_answer"
        ? outcome.answer.status
        : undefined,
      load: Math.round(view.load(now)),
      parts: caller.sharedParts.slice(0, events.LOGGED_PARTS_MAX),
      partCount: caller.sharedParts.length,
      // Time since the first byte of a response, of this or an earlier attempt.
      answeredMs: this.#firstByteAt === undefined
        ? undefined
        : Math.round(now - this.#firstByteAt),
      ...attemptFields(this.#attempts.get(view)),
      next: outcome.kind === "moved"
        ? outcome.successor.view.engine.key
        : undefined,
      ms: Math.round(now - arrivedAt),
    });
  }

  /** The request failed after `runs` engines may have run it. */
  requestFailed(reason: string, status: number, runs: number): void {
    const { caller, route, arrivedAt, configuration } = this.#request;
    this.#deps.metrics.add("failures_total", `reason="${reason}"`);
    this.#deps.log.write(events.REQUEST_FAILED, {
      id: caller.id,
      route: route.name,
      reason,
      status,
      runs,
      ms: Math.round(performance.now() - arrivedAt),
      ...configuration,
    });
  }

  /** The request was answered, by the engine if it is given. */
  served(
    status: number,
    view: EngineView | undefined,
    counts: { readonly runs: number; readonly loads: number },
  ): void {
    const { arrivedAt, route, caller, workspace } = this.#request;
    const now = performance.now();
    const firstByteMs = (this.#firstByteAt ?? now) - arrivedAt;
    const { metrics, log } = this.#deps;
    const kind = `kind="${route.kind}"`;
    metrics.add("answers_total", `status="${status}"`);
    metrics.time("first_byte_ms", kind, firstByteMs);
    metrics.time("answer_ms", kind, now - arrivedAt);
    log.write(events.REQUEST_SERVED, {
      id: caller.id,
      route: route.name,
      workspace: workspace?.name,
      model: caller.model,
      adapter: caller.adapter,
      resumes: caller.resumes,
      ...attemptFields(this.#attempt),
      engine: view?.engine.key,
      status,
      ...counts,
      firstMs: Math.round(firstByteMs),
      pauseMs: Math.round(this.#longestPauseMs) || undefined,
      ms: Math.round(now - arrivedAt),
      ...this.#request.configuration,
    });
  }
}

/** Where an attempt was sent, and what it waited for before it was written to a
 * connection. */
function attemptFields(attempt: Attempt | undefined) {
  return {
    engine: attempt?.view.engine.key,
    engineZone: attempt?.view.engine.zone,
    softwareVersion: attempt?.view.engine.softwareVersion,
    startMs: attempt?.startMs,
    connectionMs: attempt?.request.connectionMs(),
  };
}
