/** A loopback TCP proxy that can delay or reset its connections or stop
 * forwarding.
 *
 * @module
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** How a proxy handles the bytes that it receives. */
export type LinkState =
  | "open"
  /** Each chunk is delayed. */
  | "slow"
  /** Bytes from the target are dropped. A connection that lost some forwards
   * nothing more in either direction. */
  | "no_answers"
  /** Nothing is forwarded. Connections that are open or opened in this state
   * stay unresponsive when the state changes again. */
  | "silent";

/** An address to listen at or to connect to. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

const DELAY_MS = 150;

interface ProxiedConnection {
  /** Socket to the client. */
  readonly near: Socket;
  /** Socket to the target. */
  readonly far: Socket;
  /** True once the connection forwards nothing more. */
  isDead: boolean;
}

/** A TCP proxy in front of one target address. */
export class LinkProxy {
  readonly #server: Server;
  readonly #connections = new Set<ProxiedConnection>();
  readonly #target: Endpoint;
  #state: LinkState = "open";

  constructor(target: Endpoint) {
    this.#target = target;
    this.#server = createServer((near) => this.#accept(near));
  }

  /** Starts listening. */
  listen({ host, port }: Endpoint): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** Sets the state for all connections, open and new. */
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

  /** Stops listening and resets all connections. */
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
        // TCP has no gaps: a connection that lost bytes may not deliver later
        // ones.
        if (!pair.isDead && !to.destroyed) to.write(bytes);
      };
      // Once delayed, a direction stays delayed; otherwise later bytes would
      // overtake earlier ones.
      if (slow) setTimeout(write, DELAY_MS);
      else write();
    });
    from.on("end", () => {
      if (!pair.isDead) setTimeout(() => to.end(), DELAY_MS);
    });
    // A "close" event follows each error, and its listener closes the other
    // side.
    from.on("error", () => undefined);
    from.on("close", (hadError) => {
      this.#connections.delete(pair);
      if (hadError) to.resetAndDestroy();
      else setTimeout(() => to.destroy(), DELAY_MS * 2);
    });
  }
}
