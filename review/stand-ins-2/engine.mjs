/** A stand-in for an engine: it runs requests and orders, and keeps its entry in
 * the store. */
import { createServer } from "node:http";

const HEARTBEAT_MS = 1200;
const LOAD_MS = 250;
const FETCHES_MAX = 4;

export class Engine {
  #options;
  #server;
  #timer;
  #adapters = new Map();
  #orderCount = 0;
  #running = 0;
  /** Number of answers, of any kind. */
  answers = 0;

  /** `options`: store, record, id, host, service, zone, version of the software,
   * slots, model (none for a service without models), adapterSlots, events and
   * eventMs of a stream. `onOrder(req)` may answer an order that was carried out, and return
   * true. */
  constructor(options) {
    this.#options = {
      zone: "a-1",
      state: "ready",
      version: "v1",
      slots: 32,
      adapterSlots: 21,
      events: 40,
      eventMs: 50,
      born: Date.now(),
      onOrder: () => false,
      ...options,
    };
    this.#server = createServer((req, res) => void this.#handle(req, res));
  }

  get id() {
    return this.#options.id;
  }

  async start() {
    const { host } = this.#options;
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.#beat();
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MS);
    return this;
  }

  close() {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Says that it leaves. It serves on. */
  drain() {
    this.#options.state = "draining";
    this.#beat();
  }

  /** Leaves: its entry is removed. */
  leave() {
    clearInterval(this.#timer);
    this.#options.store.remove("servers", this.#options.id);
    this.close();
  }

  #beat() {
    const { store, id, service, host, zone, version, slots, born, state } =
      this.#options;
    store.write("servers", id, {
      service,
      address: `${host}:${this.#server.address().port}`,
      zone,
      version,
      slots,
      state,
      cold_left_ms: 0,
      born,
      ...this.#state(),
    });
  }

  #state() {
    const { model } = this.#options;
    if (model === undefined) return { seq: 0 };
    const now = performance.now();
    const names = (isReady) =>
      [...this.#adapters].filter(([, a]) => (a.readyAt <= now) === isReady)
        .map(([name, a]) => `${name}@${a.version}`);
    return {
      seq: this.#orderCount,
      stage: "combined",
      models: [{ name: model, version: 1, adapters: names(true) }],
      coming: names(false).map((name) => `${model}/${name}`),
    };
  }

  async #handle(req, res) {
    const { id, born, record, onOrder } = this.#options;
    this.answers += 1;
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      // The machine has closed its connection before the request was whole.
      return;
    }
    const expected = req.headers["expect-instance"];
    if (expected !== undefined && expected !== id) {
      return res.writeHead(421, { "Instance-Id": id }).end();
    }
    if (req.url === "/v1/report") {
      return sendJson(res, 200, {
        born,
        busy: false,
        waiting: 0,
        running: this.#running,
        ...this.#state(),
      });
    }
    if (req.url === "/v1/order") {
      const order = JSON.parse(Buffer.concat(chunks).toString());
      const status = this.#order(order);
      record("order", { engine: id, status, ...order });
      if (onOrder(req) === true) return;
      return sendJson(res, status, {});
    }
    await this.#run(req, res);
  }

  #order(order) {
    const { operation, adapter, version = 1, expected_rev: expected } = order;
    const { adapterSlots } = this.#options;
    if (order.holder === undefined || order.fence_token === undefined) {
      return 400;
    }
    if (expected !== undefined && expected !== this.#orderCount) return 409;
    // The model is held from the start.
    if (adapter === undefined) return operation === "load" ? 200 : 409;
    const now = performance.now();
    const held = this.#adapters.get(adapter);
    if (operation === "load") {
      if (held !== undefined && held.version >= version) return 200;
      const fetching = [...this.#adapters.values()]
        .filter(({ readyAt }) => readyAt > now);
      if (fetching.length >= FETCHES_MAX) return 409;
      if (held === undefined && this.#adapters.size >= adapterSlots) return 409;
      const readyAt = now + LOAD_MS;
      this.#adapters.set(adapter, { version, readyAt, running: 0 });
      this.#orderCount += 1;
      return 202;
    }
    if (held === undefined) return 200;
    this.#orderCount += 1;
    if (held.running > 0) {
      held.isUnloaded = true;
      return 202;
    }
    this.#adapters.delete(adapter);
    return 200;
  }

  async #run(req, res) {
    const { id: engine, record, version, events, eventMs, model } =
      this.#options;
    const id = req.headers["request-id"] ?? "";
    const [, name] = String(req.headers.model ?? "").split("/");
    const adapter = name === undefined ? undefined : this.#adapters.get(name);
    if (
      name !== undefined &&
      (adapter === undefined || adapter.readyAt > performance.now())
    ) {
      return res.writeHead(421, { "Request-Id": id, "Not-Executed": "1" })
        .end();
    }
    if (adapter?.isUnloaded === true) {
      return res.writeHead(503, { "Request-Id": id, "Not-Executed": "1" })
        .end();
    }
    record("run", {
      engine,
      id,
      path: req.url,
      after: req.headers["last-event-id"],
    });
    const head = {
      "Request-Id": id,
      "Response-Seal": `${engine}.${id}`,
      "Weight-Versions": "1",
    };
    this.#running += 1;
    if (adapter !== undefined) adapter.running += 1;
    if (model === undefined) {
      await pause(20);
      res.writeHead(200, head).end(`done ${id}`);
    } else {
      res.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
      for (
        let n = Number(req.headers["last-event-id"] ?? 0) + 1;
        n <= events && !res.destroyed;
        n += 1
      ) {
        await pause(eventMs);
        res.write(`id: ${n}\ndata: ${version} ${n}\n\n`);
      }
      res.end();
    }
    this.#running -= 1;
    if (adapter === undefined) return;
    adapter.running -= 1;
    if (adapter.isUnloaded && adapter.running === 0) {
      this.#adapters.delete(name);
    }
  }
}

function sendJson(res, status, value) {
  const body = JSON.stringify(value);
  res.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(body),
  }).end(body);
}

export function pause(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
