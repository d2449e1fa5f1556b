/** An operator's connection to one instance.
 *
 * @module
 */
import type { ConfigObject } from "@banyanlb/core";
import {
  createPeerLink,
  type InstanceRouter,
  PeerConnection,
} from "@banyanlb/daemon";
import { createTRPCClient, type TRPCClient } from "@trpc/client";

/** An operator's client, and a function that closes its connection. */
export interface OperatorConnection {
  readonly client: TRPCClient<InstanceRouter>;
  readonly close: () => void;
}

/** Connects to the peer port of an instance. */
export function connectOperator(
  url: string,
  token: string,
): OperatorConnection {
  const connection = new PeerConnection({ url, token });
  const client = createTRPCClient<InstanceRouter>({
    links: [createPeerLink(connection)],
  });
  return { client, close: () => connection.close() };
}

/** Publishes objects that must not exist yet. Throws if the instance refuses
 * them. */
export async function publishNew(
  connection: OperatorConnection,
  objects: readonly ConfigObject[],
): Promise<void> {
  const put = objects.map((object) => ({ object, base: null }));
  const reply = await connection.client.operator.publish.mutate({
    put,
    remove: [],
  });
  if (reply.error === undefined) return;
  throw new Error(JSON.stringify(reply.error));
}
