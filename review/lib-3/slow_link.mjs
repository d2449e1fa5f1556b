/** A loopback proxy before a machine, which stands for the clients' slow reading:
 * it takes all bytes from the machine at once and hands events on at a pace. It can
 * reset its connections; what it still holds is then lost.
 *
 * @module
 */
import { connect, createServer } from "node:net";

const STEP_MS = 50;
const EVENT_END = "\n\n";

/** The link of some clients to one machine. */
export class SlowLink {
  #target;
  #server;
  #pairs = new Set();
  #perSecond = Infinity;

  constructor(target) {
    this.#target = target;
    this.#server = createServer((near) => this.#accept(near));
  }

  get size() {
    return this.#pairs.size;
  }

  listen({ host, port }) {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** How many events a second are handed on in each connection. */
  setPace(perSecond) {
    this.#perSecond = perSecond;
  }

  /** Resets a share of the connections. */
  reset(share = 1) {
    const count = Math.floor(this.#pairs.size * share);
    for (const { near, far } of [...this.#pairs].slice(0, count)) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  close() {
    this.#server.close();
    this.reset();
  }

  #accept(near) {
    const far = connect(this.#target);
    const pair = { near, far };
    this.#pairs.add(pair);
    let held = "";
    let allowed = 0;
    let hasEnded = false;
    const timer = setInterval(() => {
      allowed = Math.min(
        this.#perSecond,
        allowed + this.#perSecond * STEP_MS / 1000,
      );
      while (held !== "" && allowed >= 1) {
        const at = held.indexOf(EVENT_END);
        const end = at < 0 ? held.length : at + EVENT_END.length;
        near.write(held.slice(0, end), "latin1");
        held = held.slice(end);
        allowed -= 1;
      }
      if (held === "" && hasEnded) near.end();
    }, STEP_MS);
    far.on("data", (chunk) => (held += chunk.toString("latin1")));
    far.on("end", () => (hasEnded = true));
    near.on("data", (chunk) => far.write(chunk));
    near.on("end", () => far.end());
    for (const socket of [near, far]) {
      socket.on("error", () => undefined);
    }
    near.on("close", () => {
      clearInterval(timer);
      this.#pairs.delete(pair);
      far.destroy();
    });
  }
}
