/** Engines on loopback that end while they run requests.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { listen, portOf } from "./start_relay.ts";

/** Handles a request at an engine; `end` ends the engine after some time, once. */
export type EndingHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  end: (afterMs: number) => void,
) => void;

/** Starts engines with the same handler. `endedCount` is the number of those
 * that have ended. */
export async function startEndingEngines(
  count: number,
  handle: EndingHandler,
): Promise<
  { readonly ports: readonly number[]; readonly endedCount: () => number }
> {
  let endedCount = 0;
  const ports: number[] = [];
  for (let i = 0; i < count; i += 1) {
    let isEnding = false;
    const end = (afterMs: number) => {
      if (isEnding) return;
      isEnding = true;
      setTimeout(() => {
        endedCount += 1;
        server.close();
        server.closeAllConnections();
      }, afterMs);
    };
    const server = await listen((req, res) => handle(req, res, end));
    ports.push(portOf(server));
  }
  return { ports, endedCount: () => endedCount };
}
