/** Receives callers' requests: finds the route and the workspace, checks access
 * and reads the body.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { pickService } from "@banyanlb/serving";
import { retryAfterSeconds, sendErrorResponse } from "./error_response.ts";
import * as events from "./events.ts";
import { Exchange } from "./exchange.ts";
import { deadlineOf } from "./exchange_input.ts";
import { readBody } from "./read_body.ts";
import type { RequestPasser } from "./reach/request_passer.ts";
import type {
  ConfigurationInUse,
  RelayDependencies,
} from "./relay_dependencies.ts";

/** Relays callers' requests to engines. */
export class Relay {
  readonly #deps: RelayDependencies;

  constructor(deps: RelayDependencies) {
    this.#deps = deps;
  }

  /** Serves one caller's request. Resolves when the request has ended. */
  async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    await this.#serve(req, res, this.#deps.passer);
  }

  /** Serves a request that another instance has passed on. */
  async servePassed(req: IncomingMessage, res: ServerResponse): Promise<void> {
    await this.#serve(req, res, undefined);
  }

  async #serve(
    req: IncomingMessage,
    res: ServerResponse,
    passer: RequestPasser | undefined,
  ): Promise<void> {
    const { protocol, metrics, log } = this.#deps;
    const arrivedAt = performance.now();
    const caller = protocol.readRequest(req.rawHeaders);
    const routeTable = this.#deps.routeTable();
    const configuration: ConfigurationInUse = {
      configuration: routeTable?.configuration.version,
      configurationAgeMs: Math.round(this.#deps.configurationAgeMs(arrivedAt)),
    };
    const refuse = (status: number, reason: string, waitSeconds?: number) => {
      metrics.add("refusals_total", `reason="${reason}"`);
      log.write(events.REQUEST_REFUSED, {
        id: caller.id,
        status,
        reason,
        waitSeconds,
        ms: Math.round(performance.now() - arrivedAt),
        ...configuration,
      });
      sendErrorResponse(res, status, { id: caller.id, reason, waitSeconds });
    };
    if (routeTable === undefined) return refuse(503, "no_configuration", 0.5);
    if (caller.id === undefined || req.headers.host === undefined) {
      return refuse(400, "malformed");
    }
    const route = routeTable.findRoute(req.headers.host, req.url ?? "/");
    if (route === undefined) return refuse(404, "no_route");
    const workspace = caller.key === undefined
      ? undefined
      : routeTable.findWorkspace(caller.key);
    const needsKey = !route.isPublic &&
      routeTable.configuration.workspaces.length > 0;
    if (needsKey && workspace === undefined) return refuse(401, "unknown_key");
    if (!this.#deps.hasTimeFor(route)) return refuse(503, "leaving", 0);
    const service = pickService(route, Math.random());
    if (service === undefined) return refuse(503, "no_service", 1);
    const body = await readBody(req, res, {
      maxBytes: routeTable.configuration.limits.maxBodyBytes,
      room: this.#deps.bodyRoom,
      workspace: workspace?.name ?? "",
      deadline: deadlineOf({ caller, route, arrivedAt }),
    });
    if (body === "too_large") return refuse(413, "body_too_large");
    if (body === "no_memory") return refuse(503, "no_memory", 1);
    if (body === "late") return refuse(408, "body_late");
    if (body === "broken") {
      res.destroy();
      return;
    }
    const passed = { req, res, caller, route, service, body, arrivedAt };
    if (passer?.isNeeded(service) === true) {
      if (await passer.pass(passed)) return;
      // No instance reaches more than this one does.
      const engines = this.#deps.chooser.keysOf(service);
      if (passer.isHopeless(service, engines.length)) {
        return refuse(503, "no_path", retryAfterSeconds());
      }
    }
    this.#deps.retryBudgetOf(service).recordRequest(arrivedAt);
    // Engines may be out of reach since a moment ago.
    const refuseOrPass = (status: number, reason: string, wait?: number) => {
      const mayPass = status === 503 &&
        passer?.mayHelp(service, reason) === true;
      if (!mayPass) return refuse(status, reason, wait);
      passer.pass(passed, reason).then((isPassed) => {
        if (!isPassed) refuse(status, reason, wait);
      }, () => res.destroy());
    };
    const exchange = new Exchange(this.#deps, {
      req,
      res,
      caller,
      route,
      workspace,
      service,
      maxConnections: routeTable.findService(service)?.maxConnections ?? 64,
      body,
      arrivedAt,
      configuration,
      refuse: refuseOrPass,
    });
    await exchange.run();
  }
}
