/** The kept connections to all peers, by session id.
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

/** Typed client of one peer. */
export type PeerClient = TRPCClient<InstanceRouter>;

/** Limits of one call. */
export interface CallLimits {
  readonly signal: AbortSignal;
}

interface PeerLink {
  readonly connection: PeerConnection;
  readonly client: PeerClient;
}

/** What every link needs. */
export interface PeerLinksOptions {
  readonly token: string;
  readonly source_address?: string;
  /** Finds a member by session id, or nothing once it has left. */
  readonly findMember: (id: string) => Member | undefined;
}

/** Opens links on first use and closes those of members that left. */
export class PeerLinks {
  readonly #options: PeerLinksOptions;
  readonly #links = new Map<string, PeerLink>();

  constructor(options: PeerLinksOptions) {
    this.#options = options;
  }

  /** The client of a member. Throws {@linkcode PeerUnreachableError} if no
   * member has this session id. */
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

  /** Makes one short call to a member. Rejects if it fails. */
  async callMember(
    id: string,
    call: (client: PeerClient, limits: CallLimits) => Promise<unknown>,
  ): Promise<void> {
    const signal = AbortSignal.timeout(PEER_REQUEST_TIMEOUT_MS);
    await call(this.clientOf(id), { signal });
  }

  /** Closes the links to sessions that `isMember` does not know. */
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
