/** Opens listeners on addresses that may not be free yet.
 *
 * @module
 */
import { once } from "node:events";
import type { Server } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import type { ListenAddress } from "@banyanlb/platform";
import type { EventLog } from "@banyanlb/core";
import * as events from "./events.ts";

/** Time between two attempts, in milliseconds. */
const RETRY_PAUSE_MS = 100;

/** Number of attempts between two lines in the log. */
const LOGGED_ATTEMPTS = 50;

/** Failures that pass: a former process still holds the address, the address is
 * not assigned yet, or descriptors are used up. */
const TRANSIENT_CODES: ReadonlySet<string | undefined> = new Set([
  "EADDRINUSE",
  "EADDRNOTAVAIL",
  "EMFILE",
  "ENFILE",
]);

/** Number of connections that wait to be accepted: callers may come all at
 * once. */
const BACKLOG = 1024;

/** Binds a server to an address. Rejects if that fails; it can be tried again.
 *
 * @example
 * ```ts
 * await bindServer(server, { host: "127.0.0.1", port: 8080 });
 * ```
 */
export async function bindServer(
  server: Server,
  address: ListenAddress,
): Promise<void> {
  server.listen(address.port, address.host, BACKLOG);
  // Rejects if the server emits an error first.
  await once(server, "listening");
}

/** Calls `bind` until it succeeds or `isClosed` returns true. Rejects with the
 * error of an attempt if waiting cannot help.
 *
 * @example
 * ```ts
 * await openListener(() => server.listen(address), {
 *   address,
 *   isClosed: () => isDraining,
 *   log,
 * });
 * ```
 */
export async function openListener(
  bind: () => Promise<void>,
  options: {
    readonly address: ListenAddress;
    readonly isClosed: () => boolean;
    readonly log: EventLog;
  },
): Promise<void> {
  const { address, isClosed, log } = options;
  for (let attempt = 0; !isClosed(); attempt += 1) {
    try {
      return await bind();
    } catch (err) {
      const { code } = err as NodeJS.ErrnoException;
      if (!TRANSIENT_CODES.has(code)) throw err;
      if (attempt % LOGGED_ATTEMPTS === 0) {
        log.write(events.ADDRESS_NOT_FREE, {
          address: `${address.host}:${address.port}`,
          reason: code,
        });
      }
      await pause(RETRY_PAUSE_MS);
    }
  }
}
