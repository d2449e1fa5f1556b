/** A loopback proxy that harms the connections through it.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** What a proxy does to bytes. */
export type LinkState =
  | "open"
  /** Each piece comes later. */
  | "slow"
  /** Nothing comes back. */
  | "no_answers"
  /** Nothing passes, and connections made before stay silent for good. */
  | "silent";

/** An address to listen at or to lead to. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

const DELAY_MS = 150;

interface ProxiedConnection {
  readonly near: Socket;
  readonly far: Socket;
  /** Whether it was silenced for good. */
  isDead: boolean;
}

/** A TCP proxy to one address. */
export class LinkProxy {
  readonly #server: Server;
  readonly #connections = new Set<ProxiedConnection>();
  readonly #target: Endpoint;
  #state: LinkState = "open";

  constructor(target: Endpoint) {
    this.#target = target;
    this.#server = createServer((near) => this.#accept(near));
  }

  /** Starts to listen. */
  listen({ host, port }: Endpoint): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** Puts a state in force. */
  setState(state: LinkState): void {
    this.#state = state;
    if (state !== "silent") return;
    for (const pair of this.#connections) pair.isDead = true;
  }

  /** Resets all connections. */
  reset(): void {
    for (const { near, far } of this.#connections) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  /** Ends the proxy. */
  close(): void {
    this.#server.close();
    this.reset();
  }

  #accept(near: Socket): void {
    const far = connect(this.#target);
    const pair = { near, far, isDead: this.#state === "silent" };
    this.#connections.add(pair);
    this.#forward(pair, near, far);
    this.#forward(pair, far, near);
  }

  #forward(pair: ProxiedConnection, from: Socket, to: Socket): void {
    let slow = false;
    from.setNoDelay(true);
    from.on("data", (bytes: Buffer) => {
      if (this.#state === "no_answers" && from === pair.far) pair.isDead = true;
      if (this.#state === "slow") slow = true;
      const write = () => {
        // A stream of bytes has no gaps: what lost some stays silent.
        if (!pair.isDead && !to.destroyed) to.write(bytes);
      };
      // Once slow, a connection stays so, or later bytes would overtake.
      if (slow) setTimeout(write, DELAY_MS);
      else write();
    });
    from.on("end", () => {
      if (!pair.isDead) setTimeout(() => to.end(), DELAY_MS);
    });
    // An error closes one side; the other is closed with it.
    from.on("error", () => undefined);
    from.on("close", (hadError) => {
      this.#connections.delete(pair);
      if (hadError) to.resetAndDestroy();
      else setTimeout(() => to.destroy(), DELAY_MS * 2);
    });
  }
}
