/** Example of a lease. It stays valid during a store outage because a successor
 * promises not to end it, and the successor ends it after the holder closes.
 *
 * @module
 */
import {
  LeasePeers,
  type PeerError,
  type PromiseAsk,
  type PromiseReply,
  SessionLease,
  SuccessorWatch,
} from "@banyanlb/lease";
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import { type ExampleContext, orThrow, waitUntil } from "./example_context.ts";

const TERM_MS = 1_500;
const LAST_TERM_MS = 60_000;
const OUTAGE_TERMS = 2;

/** Passes promise requests to the successor watches in the same process. */
class InProcessLeasePeers extends LeasePeers {
  readonly watches = new Map<string, SuccessorWatch>();

  override requestPromise(
    successor_id: string,
    req: PromiseAsk,
  ): ResultAsync<PromiseReply, PeerError> {
    const watch = this.watches.get(successor_id);
    if (watch !== undefined) return okAsync(watch.handlePromiseRequest(req));
    const message = `${successor_id} is not known; name a running process`;
    return errAsync({ kind: "unreachable", message });
  }
}

/** Starts a lease holder and its successor, makes the holder's lease
 * unreachable in the store, then closes the holder. */
export async function showLease(context: ExampleContext): Promise<void> {
  const { clock, print, store } = context;
  const peers = new InProcessLeasePeers();
  const terms = { term_ms: TERM_MS, last_term_ms: LAST_TERM_MS };
  const start = async (id: string, successors: readonly string[]) => {
    const deps = { ...context, peers };
    const result = await SessionLease.start(deps, { id, successors, ...terms });
    return orThrow(result);
  };
  const successor = await start("b.1", []);
  const holder = await start("a.1", ["b.1"]);
  const watch = new SuccessorWatch(
    { ...context, lease: successor },
    { id: "b.1", ...terms },
  );
  peers.watches.set("b.1", watch);
  const ended: string[] = [];
  watch.onEnded((id) => ended.push(id));
  watch.setWatchedSessions(["a.1"]);
  await clock.sleep(TERM_MS);

  store.setFaults(({ name }) =>
    name === "a.1" ? { kind: "unavailable" } : { kind: "none" }
  );
  await clock.sleep(OUTAGE_TERMS * TERM_MS);
  print(`lease: valid without the store: ${holder.remaining() > 0}`);

  store.setFaults();
  await holder.close();
  print(`lease: valid after close: ${holder.remaining() > 0}`);
  await waitUntil(clock, () => ended.length > 0);
  print(`lease: ended by its successor: ${ended[0]}`);
  await watch.close();
  await successor.close();
}
