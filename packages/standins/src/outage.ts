/** Outages that every service of the platform can have.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Gate } from "./gate.ts";
import { resetConnection } from "./http_io.ts";

/** Kinds of outage. */
export type OutageKind = "none" | "refuse" | "hang";

/** Refuses or holds calls back. */
export class Outage {
  readonly #gate = new Gate();
  #kind: OutageKind = "none";

  /** Starts or ends an outage. Held calls go on when it ends. */
  set(kind: OutageKind): void {
    this.#kind = kind;
    this.#gate.setOpen(kind !== "hang");
  }

  /** Passes a call. `false`: it was refused, or its caller left while it was
   * held. */
  async admit(req: IncomingMessage): Promise<boolean> {
    if (this.#kind === "refuse") {
      resetConnection(req);
      return false;
    }
    await this.#gate.wait();
    return !req.socket.destroyed;
  }
}
