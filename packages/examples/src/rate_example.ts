/** Example of a workspace's rate limit that is split between two holders.
 *
 * @module
 */
import {
  RateClient,
  type RatePeerError,
  RatePeers,
  RateShares,
  type RateWorkspace,
  type ReserveAsk,
  type ReserveReply,
  type SettleBatch,
} from "@banyanlb/rate";
import { okAsync, type ResultAsync } from "neverthrow";
import { errorKind, type ExampleContext, orThrow } from "./example_context.ts";

const WORKSPACE: RateWorkspace = {
  name: "acme",
  rate: 300,
  burst: 600,
  slots: [0, 1, 2],
};
const HOLDERS = ["a.1", "b.1", "b.1"] as const;
const REFILL_MS = 3_000;

/** Passes calls to the rate shares in the same process. */
class InProcessRatePeers extends RatePeers {
  readonly shares = new Map<string, RateShares>();

  override reserve(
    holder: string,
    request: ReserveAsk,
  ): ResultAsync<ReserveReply, RatePeerError> {
    return okAsync(this.sharesOf(holder).reserve(request));
  }

  override settle(
    holder: string,
    batch: SettleBatch,
  ): ResultAsync<void, RatePeerError> {
    return okAsync(this.sharesOf(holder).settle(batch));
  }

  sharesOf(holder: string): RateShares {
    const shares = this.shares.get(holder);
    if (shares === undefined) throw new Error(`${holder} holds no share`);
    return shares;
  }
}

/** Reserves one request's tokens from all holders' shares; two further requests
 * are refused. */
export async function showRate(context: ExampleContext): Promise<void> {
  const { clock, print } = context;
  const peers = new InProcessRatePeers();
  for (const [slot, holder] of HOLDERS.entries()) {
    const shares = peers.shares.get(holder) ?? new RateShares({
      ...context,
      lease: { remaining: () => Infinity },
    });
    peers.shares.set(holder, shares);
    shares.setWorkspaces([WORKSPACE]);
    shares.hold(slot, { epoch: 1 });
  }
  const client = new RateClient({
    ...context,
    self: "a.1",
    shares: peers.sharesOf("a.1"),
    peers,
    view: () => HOLDERS.map((holder, slot) => ({ slot, holder })),
  });
  // Newly held shares start empty and refill at the workspace's rate.
  await clock.sleep(REFILL_MS);
  const request = { workspace: WORKSPACE.name, tokens: 450 };
  const first = orThrow(await client.acquire(request));
  print(`rate: reserved ${first.tokens} tokens, usable: ${first.isUsable()}`);
  const second = await client.acquire(request);
  print(`rate: the next request: ${errorKind(second)}`);
  const oversized_request = { ...request, tokens: 5_000 };
  const third = await client.acquire(oversized_request);
  print(`rate: a request above the burst: ${errorKind(third)}`);
  first.settle(first.tokens);
  await client.close();
}
