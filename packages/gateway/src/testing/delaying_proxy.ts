/** A TCP proxy that delays bytes, in both directions and in their order, as a
 * full link does.
 *
 * @module
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** A proxy before one server. */
export class DelayingProxy {
  /** Time that a byte takes in each direction, in milliseconds. */
  delayMs = 0;
  readonly #targetPort: number;
  readonly #sockets = new Set<Socket>();
  readonly #server = createServer((socket) => this.#accept(socket));

  constructor(targetPort: number) {
    this.#targetPort = targetPort;
  }

  /** Starts the proxy on a free port, which is returned. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return (this.#server.address() as AddressInfo).port;
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(near: Socket): void {
    const far = connect(this.#targetPort, "127.0.0.1");
    for (const socket of [near, far]) {
      this.#sockets.add(socket);
      // The close event, which always follows, closes the other side.
      socket.on("error", () => undefined);
    }
    this.#forward(near, far);
    this.#forward(far, near);
  }

  #forward(from: Socket, to: Socket): void {
    let lastDueAt = 0;
    const later = (act: () => void) => {
      const now = performance.now();
      lastDueAt = Math.max(lastDueAt, now + this.delayMs);
      setTimeout(() => {
        if (!to.destroyed) act();
      }, lastDueAt - now);
    };
    from.on("data", (chunk) => later(() => to.write(chunk)));
    from.on("close", () => {
      this.#sockets.delete(from);
      later(() => to.destroy());
    });
  }
}
