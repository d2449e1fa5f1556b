/** One caller's request, from its first attempt to its last byte.
 *
 * What may be repeated follows from two facts about each attempt: whether
 * bytes may have reached the engine, and whether the engine said that it did
 * not run the request.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type CallerRequest,
  type EngineChoice,
  type EngineView,
  EventFramer,
  type Route,
  type Workspace,
} from "@banyanlb/serving";
import { watchEnd } from "./answer_end.ts";
import { withLength, withoutLength } from "./answer_headers.ts";
import type { AttemptEnd, KeptAnswer, Settle } from "./attempt_end.ts";
import type { EngineCall } from "./engine_connections.ts";
import * as events from "./events.ts";
import { answerPlain, returnSeconds } from "./own_answer.ts";
import type { RelayParts } from "./relay_parts.ts";

/** Added to a request's time before it is cut here: an engine gives its own
 * answer when the time that it was handed ends. */
const CUT_AFTER_MS = 150;

/** No first byte from an engine after this many targets for the first byte
 * means silence, if the request may be repeated. */
const SILENT_TARGETS = 1.3;

/** The same for plain services, whose targets are tight. */
const SILENT_MIN_MS = 400;

/** A running stream without a byte for this long goes on elsewhere. */
const STALLED_MS = 1400;

/** Loads that one request waits for at most. */
const LOADS_MAX = 4;

/** Engines that may refuse one request unrun before it is refused. */
const REFUSALS_MAX = 4;

/** Load against slots beyond which a further request would miss its target in
 * the engine's queue: an engine starts one every 50 ms or so. */
const CROWDED_LOAD = 1.2;

/** Added to the urgency of a request that will miss its target. */
const LATE_URGENCY = 4;

/** An error answer is kept to be passed on if no retry succeeds, up to here. */
const KEPT_ANSWER_BYTES = 64 * 1024;

/** A request that passed admission. */
export interface ExchangeInput {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly caller: CallerRequest;
  readonly route: Route;
  readonly workspace: Workspace | undefined;
  readonly service: string;
  readonly maxConnections: number;
  readonly body: Buffer | undefined;
  readonly arrivedAt: number;
  readonly refuse: (status: number, reason: string, wait?: number) => void;
}

/** One request's attempts. */
export class Exchange {
  readonly #parts: RelayParts;
  readonly #in: ExchangeInput;
  readonly #endsAt: number;
  readonly #excluded = new Set<string>();
  readonly #framer = new EventFramer();
  /** Attempts that may have run. */
  #runs = 0;
  #refusedUnrun = 0;
  #loads = 0;
  #lastEventId: string | undefined;
  #kept: KeptAnswer | undefined;
  #left = false;
  #headSent = false;
  #call: EngineCall | undefined;
  #taken = 0;
  #firstByteAt: number | undefined;
  /** The longest pause between two pieces of a stream, in milliseconds. */
  #longestPauseMs = 0;
  #lastPieceAt: number | undefined;

  constructor(parts: RelayParts, input: ExchangeInput) {
    this.#parts = parts;
    this.#in = input;
    const { caller, route, arrivedAt } = input;
    this.#lastEventId = caller.lastEventId;
    this.#endsAt = arrivedAt +
      Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
  }

