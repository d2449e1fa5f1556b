/** Passes requests on to an instance that reaches the engines, and its responses
 * back to callers.
 *
 * The other instance does everything that it does for callers of its own: limits,
 * loads, retries. This one only carries bytes, so nothing counts twice. A request
 * is passed on once, and sent to a second instance only if the first cannot have
 * read it or says that it has not taken it.
 *
 * @module
 */
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
  type ServerResponse,
} from "node:http";
import type { EventLog } from "@banyanlb/core";
import { parseAddress } from "@banyanlb/platform";
import {
  type CallerProtocol,
  type CallerRequest,
  distanceBetween,
  type EngineReach,
  isAnswerStatus,
  type Member,
  type MemberTable,
  type ReadyMember,
  type Route,
} from "@banyanlb/serving";
import { sendErrorResponse } from "../error_response.ts";
import { deadlineOf } from "../exchange_input.ts";
import * as events from "../events.ts";
import type { GatewayMetrics } from "../metrics.ts";
import { NOT_TAKEN_HEADER, SENDER_HEADER } from "./passed_requests.ts";

/** Idle time after which a connection to an instance is closed, in
 * milliseconds. */
const IDLE_TIMEOUT_MS = 20_000;

/** How long a new connection to an instance may take, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/** Number of instances that one request is offered to. */
const OFFERS_MAX = 3;

/** Time that the way through another instance takes, in milliseconds: the engine
 * must end earlier for its answer to arrive. */
const HOP_MS = 20;

/** Time left below which a request is not passed on, in milliseconds. */
const TIME_LEFT_MIN_MS = 50;

/** How long after the deadline the other instance may take to say so, in
 * milliseconds. */
const DEADLINE_MARGIN_MS = 250;

/** Number of engines out of reach from which a request that found none is passed
 * on, although the service does not count as cut. */
const DOUBTED_MIN = 2;

/** Refusals for want of an engine that can be reached in time. */
const PATH_REASON = /^(no_engine|full|too_late|unreachable)(:|$)/;

/** Refusals for want of what the store would tell, or has to take first. */
const STORE_REASON = /^version_unknown:(unacknowledged|unconfirmed|unsettled)$/;

/** Cost of an instance in another zone of the region and in another region, as
 * fractions of busy time: links between regions are narrow. */
const DISTANCE_COSTS = [0, 0.1, 0.5] as const;

/** A request that is to be passed on. Its caller, route and key were checked. */
export interface PassableRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly caller: CallerRequest;
  readonly route: Route;
  readonly service: string;
  readonly body: Buffer | undefined;
  readonly arrivedAt: number;
}

/** Parts of the gateway that the passer uses. */
export interface RequestPasserOptions {
  readonly self: Member;
  readonly members: Pick<MemberTable, "takingPassed" | "membersReachingStore">;
  readonly reach: EngineReach;
  readonly protocol: CallerProtocol;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** What became of a request that was offered to an instance. */
type OfferResult =
  /** It was answered, or must not be offered again. */
  | "ended"
  /** The instance has not taken it. */
  | "not_taken";

/** Passes requests on while this instance does not reach their engines. */
export class RequestPasser {
  readonly #options: RequestPasserOptions;
  readonly #agent = new Agent({ keepAlive: true, timeout: IDLE_TIMEOUT_MS });

  constructor(options: RequestPasserOptions) {
    this.#options = options;
  }

  /** Whether requests for a service should be passed on at once. */
  isNeeded(service: string): boolean {
    return this.#options.reach.isCut(service);
  }

  /** Whether there is no engine of a service that could be tried, of `count`. */
  isHopeless(service: string, count: number): boolean {
    const { blocked } = this.#options.reach.reachOf(service, performance.now());
    return count > 0 && blocked.length >= count;
  }

  /** Whether a request that was to be refused for `reason` should be passed on:
   * another instance may reach engines, but decides alike on all else. */
  mayHelp(service: string, reason: string): boolean {
    if (STORE_REASON.test(reason)) return this.#reachingStore().length > 0;
    if (!PATH_REASON.test(reason)) return false;
    const { blocked } = this.#options.reach.reachOf(service, performance.now());
    return this.isNeeded(service) || blocked.length >= DOUBTED_MIN;
  }

  /** Passes a request on, for the `reason` for which it would be refused here.
   * Resolves to false if no instance has taken it: it has not run, and its caller
   * has no response yet. */
  async pass(passed: PassableRequest, reason?: string): Promise<boolean> {
    const { res } = passed;
    const tried = new Set<string>();
    const needsStore = reason !== undefined && STORE_REASON.test(reason);
    while (tried.size < OFFERS_MAX && !res.destroyed) {
      const member = this.#choose(
        needsStore ? this.#reachingStore() : this.#takingPassed(),
        tried,
      );
      const timeLeftMs = deadlineOf(passed) - performance.now();
      if (member === undefined || timeLeftMs < TIME_LEFT_MIN_MS) return false;
      tried.add(member.name);
      const result = await this.#offer(member, passed, timeLeftMs);
      if (result === "ended") return true;
    }
    return res.destroyed;
  }

