/** A router with one call as large as an ask for a permit.
 *
 * @module
 */
import { initTRPC } from "@trpc/server";

/** An ask of the size of a permit's. */
export interface LinkRequest {
  readonly i: string;
  readonly t: string;
  readonly v: string;
  readonly w: string;
  readonly n: number;
  readonly d: number;
}

/** An answer of the size of a permit's. */
export interface LinkReply {
  readonly i: string;
  readonly e: number;
  readonly d: number;
}

const t = initTRPC.create();

/** The router of the measurement. */
export const link_router = t.router({
  ask: t.procedure
    .input((value: unknown) => value as LinkRequest)
    .mutation(({ input }): LinkReply => ({ i: input.i, e: 7, d: input.d })),
});

/** Type of the router for clients. */
export type LinkRouter = typeof link_router;

/** What the server's process tells its parent. */
export interface LinkServerMessage {
  readonly port?: number;
  /** Bytes that all connections carried so far. */
  readonly bytes?: number;
}
