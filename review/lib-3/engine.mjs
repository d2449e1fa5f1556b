/** A stand-in for a model engine or an application server, in the process of the
 * script.
 *
 * @module
 */
import { createServer } from "node:http";

const HEARTBEAT_MS = 1200;
const PORT = 8080;

/** How long an engine that has crashed is away. */
const AWAY_MS = 2000;

/** Serves requests, and keeps its entry in the store. */
export class Engine {
  #options;
  #models;
  #server;
  #timer;
  #state = "ready";
  #born = Date.now();
  #orders = 0;
  #running = 0;

  /** `options`: id, service, host, zone, slots, model (if it has one), version
   * (of its software), respond (runs a request), store and record. With `sizes`,
   * in MB by model, and `weightsMb` it carries out orders to load models. */
  constructor(options) {
    this.#options = options;
    this.#models = options.model === undefined ? [] : [options.model];
    this.#server = createServer((req, res) => void this.#serve(req, res));
    this.#server.keepAliveTimeout = 30_000;
  }

  get id() {
    return this.#options.id;
  }

  get running() {
    return this.#running;
  }

  async start() {
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(PORT, this.#options.host, resolve);
    });
    this.#writeEntry();
    this.#timer = setInterval(() => this.#writeEntry(), HEARTBEAT_MS);
  }

  /** What an engine that leaves says in all its answers. */
  get #notices() {
    return this.#state === "draining"
      ? { "Server-Leaving": "1", Connection: "close" }
      : {};
  }

  /** Reports that it leaves, serves for `ms` more and ends. */
  async drain(ms) {
    this.#state = "draining";
    this.#writeEntry();
    await new Promise((resolve) => setTimeout(resolve, ms));
    this.close();
    this.#options.store.remove("servers", this.id);
  }

  close() {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #writeEntry() {
    const { store, id, service, host, zone, version, slots } = this.#options;
    store.write("servers", id, {
      service,
      address: `${host}:${PORT}`,
      zone,
      version: version ?? "v1",
      slots,
      state: this.#state,
      cold_left_ms: 0,
      born: this.#born,
      ...this.#held(),
    });
  }

  #held() {
    if (this.#options.model === undefined) return { seq: this.#orders };
    return {
      seq: this.#orders,
      stage: "combined",
      models: this.#models.map((name) => ({ name, version: 1, adapters: [] })),
    };
  }

  /** Carries out an order; returns its status. One that the memory does not hold
   * ends the engine. */
  #order({ operation, model, adapter, expected_rev: expected }) {
    const { id, sizes, weightsMb, record } = this.#options;
    const isDue = operation === "load" && adapter === undefined && sizes;
    if (!isDue || expected !== this.#orders) return 409;
    if (this.#models.includes(model)) return 200;
    const neededMb = [...this.#models, model]
      .reduce((sum, name) => sum + sizes[name], 0);
    const held = this.#models.join();
    record({ t: "load", engine: id, model, held, neededMb, weightsMb });
    this.#orders += 1;
    this.#models = [...this.#models, model];
    if (neededMb > weightsMb) this.#crash();
    return 202;
  }

  /** Ends all connections, and writes nothing more: the entry stays for now. */
  #crash() {
    const { id, record } = this.#options;
    record({ t: "crash", engine: id, running: this.#running });
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
    this.#models = [];
    setTimeout(() => {
      // A new incarnation under its id, with nothing of before.
      this.#born = Date.now();
      this.#orders = 0;
      void this.start();
    }, AWAY_MS).unref();
  }

  async #serve(req, res) {
    const { id, respond, record, version } = this.#options;
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const expected = req.headers["expect-instance"];
    const requestId = req.headers["request-id"];
    const echo = {
      ...this.#notices,
      ...(requestId === undefined ? {} : { "Request-Id": requestId }),
    };
    if (expected !== undefined && expected !== id) {
      return void res.writeHead(421, { ...echo, "Instance-Id": id }).end();
    }
    if (req.url === "/v1/report") {
      const report = {
        born: this.#born,
        busy: false,
        waiting: 0,
        running: this.#running,
        kv_used: 0,
        kv_total: 100_000,
        handles: 0,
        coming: [],
        ...this.#held(),
      };
      res.writeHead(200, { "Content-Type": "application/json" });
      return void res.end(JSON.stringify(report));
    }
    if (req.url === "/v1/order") {
      const status = this.#order(JSON.parse(Buffer.concat(chunks).toString()));
      return void (res.destroyed || res.writeHead(status).end());
    }
    if (req.url === "/health") {
      const status = this.#state === "ready" ? 200 : 503;
      return void res.writeHead(status, { "Instance-Id": id }).end();
    }
    const model = req.headers.model?.split("/")[0];
    if (model !== undefined && !this.#models.includes(model)) {
      return void res.writeHead(421, { ...echo, "Not-Executed": "1" }).end();
    }
    this.#running += 1;
    record({
      t: "run",
      engine: id,
      version,
      id: requestId,
      path: req.url,
      after: req.headers["last-event-id"],
    });
    const head = {
      ...echo,
      "Response-Seal": `${id}.${requestId}`,
    };
    try {
      await respond({ req, res, head, body: Buffer.concat(chunks), version });
    } finally {
      this.#running -= 1;
    }
  }
}
