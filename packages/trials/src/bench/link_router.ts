/** A router with one call of the size of a permit request.
 *
 * @module
 */
import { initTRPC } from "@trpc/server";

/** Input of the size of a permit request. */
export interface LinkRequest {
  readonly i: string;
  readonly t: string;
  readonly v: string;
  readonly w: string;
  readonly n: number;
  readonly d: number;
}

/** Output of the size of a permit reply. */
export interface LinkReply {
  readonly i: string;
  readonly e: number;
  readonly d: number;
}

const t = initTRPC.create();

/** The router that the measured links call. */
export const link_router = t.router({
  ask: t.procedure
    .input((value: unknown) => value as LinkRequest)
    .mutation(({ input }): LinkReply => ({ i: input.i, e: 7, d: input.d })),
});

/** Type of the router for clients. */
export type LinkRouter = typeof link_router;

/** A message of the server's process to its parent: its port once it listens,
 * and its byte count on request. */
export interface LinkServerMessage {
  readonly port?: number;
  /** Bytes that all connections have carried so far, in both directions. */
  readonly bytes?: number;
}