  /** Closes the connections to other instances. */
  close(): void {
    this.#agent.destroy();
  }

  #takingPassed(): readonly ReadyMember[] {
    return this.#options.members.takingPassed(performance.now());
  }

  /** The instances that take requests and that the store replies to. */
  #reachingStore(): readonly ReadyMember[] {
    const reaching = new Set(
      this.#options.members.membersReachingStore(performance.now())
        .map(({ name }) => name),
    );
    return this.#takingPassed().filter(({ name }) => reaching.has(name));
  }

  /** The nearest of `members` that is not busy; of several alike any. */
  #choose(
    members: readonly ReadyMember[],
    tried: ReadonlySet<string>,
  ): ReadyMember | undefined {
    const { self } = this.#options;
    let best: ReadyMember | undefined;
    let bestCost = Infinity;
    for (const member of members) {
      if (tried.has(member.name)) continue;
      const cost = DISTANCE_COSTS[distanceBetween(self, member)] +
        member.busy + Math.random() * DISTANCE_COSTS[1];
      if (cost < bestCost) [best, bestCost] = [member, cost];
    }
    return best;
  }

  #offer(
    member: Member,
    passed: PassableRequest,
    timeLeftMs: number,
  ): Promise<OfferResult> {
    const { self, protocol, log, metrics } = this.#options;
    const { req, res, caller, body } = passed;
    const address = parseAddress(member.peerAddress);
    if (address === undefined) return Promise.resolve("not_taken");
    const startedAt = performance.now();
    const outgoing = request({
      agent: this.#agent,
      host: address.host,
      port: address.port,
      method: req.method ?? "GET",
      path: req.url ?? "/",
      headers: [
        ...protocol.passHeaders(req.rawHeaders, {
          deadlineMs: timeLeftMs - HOP_MS,
          bodyBytes: body?.length,
        }),
        SENDER_HEADER,
        `${self.name}#${self.incarnation}`,
      ],
      setHost: false,
    });
    return new Promise((resolve) => {
      let isEnded = false;
      const end = (result: OfferResult, fields: Record<string, unknown>) => {
        if (isEnded) return;
        isEnded = true;
        clearTimeout(timer);
        res.removeListener("close", abort);
        const outcome = String(fields.outcome);
        metrics.add("requests_passed_total", `outcome="${outcome}"`);
        log.write(events.REQUEST_PASSED, {
          id: caller.id,
          peer: member.name,
          ms: Math.round(performance.now() - startedAt),
          ...fields,
        });
        resolve(result);
      };
      // The other instance ends the work at the engine.
      const abort = () => outgoing.destroy();
      res.once("close", abort);
      const timer = setTimeout(() => {
        if (res.headersSent) res.destroy();
        else {
          sendErrorResponse(res, 504, { id: caller.id, reason: "timed_out" });
        }
        outgoing.destroy();
        end("ended", { outcome: "timed_out" });
      }, timeLeftMs + DEADLINE_MARGIN_MS);
      const fail = () => {
        if (!res.destroyed) {
          sendErrorResponse(res, 502, { id: caller.id, reason: "peer_lost" });
        }
        end("ended", { outcome: "lost" });
      };
      let isRead = false;
      whenWritten(outgoing, () => (isRead = true));
      outgoing.once("response", (response) => {
        if (!isAnswerStatus(response.statusCode)) {
          fail();
          outgoing.destroy();
          return;
        }
        if (response.headers[NOT_TAKEN_HEADER] !== undefined) {
          response.resume();
          return end("not_taken", { outcome: "not_taken" });
        }
        forward(response, res, protocol);
        response.once("close", () =>
          end("ended", {
            outcome: response.complete ? "answered" : "broken",
            status: response.statusCode,
          }));
      });
      outgoing.once("error", () => {
        if (res.headersSent) return;
        if (!isRead) return end("not_taken", { outcome: "unreachable" });
        fail();
      });
      outgoing.end(body);
    });
  }
}

/** Calls `listener` once a request may have been read at the other end, and ends
 * it if a connection takes too long. */
function whenWritten(outgoing: ClientRequest, listener: () => void): void {
  outgoing.once("socket", (socket) => {
    if (!socket.connecting) return listener();
    const timer = setTimeout(() => outgoing.destroy(), CONNECT_TIMEOUT_MS);
    outgoing.once("close", () => clearTimeout(timer));
    socket.once("connect", () => {
      clearTimeout(timer);
      listener();
    });
  });
}

/** Forwards a response as it arrives. One that breaks off breaks the caller's. */
function forward(
  response: IncomingMessage,
  res: ServerResponse,
  protocol: CallerProtocol,
): void {
  const headers = protocol.responseHeaders(response.rawHeaders);
  res.writeHead(response.statusCode ?? 502, headers as string[]);
  res.flushHeaders();
  response.on("error", () => res.destroy());
  response.on("close", () => {
    if (!response.complete) res.destroy();
  });
  response.pipe(res);
}
