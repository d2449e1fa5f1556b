/** A loopback TCP proxy that can delay or reset its connections or stop
 * forwarding.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { connect, createServer, type Server, type Socket } from "node:net";

/** How a proxy handles the bytes that it receives. */
export type LinkState =
  | "open"
  /** Each chunk is delayed. */
  | "slow"
  /** Bytes and closes are under way for longer than a caller may wait, in each
   * direction. */
  | "full"
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
const FULL_DELAY_MS = 700;

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
  #isCut: ((port: number) => boolean) | undefined;

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

  /** Makes connections unresponsive, also later ones, for which `isCut` says so by
   * the port of the client; none if it is undefined. */
  cut(isCut: ((port: number) => boolean) | undefined): void {
    this.#isCut = isCut;
    for (const pair of this.#connections) {
      if (isCut?.(pair.near.remotePort ?? 0) === true) pair.isDead = true;
    }
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
    const isCut = this.#isCut?.(near.remotePort ?? 0) === true;
    const pair = { near, far, isDead: this.#state === "silent" || isCut };
    this.#connections.add(pair);
    this.#forward(pair, near, far);
    this.#forward(pair, far, near);
  }

  #forward(pair: ProxiedConnection, from: Socket, to: Socket): void {
    const deliver = this.#createQueue();
    from.setNoDelay(true);
    from.on("data", (bytes: Buffer) => {
      if (this.#state === "no_answers" && from === pair.far) pair.isDead = true;
      deliver(() => {
        // TCP has no gaps: a connection that lost bytes may not deliver later
        // ones.
        if (!pair.isDead && !to.destroyed) to.write(bytes);
      });
    });
    from.on("end", () => {
      if (pair.isDead) return;
      deliver(() => void setTimeout(() => to.end(), DELAY_MS));
    });
    // A "close" event follows each error, and its listener closes the other
    // side.
    from.on("error", () => undefined);
    from.on("close", (hadError) => {
      this.#connections.delete(pair);
      deliver(() => {
        if (hadError) to.resetAndDestroy();
        else setTimeout(() => to.destroy(), DELAY_MS * 2);
      });
    });
  }

  /** Returns a function that runs actions one after another, each after the
   * delay of the link. */
  #createQueue(): (action: () => void) => void {
    let slow = false;
    let dueMs = 0;
    let waiting = 0;
    let last = Promise.resolve();
    return (action) => {
      // Once slow, a connection stays slow.
      if (this.#state === "slow") slow = true;
      const delayMs = this.#state === "full"
        ? FULL_DELAY_MS
        : slow
        ? DELAY_MS
        : 0;
      dueMs = Math.max(dueMs, performance.now() + delayMs);
      if (delayMs === 0 && waiting === 0) return action();
      const actionDueMs = dueMs;
      waiting += 1;
      last = last
        .then(() => pause(Math.max(0, actionDueMs - performance.now())))
        .then(() => {
          waiting -= 1;
          action();
        });
    };
  }
}
