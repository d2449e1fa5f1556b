/** The trpc instance from which all routers of the daemon are created.
 *
 * @module
 */
import { initTRPC } from "@trpc/server";

/** Context of a peer's or operator's connection. */
export interface PeerContext {
  /** True if the connection presented the fleet's token. */
  readonly is_trusted: boolean;
}

const t = initTRPC.context<PeerContext>().create();

/** Creates a router. */
export const createRouter = t.router;

/** Procedure that rejects calls on connections that did not present the fleet's
 * token. */
export const trustedProcedure = t.procedure.use(({ ctx, next }) => {
  if (!ctx.is_trusted) {
    throw new Error("connection has no fleet token; set peer_token");
  }
  return next();
});
