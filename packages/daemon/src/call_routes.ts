/** Routing table of the HTTP server for callers.
 *
 * @module
 */
import type { CallRoute } from "./caller_server.ts";
import { sendJson } from "./http_response.ts";
import type { ServeContext } from "./serve_context.ts";
import { serveModel } from "./serve_model.ts";
import { serveModels } from "./serve_models.ts";
import { serveService } from "./serve_service.ts";
import { serveSteering } from "./steering.ts";

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** Returns the routes of the server for callers. `isReady` decides the response
 * to `/readyz`. */
export function createCallRoutes(
  ctx: ServeContext,
  isReady: () => boolean,
): readonly CallRoute[] {
  return [
    {
      method: "POST",
      path: "/v1/chat/completions",
      handle: (call) => serveModel(ctx, call, "/v1/chat/completions"),
    },
    {
      method: "POST",
      path: "/v1/completions",
      handle: (call) => serveModel(ctx, call, "/v1/completions"),
    },
    {
      method: "GET",
      path: "/v1/models",
      handle: (call) => serveModels(ctx, call),
    },
    {
      method: "GET",
      path: "/v1/steering",
      handle: (call) => serveSteering(ctx, call),
    },
    {
      method: "ANY",
      path: "/services/:route/*",
      handle: (call) => serveService(ctx, call),
    },
    {
      method: "ANY",
      path: "/services/:route",
      handle: (call) => serveService(ctx, call),
    },
    {
      method: "GET",
      path: "/livez",
      handle: ({ res }) => {
        sendJson(res, STATUS_OK, { body: { live: true } });
        return Promise.resolve();
      },
    },
    {
      method: "GET",
      path: "/readyz",
      handle: ({ res }) => {
        const ready = isReady();
        const status = ready ? STATUS_OK : STATUS_UNAVAILABLE;
        sendJson(res, status, { body: { ready, ...ctx.freshness() } });
        return Promise.resolve();
      },
    },
  ];
}
