/** The trpc instance that every router of the daemon builds on.
 *
 * @module
 */
import { initTRPC } from "@trpc/server";

/** What a connection proved about its caller. */
export interface PeerContext {
  /** True if the connection presented the fleet's token. */
  readonly is_trusted: boolean;
}

const t = initTRPC.context<PeerContext>().create();

/** Builds a router. */
export const createRouter = t.router;

/** A procedure for connections that presented the fleet's token. */
export const trustedProcedure = t.procedure.use(({ ctx, next }) => {
  if (!ctx.is_trusted) {
    throw new Error("connection has no fleet token; set peer_token");
  }
  return next();
});
