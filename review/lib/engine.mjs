/** Stand-ins of engines: plain ones and model engines with adapters. */
import { createServer } from "node:http";
import { pause, PORTS, ZONES } from "./world.mjs";

const HEARTBEAT_MS = 1200;

export class Engine {
  /** Called with each request that is no order, report or check; `true` means
   * handled. */
  intercept = () => false;
  state = "ready";
  workMs = 60;
  seq = 0;
  running = 0;
  adapters = new Map();
  heartbeats = true;

  constructor(world, options) {
    this.world = world;
    Object.assign(this, {
      service: "order-api",
      zone: Object.keys(ZONES)[options.n % 3],
      slots: options.service === "assistant-llm" ? 64 : 6,
      id: `i-${options.n}-${Math.random().toString(16).slice(2, 10)}`,
      ...options,
    });
    this.born = Date.now();
    this.host = world.address(20 + this.n);
  }

  get isModel() {
    return this.service === "assistant-llm";
  }

  async start() {
    this.server = createServer({ keepAliveTimeout: 30_000 }, (req, res) => {
      this.#receive(req, res).catch(() => res.destroy());
    });
    this.server.on("clientError", (_, socket) => socket.destroy());
    await new Promise((done, fail) => {
      this.server.once("error", fail);
      this.server.listen(PORTS.engine, this.host, done);
    });
    this.world.record("engine", { id: this.id, service: this.service });
    this.writeEntry();
    this.timer = setInterval(() => {
      if (this.heartbeats) this.writeEntry();
    }, HEARTBEAT_MS);
  }

  stop() {
    clearInterval(this.timer);
    this.server?.closeAllConnections();
    this.server?.close();
  }

  report() {
    const now = performance.now();
    const list = [...this.adapters];
    return {
      stage: "combined",
      models: this.isModel
        ? [{
          name: "m0",
          version: 1,
          adapters: list.filter(([, a]) => a.readyAt <= now)
            .map(([name, a]) => `${name}@${a.version}`),
        }]
        : [],
      coming: list.filter(([, a]) => a.readyAt > now)
        .map(([name, a]) => `m0/${name}@${a.version}`),
      busy: false,
      seq: this.seq,
      waiting: 0,
      running: this.running,
      kv_used: 0,
      kv_total: 153_111,
      handles: 0,
      born: this.born,
    };
  }

  writeEntry() {
    this.world.store.put("servers", this.id, {
      service: this.service,
      address: `${this.host}:${PORTS.engine}`,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: this.state,
      cold_left_ms: 0,
      ...this.report(),
    });
  }

  async #receive(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const expected = req.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { "Instance-Id": this.id, "Content-Length": 0 }).end();
      return;
    }
    if (req.url === "/health") {
      res.writeHead(this.state === "ready" ? 200 : 503, {
        "Instance-Id": this.id,
        "Content-Length": 0,
      }).end();
      return;
    }
    if (req.url === "/v1/report") return sendJson(res, 200, this.report());
    if (req.url === "/v1/order") return this.#order(JSON.parse(body), res);
    if (await this.intercept(req, res, body) === true) return;
    await this.run(req, res, body);
  }

  #order(order, res) {
    if (order.expected_rev !== undefined && order.expected_rev !== this.seq) {
      return sendJson(res, 409, {});
    }
    const { operation, adapter, version = 1 } = order;
    if (adapter === undefined) return sendJson(res, this.orderModel(order), {});
    const held = this.adapters.get(adapter);
    if (operation === "load") {
      if (held !== undefined && held.version >= version) {
        return sendJson(res, 200, {});
      }
      this.adapters.set(adapter, {
        version,
        readyAt: performance.now() + 250,
      });
      this.seq += 1;
      return sendJson(res, 202, {});
    }
    this.adapters.delete(adapter);
    this.seq += 1;
    return sendJson(res, 200, {});
  }

  /** Carries out an order for the base model; returns the status. */
  orderModel() {
    return 200;
  }

  /** Runs a request to a good end. */
  async run(req, res, _body) {
    const id = req.headers["request-id"];
    this.recordRun(req);
    this.running += 1;
    await pause(this.workMs);
    this.running -= 1;
    const text = `done ${id}\n`;
    res.writeHead(200, {
      "Request-Id": id,
      "Response-Seal": `seal-${id}`,
      "Content-Type": "text/plain",
      "Content-Length": Buffer.byteLength(text),
    });
    res.end(text);
  }

  recordRun(req) {
    this.world.record("run", {
      id: req.headers["request-id"],
      engine: this.id,
      method: req.method,
      url: req.url,
      tenant: req.headers.tenant,
    });
  }
}

export function sendJson(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
}
