/** Sends the orders that change the models of an engine.
 *
 * @module
 */
import type { EngineView, ModelOrder } from "@banyanlb/serving";
import type { AdapterLoaderOptions } from "../adapter_loader.ts";
import * as events from "../events.ts";
import { ORDER_TIMEOUT_MAX_MS, type OwnedEngine } from "../owned_engine.ts";

/** Sends an order to load or drop a model, once a report tells how many orders the
 * engine has accepted. One without a reply is planned anew from the next report:
 * the engine carries out only one order with that number.
 *
 * @example
 * ```ts
 * void sendModelOrder(options, { view, engine }, { action: "load", model });
 * ```
 */
export async function sendModelOrder(
  { control, membership, self, log }: Pick<
    AdapterLoaderOptions,
    "control" | "membership" | "self" | "log"
  >,
  { view, engine }: { readonly view: EngineView; readonly engine: OwnedEngine },
  { action, model }: ModelOrder,
): Promise<void> {
  const { orderCount } = engine.models;
  if (orderCount === undefined) return;
  engine.isOrdering = true;
  engine.models.recordSent();
  const reply = await control.order(view.engine, {
    action,
    model,
    adapter: undefined,
    version: undefined,
    orderCount,
    holder: self,
    fence: membership.fence,
  }, ORDER_TIMEOUT_MAX_MS);
  engine.isOrdering = false;
  const isAccepted = reply === "accepted" || reply === "complete";
  if (isAccepted) {
    engine.models.recordAccepted({ action, model });
    engine.adapterSlots.doubt();
  }
  log.write(isAccepted ? events.ORDER_ANSWERED : events.ORDER_FAILED, {
    engine: view.engine.key,
    action,
    model,
    fence: membership.fence,
    answer: reply,
  });
}
