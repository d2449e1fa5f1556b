/** Serves one caller's request, from the first attempt at an engine to the last
 * byte of the response.
 *
 * Whether a request may be sent again depends on two facts about each attempt:
 * whether bytes may have reached the engine, and whether the engine reported
 * that it did not run the request.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import {
  earliestResponseMs,
  type EngineChoice,
  type EngineView,
  EventBoundary,
  EventFramer,
  type HomeRegions,
  isPermitted,
  type NoEngineReason,
  urgencyOf,
} from "@banyanlb/serving";
import {
  type AttemptOutcome,
  type AttemptSettler,
  type BufferedResponse,
  failureReason,
  isFailure,
  type Successor,
} from "./attempt_outcome.ts";
import { bufferBody } from "./buffer_body.ts";
import { byDeadline } from "./by_deadline.ts";
import { withContentLength, withoutContentLength } from "./content_length.ts";
import { adapterNameOf, requirementsOf } from "./engine_requirements.ts";
import { type EngineRequest, reasonOf } from "./engine_connections.ts";
import { recordNotices } from "./engine_notices.ts";
import { retryAfterSeconds, sendErrorResponse } from "./error_response.ts";
import { FirstByteWatch } from "./handover/first_byte_watch.ts";
import {
  type ContestedAttempt,
  Handover,
  type SilentAttempt,
} from "./handover/handover.ts";
import type { RunningAttempt } from "./handover/running_attempt.ts";
import { STALL_TIMEOUT_MS } from "./handover/silence_limits.ts";
import { TriedEngines } from "./handover/tried_engines.ts";
import { deadlineOf, type ExchangeInput } from "./exchange_input.ts";
import { ExchangeLog } from "./exchange_log.ts";
import { guardRequest } from "./quarantine/guard_request.ts";
import type { RefusalTerms, RequestGuard } from "./quarantine/request_guard.ts";
import { ReadTimeout } from "./read_timeout.ts";
import { RateCharge } from "./rate_charge.ts";
import type { RelayDependencies } from "./relay_dependencies.ts";
import { RESPONSE_MAX_BYTES } from "./response_buffer.ts";
import { trackCompletion } from "./response_completion.ts";
import { judgeResponse } from "./response_verdict.ts";
import { skipBody } from "./skip_body.ts";
import { StreamVersion } from "./software_versions/stream_version.ts";
import { isHeaderValue, StreamContinuation } from "./stream_continuation.ts";

/** Time between a request's deadline and the moment when the gateway aborts its
 * attempt: an engine sends its own response when the deadline that it received
 * expires. */
const DEADLINE_MARGIN_MS = 150;

/** Maximum number of adapter loads that one request waits for. */
const LOADS_MAX = 4;

/** Maximum number of times that a request is sent again after engines rejected
 * it without running it. After that the gateway refuses it. */
const REFUSALS_MAX = 4;

/** Ratio of load to slots above which one more request would miss its target
 * latency in the engine's queue: an engine starts about one request every
 * 50 ms. */
const OVERLOAD_RATIO = 1.2;

/** Maximum size of one event of a resumable stream, in bytes. */
const EVENT_MAX_BYTES = 256 * 1024;

/** Sends one request to engines until a response has been forwarded or no
 * further attempt is allowed. */
export class Exchange {
  readonly #deps: RelayDependencies;
  readonly #input: ExchangeInput;
  readonly #deadline: number;
  readonly #tried = new TriedEngines();
  readonly #framer = new EventFramer();
  readonly #continuation = new StreamContinuation();
  readonly #streamVersion: StreamVersion;
  readonly #rateCharge: RateCharge;
  readonly #guard: RequestGuard;
  readonly #log: ExchangeLog;
  /** Attempts in which the engine may have run the request. */
  #runCount = 0;
  /** Engines that turned the request away or failed it: none is asked twice for
   * an adapter that it does not hold. */
  readonly #deniedBy = new Set<string>();
  #notRunCount = 0;
  #loadCount = 0;
  #lastEventId: string | undefined;
  #errorResponse: BufferedResponse | undefined;
  #hasCallerDisconnected = false;
  #hasSentHeaders = false;
  /** Whether no further engine may be asked: the request may crash engines. */
  #mustNotRepeat = false;
  /** Requests to engines that are in progress; two during a hand-over. */
  readonly #engineRequests = new Set<EngineRequest>();