  get #repeatable(): boolean {
    const { route } = this.#in;
    return route.kind === "safe" ||
      (route.kind === "stream" && route.resumable);
  }

  async run(): Promise<void> {
    const { res, refuse } = this.#in;
    if (!this.#takeRate()) return;
    res.on("close", () => {
      if (res.writableFinished) return;
      this.#left = true;
      this.#call?.req.destroy();
    });
    let reason = "no_engine";
    for (;;) {
      if (performance.now() >= this.#endsAt) return this.#giveUp("timed_out");
      const view = await this.#nextEngine();
      // In the same turn as the sending: a load may have taken long.
      if (this.#left || res.destroyed) {
        this.#parts.log.write(events.CALLER_LEFT, { id: this.#in.caller.id });
        this.#releaseRate();
        return;
      }
      if (view === "wait") continue;
      if (typeof view === "string") {
        if (this.#runs > 0) return this.#giveUp(view);
        this.#releaseRate();
        return refuse(503, `${view}:${reason}`, returnSeconds());
      }
      const end = await this.#attempt(view);
      const now = performance.now();
      if (end.kind === "finished") return;
      if (end.kind === "timed_out") return this.#giveUp("timed_out");
      this.#noteFailure(view, end, now);
      if (end.kind === "error_answer") this.#kept = end.answer;
      reason = "reason" in end ? end.reason : "engine_error";
      const again = end.kind === "moved" ||
        (end.kind === "not_run" ? this.#mayResend(now) : this.#mayRepeat(now));
      if (!again) {
        if (end.kind === "not_run" && this.#runs === 0) {
          this.#releaseRate();
          return refuse(503, reason, returnSeconds());
        }
        return this.#giveUp(reason);
      }
    }
  }

  #takeRate(): boolean {
    const { workspace, caller, refuse } = this.#in;
    if (workspace === undefined) return true;
    const rate = this.#parts.rateOf(workspace);
    if (rate === undefined) return true;
    const units = workspace.countsTokens
      ? caller.tokens ?? workspace.defaultTokens
      : 1;
    rate.advance(performance.now(), this.#silentShare());
    if (!rate.tryTake(units)) {
      const wait = Math.min(5, Math.max(0.2, rate.waitMs(units) / 1000));
      this.#parts.log.write(events.OVER_RATE, {
        id: caller.id,
        workspace: workspace.name,
        units,
        level: Math.round(rate.level),
        perSecond: workspace.ratePerSecond,
        burst: workspace.burst,
        silentShare: this.#silentShare(),
      });
      refuse(429, "over_rate", wait);
      return false;
    }
    this.#taken = units;
    return true;
  }

  #silentShare(): number {
    return this.#parts.members.silentShare(performance.now());
  }

  #releaseRate(): void {
    const { workspace } = this.#in;
    if (workspace === undefined || this.#taken === 0 || this.#runs > 0) return;
    this.#parts.rateOf(workspace)?.refund(this.#taken);
    this.#taken = 0;
  }

  /** The newest version of the caller's adapter; 0 if none was announced. */
  #newestVersion(): number {
    const { model, adapter } = this.#in.caller;
    return model !== undefined && adapter !== undefined
      ? this.#parts.versionOf(model, adapter)
      : 0;
  }

  #choose(now: number, excluded: ReadonlySet<string>): EngineChoice {
    const { caller, service } = this.#in;
    const { model, adapter } = caller;
    return this.#parts.chooser.choose({
      service,
      model,
      adapter,
      version: this.#newestVersion(),
      isOlderVersionAllowed: model !== undefined && adapter !== undefined &&
        this.#parts.isOlderAllowed(model, adapter),
      excludedEngines: excluded,
    }, this.#parts.around(now));
  }

  /** The engine for the next attempt, after a load if need be. */
  async #nextEngine(): Promise<EngineView | "wait" | "full" | "no_engine"> {
    const { model, adapter } = this.#in.caller;
    const now = performance.now();
    const version = this.#newestVersion();
    const choice = this.#choose(now, this.#excluded);
    if (choice.kind === "none") return choice.reason;
    if (choice.kind === "send") {
      if (
        choice.spreadTo !== undefined && model !== undefined &&
        adapter !== undefined
      ) {
        void this.#parts.loader.load(choice.spreadTo, {
          model,
          adapter,
          version,
          quiet: true,
        });
      }
      return choice.view;
    }
    if (model === undefined || adapter === undefined) return "no_engine";
    this.#loads += 1;
    if (this.#loads > LOADS_MAX) return "full";
    const loaded = await this.#parts.loader.load(choice.view, {
      model,
      adapter,
      version,
    });
    this.#parts.metrics.time(
      "load_wait_ms",
      `ok="${loaded}"`,
      performance.now() - now,
    );
    if (loaded) return choice.view;
    this.#excluded.add(choice.view.engine.key);
    return "wait";
  }

  #noteFailure(view: EngineView, end: AttemptEnd, now: number): void {
    const { caller } = this.#in;
    const reason = "reason" in end ? end.reason : "engine_error";
    const silent = reason === "silent" || reason === "unreachable" ||
      reason === "stalled";
    if (end.kind !== "not_run" || silent) {
      view.health.recordResult(silent ? "silent" : "failed", now);
    }
    this.#parts.metrics.add("attempt_failures_total", `reason="${reason}"`);
    this.#parts.log.write(events.ATTEMPT_FAILED, {
      id: caller.id,
      engine: view.engine.key,
      kind: end.kind,
      reason,
      status: end.kind === "error_answer" ? end.answer.status : undefined,
      load: Math.round(view.load(now)),
      ms: Math.round(now - this.#in.arrivedAt),
    });
    if (reason === "adapter_missing" && this.#refusedUnrun < REFUSALS_MAX) {
      // Too early, or evicted meanwhile: its owner is told, and waits.
      const { model, adapter } = caller;
      if (model !== undefined && adapter !== undefined) {
        void this.#parts.loader.load(view, {
          model,
          adapter,
          version: this.#newestVersion(),
          early: true,
          quiet: true,
        });
        if (!view.isReportedByOwner) return;
        const adapters = new Map(view.adapters);
        const held = adapters.get(adapter);
        if (held !== undefined) {
          adapters.set(adapter, { ...held, readyAt: now + 40 });
        }
        view.adapters = adapters;
      }
      return;
    }
    this.#excluded.add(view.engine.key);
  }

  /** Whether a request that did not run may go to an engine once more. */
  #mayResend(now: number): boolean {
    this.#refusedUnrun += 1;
    if (this.#refusedUnrun > REFUSALS_MAX || now >= this.#endsAt) return false;
    return this.#parts.allowanceOf(this.#in.service)
      .tryRetry(now, this.#parts.members.sharingCount(now));
  }

  /** Whether a request that may have run may go to another engine. */
  #mayRepeat(now: number): boolean {
    if (!this.#repeatable || this.#runs >= this.#in.route.maxAttempts) {
      return false;
    }
    if (now >= this.#endsAt) return false;
    return this.#parts.allowanceOf(this.#in.service)
      .tryRetry(now, this.#parts.members.sharingCount(now));
  }

  /** Whether a request that its engine leaves without a byte may go elsewhere:
   * only if another engine can take it at once. Silence alone is no reason to
   * give up an answer. */
  #mayMove(from: EngineView): boolean {
    const now = performance.now();
    if (from.load(now) >= from.engine.slots) return false;
    if (this.#runs + 1 >= this.#in.route.maxAttempts) return false;
    const choice = this.#choose(
      now,
      new Set([...this.#excluded, from.engine.key]),
    );
    return choice.kind === "send" && this.#mayRepeat(now);
  }

  /** Ends the request after the last attempt. */
  #giveUp(reason: string): void {
    const { res, caller, refuse } = this.#in;
    if (this.#headSent) {
      this.#fail(reason, 0);
      res.destroy();
      return;
    }
    if (this.#kept !== undefined) {
      this.#passKept(this.#kept);
      return;
    }
    if (this.#runs === 0) {
      this.#releaseRate();
      return refuse(503, reason, returnSeconds());
    }
    const status = reason === "timed_out" ? 504 : 502;
    this.#fail(reason, status);
    answerPlain(res, status, { id: caller.id, reason });
  }

  #fail(reason: string, status: number): void {
    this.#parts.metrics.add("failures_total", `reason="${reason}"`);
    this.#parts.log.write(events.REQUEST_FAILED, {
      id: this.#in.caller.id,
      route: this.#in.route.name,
      reason,
      status,
      runs: this.#runs,
      ms: Math.round(performance.now() - this.#in.arrivedAt),
    });
  }

  #notePiece(): void {
    const now = performance.now();
    const pauseMs = now - (this.#lastPieceAt ?? now);
    this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    this.#lastPieceAt = now;
  }

  #passKept(kept: KeptAnswer): void {
    const { res } = this.#in;
    res.writeHead(kept.status, withLength(kept.headers, kept.body.length));
    res.end(kept.body);
    this.#served(kept.status, undefined);
  }

  #served(status: number, view: EngineView | undefined): void {
    const { arrivedAt, route, caller, workspace } = this.#in;
    const now = performance.now();
    const { metrics, log } = this.#parts;
    metrics.add("answers_total", `status="${status}"`);
    metrics.time(
      "first_byte_ms",
      `kind="${route.kind}"`,
      (this.#firstByteAt ?? now) - arrivedAt,
    );
    metrics.time("answer_ms", `kind="${route.kind}"`, now - arrivedAt);
    log.write(events.REQUEST_SERVED, {
      id: caller.id,
      route: route.name,
      workspace: workspace?.name,
      model: caller.model,
      adapter: caller.adapter,
      engine: view?.engine.key,
      status,
      runs: this.#runs,
      loads: this.#loads,
      firstMs: Math.round((this.#firstByteAt ?? now) - arrivedAt),
      pauseMs: Math.round(this.#longestPauseMs) || undefined,
      ms: Math.round(now - arrivedAt),
    });
  }

  /** Sends the request to one engine and passes on what comes back. */
  #attempt(view: EngineView): Promise<AttemptEnd> {
    const { req, route, workspace, caller, body } = this.#in;
    const { protocol, connections, members, use } = this.#parts;
    const now = performance.now();
    const held = caller.adapter === undefined
      ? undefined
      : view.adapters.get(caller.adapter);
    const announced = this.#newestVersion();
    const priority = workspace?.priority ?? route.priority;
    const headers = protocol.forwardHeaders(req.rawHeaders, {
      deadlineMs: this.#endsAt - now,
      engineId: view.engine.id,
      workspace: workspace?.name,
      version: announced > 0 ? held?.version ?? announced : undefined,
      urgency: urgencyOf(
        priority,
        now - this.#in.arrivedAt > route.targetLatencyMs ||
          view.load(now) > view.engine.slots * CROWDED_LOAD,
      ),
      lastEventId: this.#lastEventId,
      bodyBytes: body?.length,
    });
    const call = connections.send(view.engine, {
      method: req.method ?? "GET",
      path: req.url ?? "/",
      headers,
      body,
      once: !this.#repeatable,
    }, {
      maxConnections: this.#in.maxConnections,
      instances: members.sharingCount(now),
    });
    this.#call = call;
    view.inFlight += 1;
    use.start(view.engine.key, caller.adapter);
    return new Promise<AttemptEnd>((resolve) => {
      this.#follow(view, call, resolve);
    }).finally(() => {
      view.inFlight -= 1;
      use.end(view.engine.key, caller.adapter);
    });
  }

  #follow(
    view: EngineView,
    call: EngineCall,
    resolve: (end: AttemptEnd) => void,
  ): void {
    const { route } = this.#in;
    let settled = false;
    const settle: Settle = Object.assign((end: AttemptEnd) => {
      if (settled) return;
      settled = true;
      clearTimeout(cut);
      clearTimeout(silence);
      if (end.kind !== "finished") call.req.destroy();
      // What was written may have run, unless the engine says otherwise.
      if (end.kind !== "not_run" && call.written()) this.#runs += 1;
      resolve(end);
    }, { ended: () => settled });
    const cut = setTimeout(
      () => settle({ kind: "timed_out" }),
      Math.max(0, this.#endsAt - performance.now()) + CUT_AFTER_MS,
    );
    const silentMs = Math.max(
      SILENT_MIN_MS,
      route.targetLatencyMs * SILENT_TARGETS,
    );
    const silence = setTimeout(() => {
      if (!call.written()) settle({ kind: "not_run", reason: "unreachable" });
      else if (this.#mayMove(view)) settle({ kind: "moved", reason: "silent" });
    }, silentMs);
    call.req.on("error", (err) => {
      if (this.#left) return settle({ kind: "finished" });
      if (!call.written()) {
        return settle({ kind: "not_run", reason: "unreachable" });
      }
      const reason = err.message.startsWith("Parse Error")
        ? "garbled"
        : "connection_lost";
      settle(
        this.#headSent
          ? { kind: "broken", reason }
          : { kind: "failed", reason },
      );
    });
    call.req.on("response", (answer) => {
      clearTimeout(silence);
      this.#takeAnswer(view, answer, settle);
    });
  }

  #takeAnswer(
    view: EngineView,
    answer: IncomingMessage,
    settle: Settle,
  ): void {
    const { caller, res } = this.#in;
    const status = answer.statusCode ?? 0;
    const head = this.#parts.protocol.readResponse(status, answer.rawHeaders);
    if (head.id !== undefined && head.id !== caller.id) {
      return settle(this.#spoiled("other_answer"));
    }
    if (head.wasNotExecuted) {
      answer.resume();
      const reason = status === 421
        ? "adapter_missing"
        : caller.adapter !== undefined && status === 503
        ? "not_run"
        : "shed";
      return settleAfter(answer, () => settle({ kind: "not_run", reason }));
    }
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && (!head.isSealed || head.id === undefined)) {
      return settle(this.#spoiled("unsealed"));
    }
    if (!isSuccess) return this.#takeError(view, answer, settle);
    view.health.recordResult("answered", performance.now());
    if (this.#headSent) {
      return this.#passEvents(view, answer, settle);
    }
    this.#firstByteAt = performance.now();
    if (this.#in.route.kind === "stream") {
      const headers = this.#in.route.resumable
        ? withoutLength(this.#parts.protocol.responseHeaders(answer.rawHeaders))
        : this.#parts.protocol.responseHeaders(answer.rawHeaders);
      res.writeHead(status, headers as string[]);
      res.flushHeaders();
      this.#headSent = true;
      return this.#passEvents(view, answer, settle);
    }
    this.#passPlain(view, answer, settle);
  }

  #spoiled(reason: string): AttemptEnd {
    return this.#headSent
      ? { kind: "broken", reason }
      : { kind: "failed", reason };
  }

  /** An engine's own failure: kept, and passed on if no retry succeeds. */
  #takeError(
    view: EngineView,
    answer: IncomingMessage,
    settle: Settle,
  ): void {
    const status = answer.statusCode ?? 0;
    const chunks: Buffer[] = [];
    const isWhole = watchEnd(answer);
    let size = 0;
    answer.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= KEPT_ANSWER_BYTES) chunks.push(chunk);
    });
    answer.on("error", () => settle(this.#spoiled("connection_lost")));
    answer.on("end", () => {
      if (settle.ended()) return;
      if (!isWhole()) return settle(this.#spoiled("connection_lost"));
      if (this.#headSent) {
        settle({ kind: "broken", reason: "engine_error" });
        return;
      }
      const kept = {
        status,
        headers: this.#parts.protocol.responseHeaders(answer.rawHeaders),
        body: Buffer.concat(chunks),
      };
      if (status < 500) {
        view.health.recordResult("answered", performance.now());
        this.#passKept(kept);
        settle({ kind: "finished" });
        return;
      }
      settle({ kind: "error_answer", answer: kept });
    });
  }

  /** A whole body is collected first where it may be repeated: a broken one is
   * then replaced without the caller's notice. */
  #passPlain(
    view: EngineView,
    answer: IncomingMessage,
    settle: Settle,
  ): void {
    const { res } = this.#in;
    const status = answer.statusCode ?? 200;
    const headers = this.#parts.protocol.responseHeaders(answer.rawHeaders);
    const chunks: Buffer[] = [];
    const isWhole = watchEnd(answer);
    answer.on("data", (chunk: Buffer) => chunks.push(chunk));
    answer.on("error", () => settle(this.#spoiled("connection_lost")));
    answer.on("end", () => {
      if (settle.ended()) return;
      if (!isWhole()) return settle(this.#spoiled("connection_lost"));
      const body = Buffer.concat(chunks);
      this.#headSent = true;
      res.writeHead(status, withLength(headers, body.length));
      res.end(body);
      this.#served(status, view);
      settle({ kind: "finished" });
    });
  }

  /** Passes on a stream's bytes; whole events only where it may go on at
   * another engine. */
  #passEvents(
    view: EngineView,
    answer: IncomingMessage,
    settle: Settle,
  ): void {
    const { res, route } = this.#in;
    this.#framer.reset();
    const isWhole = watchEnd(answer);
    let stall: NodeJS.Timeout | undefined;
    const watchStall = () => {
      clearTimeout(stall);
      if (!this.#repeatable) return;
      stall = setTimeout(() => {
        if (this.#mayMove(view)) settle({ kind: "moved", reason: "stalled" });
        else watchStall();
      }, STALLED_MS);
    };
    watchStall();
    answer.on("data", (chunk: Buffer) => {
      if (settle.ended()) return;
      this.#notePiece();
      watchStall();
      let bytes = chunk;
      if (route.resumable) {
        const framed = this.#framer.push(chunk);
        this.#lastEventId = framed.lastId ?? this.#lastEventId;
        bytes = framed.bytes;
      }
      if (bytes.length === 0 || res.destroyed || settle.ended()) return;
      if (!res.write(bytes)) {
        answer.pause();
        clearTimeout(stall);
        res.once("drain", () => {
          answer.resume();
          watchStall();
        });
      }
    });
    answer.on("error", () => {
      clearTimeout(stall);
      settle(
        this.#left
          ? { kind: "finished" }
          : { kind: "broken", reason: "connection_lost" },
      );
    });
    answer.on("end", () => {
      clearTimeout(stall);
      if (settle.ended()) return;
      if (!isWhole() || (route.resumable && this.#framer.pendingBytes > 0)) {
        settle({ kind: "broken", reason: "connection_lost" });
        return;
      }
      res.end();
      this.#served(answer.statusCode ?? 200, view);
      settle({ kind: "finished" });
    });
    answer.on("close", () => clearTimeout(stall));
  }
}

/** Calls `done` when the answer has been read, so that its connection can be
 * used again. */
function settleAfter(answer: IncomingMessage, done: () => void): void {
  answer.once("end", done);
  answer.once("error", done);
  answer.once("close", done);
}

/** 0 is first. A request that will miss its target goes behind those that can
 * still meet theirs; among equals priority decides. */
function urgencyOf(priority: number, isLate: boolean): number {
  return Math.min(9, priority + (isLate ? LATE_URGENCY : 0));
}
