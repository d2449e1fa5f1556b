/** Example of a published set: each change is applied as a whole, and every
 * instance follows it.
 *
 * @module
 */
import {
  ConfigFollower,
  ConfigPeers,
  type Evidence,
  type FetchReply,
  type PeerError,
  Publisher,
} from "@banyanlb/published";
import { errAsync, type ResultAsync } from "neverthrow";
import {
  errorKind,
  type ExampleContext,
  orThrow,
  waitUntil,
} from "./example_context.ts";

const UNREACHABLE: PeerError = {
  kind: "unreachable",
  message: "there are no peers; read the store",
};

/** Configuration peers that are all unreachable, so that instances read only
 * the store. */
class NoConfigPeers extends ConfigPeers {
  override evidence(): ResultAsync<Evidence, PeerError> {
    return errAsync(UNREACHABLE);
  }

  override fetch(): ResultAsync<FetchReply, PeerError> {
    return errAsync(UNREACHABLE);
  }
}

function createInstance(context: ExampleContext) {
  const peers = new NoConfigPeers();
  const follower = new ConfigFollower({ ...context, peers });
  follower.start();
  const publisher = new Publisher({ ...context, follower });
  return { follower, publisher };
}

/** Publishes changes on one instance and follows them on another. */
export async function showPublishedSet(
  context: ExampleContext,
): Promise<void> {
  const { clock, print } = context;
  const a = createInstance(context);
  const b = createInstance(context);
  const workspace = {
    kind: "workspace",
    name: "acme",
    rate_tokens_per_s: 300,
    burst_tokens: 600,
  } as const;
  const key = {
    kind: "key",
    name: "acme-1",
    workspace: "acme",
    sha256: "0".repeat(64),
  } as const;

  const incomplete = await a.publisher.publish({
    put: [{ object: key, base: null }],
    remove: [],
  });
  print(`published: a key without workspace: ${errorKind(incomplete)}`);
  const combined = await a.publisher.publish({
    put: [{ object: workspace, base: null }, { object: key, base: null }],
    remove: [],
  });
  const { generation } = orThrow(combined);
  print(`published: both together: generation ${generation}`);
  await waitUntil(clock, () => b.follower.generation >= generation);
  const published_key = b.follower.current()?.keyBySha256(key.sha256);
  print(`published: in force on the other instance: ${published_key?.name}`);
  const outdated = await b.publisher.publish({
    put: [{ object: { ...workspace, burst_tokens: 900 }, base: null }],
    remove: [],
  });
  print(`published: an edit with an old base: ${errorKind(outdated)}`);
  for (const { follower, publisher } of [a, b]) {
    await follower.close();
    await publisher.close();
  }
}