  constructor(deps: RelayDependencies, input: ExchangeInput) {
    this.#deps = deps;
    this.#input = input;
    this.#log = new ExchangeLog(deps, input);
    this.#rateCharge = new RateCharge(deps, input.workspace, input.caller);
    this.#guard = guardRequest(deps, input);
    this.#streamVersion = new StreamVersion(deps, input);
    this.#lastEventId = input.caller.lastEventId;
    this.#deadline = deadlineOf(input);
  }

  get #isRepeatable(): boolean {
    const { route } = this.#input;
    return route.kind === "safe" ||
      (route.kind === "stream" && route.resumable);
  }

  async run(): Promise<void> {
    try {
      await this.#serve();
    } finally {
      this.#streamVersion.close();
    }
  }

  async #serve(): Promise<void> {
    const { res, refuse } = this.#input;
    const first = this.#guard.decide();
    if (first.kind === "refuse") return this.#giveUp(first.reason, first);
    const unknown = await this.#streamVersion.decide(this.#permissions.homes);
    if (unknown !== undefined) {
      return refuse(503, unknown.reason, unknown.waitSeconds);
    }
    const rateWaitSeconds = await this.#rateCharge.take(this.#deadline);
    if (rateWaitSeconds !== undefined) {
      return refuse(429, "over_rate", rateWaitSeconds);
    }
    res.on("close", () => {
      if (res.writableFinished) return;
      this.#hasCallerDisconnected = true;
      this.#log.callerLeft(this.#deadline);
      for (const { req } of this.#engineRequests) req.destroy();
    });
    let reason = "no_engine";
    for (;;) {
      if (performance.now() >= this.#deadline) return this.#giveUp("timed_out");
      const view = await this.#nextEngine();
      // The caller may have disconnected during an adapter load. No await
      // separates this check from the sending.
      if (this.#hasCallerDisconnected || res.destroyed) {
        this.#log.callerDisconnected();
        if (this.#runCount === 0) this.#rateCharge.refund();
        return;
      }
      if (view === "wait") continue;
      if (typeof view === "string") {
        if (this.#runCount > 0) return this.#giveUp(view);
        this.#rateCharge.refund();
        const waitSeconds = view === "limited"
          ? this.#deps.limits.waitSeconds(
            this.#deps.chooser.keysOf(this.#input.service),
            this.#input.caller.id,
          )
          : view === "no_version"
          ? this.#streamVersion.waitSeconds(this.#permissions.homes)
          : retryAfterSeconds();
        return refuse(503, `${view}:${reason}`, waitSeconds);
      }
      // A suspect may have been held while the adapter was loaded.
      const decision = this.#guard.decide();
      if (decision.kind === "refuse") {
        return this.#giveUp(decision.reason, decision);
      }
      if (decision.kind === "wait") {
        await byDeadline(setTimeoutPromise(decision.ms), this.#deadline);
        continue;
      }
      const context = this.#deps.selectionContextAt(performance.now());
      if (earliestResponseMs(view, context) >= this.#deadline - context.now) {
        return this.#giveUp("too_late");
      }
      // Homes and evacuations may have changed meanwhile.
      if (!isPermitted(view, this.#permissions, context)) continue;
      // The limit may have been reached while the adapter was loaded.
      if (!this.#deps.limits.tryTake(view.engine.key)) continue;
      this.#guard.start(decision);
      const { view: lastView, outcome } = await this.#followAttempts(
        this.#startAttempt(view),
      );
      const now = performance.now();
      if (outcome.kind === "finished") return;
      if (outcome.kind === "timed_out") return this.#giveUp("timed_out");
      this.#recordFailure(lastView, outcome, now);
      if (outcome.kind === "error_answer") this.#errorResponse = outcome.answer;
      reason = failureReason(outcome);
      const shouldContinue = outcome.kind === "not_run"
        ? this.#canResend(now)
        : this.#guard.mayRepeat(lastView) && this.#canRepeat(now);
      if (!shouldContinue) {
        if (outcome.kind === "not_run" && this.#runCount === 0) {
          this.#rateCharge.refund();
          return refuse(503, reason, retryAfterSeconds());
        }
        return this.#giveUp(reason);
      }
    }
  }

  /** The adapter's name in tables of engines. */
  get #adapterName(): string | undefined {
    const { service, caller } = this.#input;
    return adapterNameOf(this.#deps, service, caller);
  }

  /** The newest announced version of the requested adapter; 0 if none was
   * announced. */
  #newestVersion(): number {
    const { model, adapter } = this.#input.caller;
    return model !== undefined && adapter !== undefined
      ? this.#deps.versionOf(model, adapter)
      : 0;
  }

  #chooseEngine(now: number, others: readonly string[] = []): EngineChoice {
    return this.#tried.choose((e) => this.#chooseExcept(e, now), others);
  }

  #chooseExcept(excluded: ReadonlySet<string>, now: number): EngineChoice {
    const { caller, service } = this.#input;
    const { model, adapter } = caller;
    const requirements = requirementsOf(this.#deps, {
      service,
      model,
      adapter,
      excludedEngines: excluded,
      ...this.#permissions,
      timeLeftMs: this.#deadline - now,
    });
    return this.#deps.chooser.choose(
      requirements,
      this.#deps.selectionContextAt(now),
    );
  }

  /** Selects the engine for the next attempt and waits for an adapter load if
   * one is needed. Resolves to `wait` after a failed load: the next call selects
   * another engine, and the same only if there is no other. */
  async #nextEngine(): Promise<
    EngineView | "wait" | NoEngineReason | "full"
  > {
    const { model, adapter } = this.#input.caller;
    const now = performance.now();
    const version = this.#newestVersion();
    const choice = this.#chooseEngine(now);
    if (choice.kind === "none") {
      if (model !== undefined) {
        this.#deps.loader.requestModel(this.#input.service, model);
      }
      return choice.reason;
    }
    if (choice.kind === "send") {
      if (
        choice.spreadTo !== undefined && model !== undefined &&
        adapter !== undefined
      ) {
        void this.#deps.loader.load(choice.spreadTo, {
          model,
          adapter,
          version,
          quiet: true,
        });
      }
      return choice.view;
    }
    return await this.#load(choice.view);
  }

  /** Loads the request's adapter on an engine; see `#nextEngine`. */
  async #load(
    view: EngineView,
  ): Promise<EngineView | "wait" | "no_engine" | "full"> {
    const { model, adapter } = this.#input.caller;
    if (model === undefined || adapter === undefined) return "no_engine";
    this.#loadCount += 1;
    if (this.#loadCount > LOADS_MAX) return "full";
    const now = performance.now();
    const { key } = view.engine;
    const patient = this.#tried.wasSilent(key) || undefined;
    const load = this.#deps.loader.load(view, {
      model,
      adapter,
      version: this.#newestVersion(),
      patient,
      waitMs: this.#deadline - now,
    });
    const loaded = await byDeadline(load, this.#deadline) ?? false;
    this.#deps.metrics.time(
      "load_wait_ms",
      `ok="${loaded}"`,
      performance.now() - now,
    );
    if (loaded) return view;
    // The engine may merely be silent.
    this.#tried.record(key, patient === true ? "failed" : "silent");
    return "wait";
  }

  /** What decides at present whether an engine may get the request at all. */
  get #permissions(): {
    readonly homes: HomeRegions;
    readonly softwareVersion: string | undefined;
  } {
    const { route, workspace } = this.#input;
    return {
      homes: this.#deps.routeTable()?.homeRegionsOf(route, workspace),
      softwareVersion: this.#streamVersion.required,
    };
  }

  #recordFailure(view: EngineView, outcome: AttemptOutcome, now: number): void {
    const { caller } = this.#input;
    const reason = failureReason(outcome);
    const isUnresponsive = reason === "silent" || reason === "unreachable" ||
      reason === "stalled";
    if (reason === "connection_lost") this.#guard.recordCut(view);
    if (outcome.kind !== "not_run" || isUnresponsive) {
      view.health.recordResult(isUnresponsive ? "silent" : "failed", now);
    }
    this.#log.attemptFailed(view, outcome, now);
    const hasDeniedBefore = this.#deniedBy.has(view.engine.key);
    this.#deniedBy.add(view.engine.key);
    if (
      reason === "adapter_missing" && this.#notRunCount < REFUSALS_MAX &&
      !hasDeniedBefore
    ) {
      // The request arrived before the load had ended, or the adapter has been
      // evicted. The instance that owns the engine is notified and corrects its
      // view of the adapter.
      const { model, adapter } = caller;
      if (model !== undefined && adapter !== undefined) {
        void this.#deps.loader.load(view, {
          model,
          adapter,
          version: this.#newestVersion(),
          early: true,
          quiet: true,
        });
        if (!view.isReportedByOwner) return;
        const adapters = new Map(view.adapters);
        const name = this.#adapterName ?? adapter;
        const heldAdapter = adapters.get(name);
        if (heldAdapter !== undefined) {
          adapters.set(name, { ...heldAdapter, readyAt: now + 40 });
        }
        view.adapters = adapters;
      }
      return;
    }
    const wasSilent = outcome.kind === "moved" && isUnresponsive;
    this.#tried.record(view.engine.key, wasSilent ? "silent" : "failed");
  }

  /** Whether a request that did not run may be sent to an engine again. If so,
   * uses one retry of the service's retry budget. */
  #canResend(now: number): boolean {
    this.#notRunCount += 1;
    if (this.#notRunCount > REFUSALS_MAX || now >= this.#deadline) return false;
    return this.#deps.retryBudgetOf(this.#input.service)
      .tryRetry(now, this.#deps.members.sharingCount(now));
  }

  /** Whether a request that may have run may be sent to another engine. If so,
   * uses one retry of the service's retry budget. */
  #canRepeat(now: number): boolean {
    if (
      !this.#isRepeatable || !isHeaderValue(this.#lastEventId) ||
      this.#runCount >= this.#input.route.maxAttempts
    ) {
      return false;
    }
    if (now >= this.#deadline) return false;
    return this.#deps.retryBudgetOf(this.#input.service)
      .tryRetry(now, this.#deps.members.sharingCount(now));
  }

  /** The engine that can go on with a request whose engine sends nothing, if
   * there is one and the current engine is not merely busy. It has to load the
   * request's adapter first if the kind is `load`. */
  #successorOf(
    { view: from, request, isContested, rival }: RunningAttempt,
  ): EngineChoice | undefined {
    const { res, route, service } = this.#input;
    const now = performance.now();
    if (this.#mustNotRepeat) return undefined;
    if (this.#hasCallerDisconnected || res.writableEnded) return undefined;
    if (request.isSent()) {
      if (!this.#isRepeatable) return undefined;
      if (from.load(now) >= from.engine.slots) return undefined;
    }
    if (this.#guard.decide().kind !== "send") return undefined;
    const others = isContested && rival !== undefined ? [rival, from] : [from];
    const keys = others.map(({ engine }) => engine.key);
    if (request.isSent() && this.#runCount + 1 >= route.maxAttempts) {
      const all = this.#deps.chooser.keysOf(service);
      keys.push(...all.filter((key) => !this.#tried.hasRunAt(key)));
    }
    return this.#chooseEngine(now, keys);
  }

  /** Asks another engine to go on with the request of an attempt whose engine
   * sends nothing, or cannot be reached. Returns whether there is one. Uses one
   * retry of the service's retry budget. */
  #handOver(
    attempt: RunningAttempt,
    reason: "silent" | "stalled" | "unreachable",
    loadedView?: EngineView,
  ): boolean {
    const { view, request } = attempt;
    if (attempt.isContested || attempt.settle.ended()) return false;
    if (attempt.handover?.isOver === false) return true;
    const choice = this.#successorOf(attempt);
    const wasSent = request.isSent();
    const mayLoad = !wasSent && !attempt.isLoading && loadedView === undefined;
    if (choice?.kind === "load" && mayLoad) {
      attempt.isLoading = true;
      void this.#load(choice.view).then((loaded) => {
        attempt.isLoading = false;
        if (typeof loaded === "string" || request.isSent()) return;
        this.#handOver(attempt, reason, loaded);
      });
    }
    const next = choice?.kind === "send" ? choice.view : loadedView;
    if (next === undefined) return false;
    const now = performance.now();
    if (!(wasSent ? this.#canRepeat(now) : this.#canResend(now))) return false;
    if (!this.#deps.limits.tryTake(next.engine.key)) return false;
    const current: SilentAttempt = {
      ...request,
      isExclusive: !this.#isRepeatable ||
        this.#runCount + 1 >= this.#input.route.maxAttempts,
      isPreferred: this.#tried.wasSilent(next.engine.key),
      hold: () => (attempt.isHeld = true),
      resume: () => {
        attempt.isHeld = false;
        attempt.onResume();
      },
      yieldTo: (successor, failure = reason) =>
        attempt.settle({ kind: "moved", reason: failure, successor }),
    };
    const started = this.#startAttempt(next, view);
    attempt.handover = new Handover(current, started, (outcome) => {
      this.#log.resumeAttempt(view);
      if (outcome === undefined || !isFailure(outcome)) return;
      this.#recordFailure(next, outcome, performance.now());
      this.#mustNotRepeat = !this.#guard.mayRepeat(next);
    });
    return true;
  }

  /** Asks another engine while an attempt has no connection. The attempt goes on
   * without one, since the connection may come; but not beside another attempt,
   * which has the request, nor for an engine that was removed. */
  #handleUnreachable(attempt: RunningAttempt): void {
    const { view, settle } = attempt;
    if (attempt.isContested || !this.#isListed(view)) {
      return settle({ kind: "not_run", reason: "unreachable" });
    }
    if (this.#handOver(attempt, "unreachable")) return;
    view.health.recordResult("silent", performance.now());
    attempt.onResume();
  }

  /** Asks another engine while an attempt waits for its first byte. An attempt
   * beside one without a connection becomes the only one for that. */
  #handleSilent(attempt: RunningAttempt): void {
    if (attempt.isContested && this.#successorOf(attempt)?.kind === "send") {
      attempt.onSilent();
    }
    if (attempt.isContested) attempt.onResume();
    else this.#handOver(attempt, "silent");
  }

  /** Follows a request from engine to engine, until an attempt ends that has no
   * successor. */
  async #followAttempts(
    first: Successor,
  ): Promise<
    {
      readonly view: EngineView;
      readonly outcome: Exclude<AttemptOutcome, { readonly kind: "moved" }>;
    }
  > {
    let attempt = first;
    for (;;) {
      const { view } = attempt;
      const outcome = await attempt.outcome;
      if (outcome.kind !== "moved") return { view, outcome };
      this.#recordFailure(view, outcome, performance.now());
      attempt = outcome.successor;
    }
  }

  /** Ends the request after the last attempt: aborts a response that has begun,
   * forwards the stored error response, or sends an error of the gateway. */
  #giveUp(
    reason: string,
    { waitSeconds }: RefusalTerms = { waitSeconds: retryAfterSeconds() },
  ): void {
    const { res, caller, refuse } = this.#input;
    if (this.#hasSentHeaders) {
      this.#log.requestFailed(reason, 0, this.#runCount);
      res.destroy();
      return;
    }
    if (this.#errorResponse !== undefined) {
      this.#forwardErrorResponse(this.#errorResponse);
      return;
    }
    if (this.#runCount === 0) {
      this.#rateCharge.refund();
      return refuse(503, reason, waitSeconds);
    }
    const status = reason === "timed_out" ? 504 : 502;
    this.#log.requestFailed(reason, status, this.#runCount);
    sendErrorResponse(res, status, { id: caller.id, reason });
  }

  #forwardErrorResponse(errorResponse: BufferedResponse): void {
    const { res } = this.#input;
    res.writeHead(
      errorResponse.status,
      withContentLength(errorResponse.headers, errorResponse.body.length),
    );
    res.end(errorResponse.body);
    this.#recordServed(errorResponse.status, undefined);
  }

  #recordServed(status: number, view: EngineView | undefined): void {
    const counts = { runs: this.#runCount, loads: this.#loadCount };
    this.#log.served(status, view, counts);
  }

  /** Sends the request to one engine and forwards its response. */
  #startAttempt(
    view: EngineView,
    rival?: EngineView,
  ): ContestedAttempt {
    const { req, route, workspace, caller, body } = this.#input;
    const { protocol, connections, members, use: usage } = this.#deps;
    const now = performance.now();
    const adapterName = this.#adapterName;
    const heldAdapter = adapterName === undefined
      ? undefined
      : view.adapters.get(adapterName);
    const wasLeaving = view.engine.leaving;
    const announcedVersion = this.#newestVersion();
    const priority = workspace?.priority ?? route.priority;
    const headers = protocol.forwardHeaders(req.rawHeaders, {
      deadlineMs: this.#deadline - now,
      engineId: view.engine.id,
      workspace: workspace?.name,
      version: announcedVersion > 0
        ? heldAdapter?.version ?? announcedVersion
        : undefined,
      urgency: urgencyOf(
        priority,
        now - this.#input.arrivedAt > route.targetLatencyMs ||
          view.load(now) > view.engine.slots * OVERLOAD_RATIO,
      ),
      lastEventId: this.#lastEventId,
      bodyBytes: body?.length,
    });
    const request = connections.send(view.engine, {
      id: caller.id,
      method: req.method ?? "GET",
      path: req.url ?? "/",
      headers,
      body,
      once: !this.#isRepeatable,
    }, {
      maxConnections: this.#input.maxConnections,
      instances: members.sharingCount(now),
      mayWrite: () => this.#mayWriteTo(view, wasLeaving),
    });
    this.#engineRequests.add(request);
    this.#log.startAttempt(view, request, now);
    const probe = view.path.start(now);
    request.req.once(
      "response",
      () => view.path.recordResponse(probe, performance.now()),
    );
    view.inFlight += 1;
    const { forecast } = this.#deps.chooser;
    const { service } = this.#input;
    forecast.recordSend({ service, adapter: adapterName }, now);
    usage.start(view.engine.key, adapterName);
    let end: (outcome: AttemptOutcome) => void = () => undefined;
    const outcome = new Promise<AttemptOutcome>((resolve) => (end = resolve));
    const attempt = this.#trackAttempt(
      { view, request, startedAt: now, rival },
      end,
    );
    return {
      view,
      outcome: outcome.then((ended) => {
        if (ended.kind === "finished") {
          forecast.recordEnd(service, performance.now() - now);
        }
        return ended;
      }).finally(() => {
        this.#engineRequests.delete(request);
        this.#log.endAttempt(view);
        view.path.end(probe, performance.now());
        view.inFlight -= 1;
        usage.end(view.engine.key, adapterName);
      }),
      onSent: (listener) => request.onSent(listener),
      onAccepted: (listener) => (attempt.onAccepted = listener),
      onSilent: (listener) => (attempt.onSilent = listener),
      adopt: () => (attempt.isContested = false),
      abandon: () =>
        attempt.settle({
          kind: request.isSent() ? "failed" : "not_run",
          reason: "not_needed",
        }),
    };
  }

  #isListed(view: EngineView): boolean {
    return this.#deps.chooser.enginesOf(this.#input.service).includes(view);
  }

  /** Whether an engine may still get the request, now that its connection has
   * come. */
  #mayWriteTo(view: EngineView, wasLeaving: boolean): boolean {
    const context = this.#deps.selectionContextAt(performance.now());
    return this.#isListed(view) && (wasLeaving || !view.engine.leaving) &&
      isPermitted(view, this.#permissions, context);
  }

  #trackAttempt(
    started: Pick<
      RunningAttempt,
      "view" | "request" | "startedAt" | "rival"
    >,
    end: (outcome: AttemptOutcome) => void,
  ): RunningAttempt {
    const { request } = started;
    const { route } = this.#input;
    let isSettled = false;
    const settle: AttemptSettler = Object.assign((outcome: AttemptOutcome) => {
      if (isSettled) return;
      // The other engine has the request already.
      if (attempt.handover?.isHolding && isFailure(outcome)) {
        attempt.handover.complete(failureReason(outcome));
        return;
      }
      isSettled = true;
      clearTimeout(deadlineTimer);
      firstByteWatch.clear();
      attempt.handover?.cancel();
      if (outcome.kind !== "finished") request.req.destroy();
      // A request that was written to a connection may have run, unless the
      // engine reported that it did not.
      if (outcome.kind !== "not_run" && request.isSent()) {
        this.#runCount += 1;
        this.#tried.recordRun(started.view.engine.key);
      }
      end(outcome);
    }, { ended: () => isSettled });
    const attempt: RunningAttempt = {
      ...started,
      settle,
      handover: undefined,
      isHeld: false,
      isLoading: false,
      isContested: started.rival !== undefined,
      onSilent: () => undefined,
      onResume: () => firstByteWatch.restart(),
      onAccepted: () => undefined,
    };
    const deadlineTimer = setTimeout(
      () => settle({ kind: "timed_out" }),
      Math.max(0, this.#deadline - performance.now()) + DEADLINE_MARGIN_MS,
    );
    const firstByteWatch = new FirstByteWatch({ ...started, route }, {
      onUnreachable: () => this.#handleUnreachable(attempt),
      onSilent: () => this.#handleSilent(attempt),
    });
    request.req.on("error", (err) => {
      if (this.#hasCallerDisconnected) return settle({ kind: "finished" });
      if (!request.isSent()) {
        return settle({ kind: "not_run", reason: "unreachable" });
      }
      settle(this.#failedOutcome(reasonOf(err)));
    });
    request.req.on("response", (response) => {
      firstByteWatch.clear();
      attempt.onResume = () => undefined;
      if (!attempt.isHeld) attempt.handover?.cancel();
      this.#handleResponse(attempt, response);
    });
    return attempt;
  }

  #handleResponse(attempt: RunningAttempt, response: IncomingMessage): void {
    const { view, request, settle } = attempt;
    const { caller, res } = this.#input;
    const status = response.statusCode ?? 0;
    const responseHead = this.#deps.protocol.readResponse(
      status,
      response.rawHeaders,
    );
    const verdict = judgeResponse(status, responseHead, {
      id: caller.id,
      isRepeatable: this.#isRepeatable,
      hasAdapter: caller.adapter !== undefined,
      isConnectionReused: request.req.reusedSocket,
    });
    if (verdict.kind === "foreign") {
      return settle(this.#failedOutcome(verdict.reason));
    }
    this.#deps.limits.record(
      view.engine.key,
      responseHead.requestLimit,
      caller.id,
    );
    recordNotices(this.#deps, { ...attempt, id: caller.id }, {
      head: responseHead,
      wasTurnedAway: verdict.kind === "not_run",
    });
    if (verdict.kind === "unusable") {
      return settle(this.#failedOutcome(verdict.reason));
    }
    // The other engine goes on at once, whatever follows here.
    if (attempt.isContested && verdict.kind !== "success") {
      const reason = "reason" in verdict ? verdict.reason : "engine_error";
      return settle({
        kind: verdict.kind === "not_run" ? "not_run" : "failed",
        reason,
      });
    }
    if (verdict.kind === "not_run") {
      const { reason } = verdict;
      return skipBody(response, () => settle({ kind: "not_run", reason }));
    }
    if (verdict.kind === "error") {
      return this.#handleErrorResponse(attempt, response);
    }
    if (
      this.#input.route.kind === "stream" &&
      !this.#continuation.accepts(response)
    ) return settle(this.#failedOutcome("no_continuation"));
    attempt.onAccepted();
    view.health.recordResult("answered", performance.now());
    this.#guard.recordHead();
    if (this.#hasSentHeaders) return this.#forwardStream(attempt, response);
    this.#log.recordFirstByte();
    if (this.#input.route.kind === "stream") {
      const headers = this.#input.route.resumable
        ? withoutContentLength(
          this.#deps.protocol.responseHeaders(response.rawHeaders),
        )
        : this.#deps.protocol.responseHeaders(response.rawHeaders);
      res.writeHead(status, headers as string[]);
      res.flushHeaders();
      this.#hasSentHeaders = true;
      return this.#forwardStream(attempt, response);
    }
    this.#forwardBufferedBody(attempt, response);
  }

  #failedOutcome(reason: string): AttemptOutcome {
    return this.#hasSentHeaders
      ? { kind: "broken", reason }
      : { kind: "failed", reason };
  }

  /** Reads an error response. One with a status below 500 is forwarded at once;
   * any other is stored and forwarded if no retry succeeds. */
  #handleErrorResponse(
    attempt: RunningAttempt,
    response: IncomingMessage,
  ): void {
    const { view, settle } = attempt;
    const status = response.statusCode ?? 0;
    this.#bufferBody(response, settle, (body) => {
      if (this.#hasSentHeaders) {
        settle({ kind: "broken", reason: "engine_error" });
        return;
      }
      const errorResponse = {
        status,
        headers: this.#deps.protocol.responseHeaders(response.rawHeaders),
        body,
      };
      if (status < 500) {
        view.health.recordResult("answered", performance.now());
        this.#guard.recordAnswer();
        this.#forwardErrorResponse(errorResponse);
        settle({ kind: "finished" });
        return;
      }
      settle({ kind: "error_answer", answer: errorResponse });
    });
  }

  /** Forwards the response to a request that is not a stream. The whole body is
   * buffered first, so that a retry can replace an incomplete response before
   * the caller has received any of it. */
  #forwardBufferedBody(
    { view, settle }: RunningAttempt,
    response: IncomingMessage,
  ): void {
    const { res } = this.#input;
    const status = response.statusCode ?? 200;
    const headers = this.#deps.protocol.responseHeaders(response.rawHeaders);
    this.#bufferBody(response, settle, (body) => {
      this.#hasSentHeaders = true;
      res.writeHead(status, withContentLength(headers, body.length));
      res.end(body);
      this.#guard.recordAnswer();
      this.#recordServed(status, view);
      settle({ kind: "finished" });
    });
  }

  #bufferBody(
    response: IncomingMessage,
    settle: AttemptSettler,
    onBody: (body: Buffer) => void,
  ): void {
    bufferBody(response, this.#input.res, {
      isEnded: settle.ended,
      onBody,
      onFailure: (reason) => settle(this.#failedOutcome(reason)),
    });
  }

  /** Forwards a stream's bytes. A resumable stream is forwarded in whole events
   * only, so that another engine can continue it after the last one. */
  #forwardStream(attempt: RunningAttempt, response: IncomingMessage): void {
    const { view, settle } = attempt;
    const { res, route } = this.#input;
    this.#framer.reset();
    const boundary = new EventBoundary();
    const isComplete = trackCompletion(response);
    let receivedBytes = 0;
    let stallTimeout: ReadTimeout | undefined;
    const heldChunks: Buffer[] = [];
    const restartStallTimeout = () => {
      stallTimeout?.clear();
      if (!this.#isRepeatable || settle.ended()) return;
      stallTimeout = new ReadTimeout(() => {
        if (!this.#handOver(attempt, "stalled")) restartStallTimeout();
      }, STALL_TIMEOUT_MS);
    };
    restartStallTimeout();
    attempt.onResume = () => {
      for (const chunk of heldChunks.splice(0)) receive(chunk);
      restartStallTimeout();
    };
    response.on("data", (chunk: Buffer) => {
      if (settle.ended()) return;
      if (attempt.isHeld) {
        heldChunks.push(chunk);
        return;
      }
      attempt.handover?.cancel();
      receive(chunk);
    });
    const receive = (chunk: Buffer) => {
      if (settle.ended()) return;
      this.#log.recordChunk();
      this.#guard.recordBytes();
      restartStallTimeout();
      let bytes = chunk;
      if (route.resumable) {
        const framed = this.#framer.push(chunk);
        this.#lastEventId = framed.lastId ?? this.#lastEventId;
        bytes = this.#continuation.filter(framed);
      }
      boundary.push(chunk);
      receivedBytes += chunk.length;
      if (
        receivedBytes > RESPONSE_MAX_BYTES ||
        this.#framer.pendingBytes > EVENT_MAX_BYTES
      ) {
        stallTimeout?.clear();
        settle({ kind: "broken", reason: "response_too_large" });
        return;
      }
      if (bytes.length === 0 || res.destroyed || settle.ended()) return;
      if (route.resumable) this.#streamVersion.recordEvents(view.engine);
      if (!res.write(bytes)) {
        response.pause();
        stallTimeout?.clear();
        res.once("drain", () => {
          response.resume();
          restartStallTimeout();
        });
      }
    };
    response.on("error", () => {
      stallTimeout?.clear();
      settle(
        this.#hasCallerDisconnected
          ? { kind: "finished" }
          : { kind: "broken", reason: "connection_lost" },
      );
    });
    response.on("end", () => {
      stallTimeout?.clear();
      if (settle.ended()) return;
      // An engine that has sent its whole answer does not work on it any more.
      if (attempt.isHeld && isComplete()) attempt.handover?.cancel();
      const isWhole = isComplete() && boundary.isReached;
      if (!isWhole || !this.#continuation.hasEvent) {
        const reason = isWhole ? "no_continuation" : "connection_lost";
        settle({ kind: "broken", reason });
        return;
      }
      res.end();
      this.#guard.recordAnswer();
      this.#recordServed(response.statusCode ?? 200, view);
      settle({ kind: "finished" });
    });
    response.on("close", () => stallTimeout?.clear());
  }
}
