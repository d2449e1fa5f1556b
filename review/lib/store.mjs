/** A stand-in for the platform's store: objects by kind, watches, history. */
import { createServer } from "node:http";

/** Time after its last write at which an entry of an engine is removed. */
const ENTRY_TTL_MS = 3600;
const PAGE_ITEMS = 500;

export class Store {
  /** Called with each request before it is served; `true` means handled. */
  intercept = () => false;
  revision = 100;
  kinds = new Map();
  history = [];
  watches = new Set();
  writtenAt = new Map();

  async listen(host, port) {
    this.server = createServer((req, res) => this.#receive(req, res));
    this.server.keepAliveTimeout = 60_000;
    await new Promise((done, fail) => {
      this.server.once("error", fail);
      this.server.listen(port, host, done);
    });
    this.timer = setInterval(() => this.#removeExpired(), 200);
  }

  close() {
    clearInterval(this.timer);
    for (const watch of this.watches) clearTimeout(watch.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  objects(kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    return this.kinds.get(kind);
  }

  /** Writes an object as the operator or an engine would. */
  put(kind, name, spec) {
    const stored = this.objects(kind).get(name);
    this.writtenAt.set(`${kind}/${name}`, performance.now());
    if (
      stored !== undefined &&
      JSON.stringify(stored.spec) === JSON.stringify(spec)
    ) return stored;
    this.revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.revision,
        created: stored?.metadata.created ?? this.revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: {},
    };
    this.objects(kind).set(name, object);
    this.#publish(kind, { object, tombstone: false });
    return object;
  }

  remove(kind, name) {
    const stored = this.objects(kind).get(name);
    if (stored === undefined) return;
    this.revision += 1;
    const metadata = { ...stored.metadata, revision: this.revision };
    this.objects(kind).delete(name);
    this.#publish(kind, { object: { ...stored, metadata }, tombstone: true });
  }

  /** Cuts the waiting watches for which `matches` holds. */
  cutWatches(matches = () => true) {
    for (const watch of [...this.watches].filter(matches)) {
      clearTimeout(watch.timer);
      this.watches.delete(watch);
      watch.res.socket?.resetAndDestroy();
    }
  }

  #publish(kind, event) {
    this.history.push({ kind, revision: this.revision, event });
    for (const watch of [...this.watches]) {
      if (watch.kind === kind) this.#answerWatch(watch);
    }
  }

  #answerWatch(watch) {
    clearTimeout(watch.timer);
    this.watches.delete(watch);
    send(watch.res, 200, {
      events: this.#eventsSince(watch),
      as_of: this.revision,
    });
  }

  #eventsSince({ kind, from }) {
    return this.history.filter((c) => c.kind === kind && c.revision > from)
      .map((c) => c.event);
  }

  async #receive(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const url = new URL(req.url, "http://store");
    const [, , , kind, name] = url.pathname.split("/").map(decodeURIComponent);
    const text = Buffer.concat(chunks).toString();
    const call = {
      method: req.method,
      kind,
      name,
      query: url.searchParams,
      body: text === "" ? undefined : JSON.parse(text),
      serve: () => this.#serve(call, res),
    };
    if (this.intercept(call, req, res) !== true) call.serve();
  }

  #serve({ method, kind, name, query, body }, res) {
    const objects = this.objects(kind);
    if (method === "GET" && query.has("watch")) {
      const from = Number(query.get("watch"));
      const watch = { kind, from, res };
      if (this.#eventsSince(watch).length > 0) return this.#answerWatch(watch);
      watch.timer = setTimeout(
        () => this.#answerWatch(watch),
        Number(query.get("wait_ms") ?? 0),
      );
      this.watches.add(watch);
      res.on("close", () => {
        clearTimeout(watch.timer);
        this.watches.delete(watch);
      });
      return;
    }
    if (method === "GET" && name === undefined) {
      const after = query.get("after") ?? "";
      const all = [...objects.values()].filter((o) => o.metadata.name > after)
        .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
      return send(res, 200, {
        items: all.slice(0, PAGE_ITEMS),
        has_more: all.length > PAGE_ITEMS,
        as_of: this.revision,
      });
    }
    const key = name ?? body?.metadata?.name;
    const stored = objects.get(key);
    if (method === "GET") return send(res, stored ? 200 : 404, stored ?? {});
    if (method === "POST" && stored) return send(res, 409, stored);
    if (method !== "POST" && !stored) return send(res, 404, {});
    const expected = body?.metadata?.revision ?? query.get("revision");
    if (
      stored && expected !== null && expected !== undefined &&
      Number(expected) !== stored.metadata.revision
    ) return send(res, 409, stored);
    if (method === "DELETE") {
      this.remove(kind, key);
      return send(res, 200, stored);
    }
    send(res, 200, this.put(kind, key, body?.spec));
  }

  #removeExpired() {
    const now = performance.now();
    for (const name of this.objects("servers").keys()) {
      const at = this.writtenAt.get(`servers/${name}`) ?? now;
      if (now - at > ENTRY_TTL_MS) this.remove("servers", name);
    }
  }
}

export function send(res, status, body) {
  if (res.destroyed) return;
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
}
