/** Persistent connections to all peers, by session id.
 *
 * @module
 */
import type { Member } from "@banyanlb/core";
import { createTRPCClient, type TRPCClient } from "@trpc/client";
import { PEER_REQUEST_TIMEOUT_MS } from "./constants.ts";
import {
  createPeerLink,
  PeerConnection,
  PeerUnreachableError,
} from "./peer_connection.ts";
import type { InstanceRouter } from "./instance_router.ts";

/** Typed client for calls to one peer. */
export type PeerClient = TRPCClient<InstanceRouter>;

/** Options that limit one call. */
export interface CallLimits {
  readonly signal: AbortSignal;
}

interface PeerLink {
  readonly connection: PeerConnection;
  readonly client: PeerClient;
}

/** Options that all links share. */
export interface PeerLinksOptions {
  readonly token: string;
  readonly source_address?: string;
  /** Finds a member by session id; `undefined` once it has left the fleet. */
  readonly findMember: (id: string) => Member | undefined;
}

/** Creates a link to a member on first use and closes the links of members that
 * have left. */
export class PeerLinks {
  readonly #options: PeerLinksOptions;
  readonly #links = new Map<string, PeerLink>();

  constructor(options: PeerLinksOptions) {
    this.#options = options;
  }

  /** Returns the client of a member. Throws {@linkcode PeerUnreachableError}
   * if no member has this session id. */
  clientOf(id: string): PeerClient {
    const existing = this.#links.get(id);
    if (existing !== undefined) return existing.client;
    const member = this.#options.findMember(id);
    if (member === undefined) {
      throw new PeerUnreachableError(`no member has session ${id}`);
    }
    const link = this.#createLink(member);
    this.#links.set(id, link);
    return link.client;
  }

  /** Makes one call to a member, with the timeout for short peer calls. Rejects
   * if the call fails. */
  async callMember(
    id: string,
    call: (client: PeerClient, limits: CallLimits) => Promise<unknown>,
  ): Promise<void> {
    const signal = AbortSignal.timeout(PEER_REQUEST_TIMEOUT_MS);
    await call(this.clientOf(id), { signal });
  }

  /** Closes the links to sessions for which `isMember` returns false. */
  prune(isMember: (id: string) => boolean): void {
    for (const [id, link] of this.#links) {
      if (isMember(id)) continue;
      link.connection.close();
      this.#links.delete(id);
    }
  }

  /** Closes all links. */
  close(): void {
    this.prune(() => false);
  }

  #createLink(member: Member): PeerLink {
    const { token, source_address } = this.#options;
    const connection = new PeerConnection({
      url: member.peer_url,
      token,
      ...(source_address === undefined ? {} : { source_address }),
    });
    const client = createTRPCClient<InstanceRouter>({
      links: [createPeerLink(connection)],
    });
    return { connection, client };
  }
}
