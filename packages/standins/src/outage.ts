/** Simulated outages of the platform's services.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Gate } from "./gate.ts";
import { resetConnection } from "./http_io.ts";

/** Kinds of outage: `refuse` resets each call, `hang` holds calls. */
export type OutageKind = "none" | "refuse" | "hang";

/** Resets or holds calls during an outage. */
export class Outage {
  readonly #gate = new Gate();
  #kind: OutageKind = "none";

  /** Starts or ends an outage. Held calls continue when it ends. */
  set(kind: OutageKind): void {
    this.#kind = kind;
    this.#gate.setOpen(kind !== "hang");
  }

  /** Waits while calls are held. Returns `false` if the call was reset, or if
   * the client disconnected while its call was held. */
  async admit(req: IncomingMessage): Promise<boolean> {
    if (this.#kind === "refuse") {
      resetConnection(req);
      return false;
    }
    await this.#gate.wait();
    return !req.socket.destroyed;
  }
}
