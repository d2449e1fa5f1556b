/** A stand-in for the platform's object store, in the process of the script.
 *
 * @module
 */
import { createServer } from "node:http";

const ANSWER_MS = 4;
const PAGE_ITEMS = 500;
const HISTORY_MAX = 20_000;

/** Keeps objects by kind and name, with one counter of revisions. */
export class Store {
  #objects = new Map();
  #history = [];
  #watches = new Set();
  #servers = [];
  #revision = 100;
  #modes = new Map();

  /** Serves at an address. Each machine has one of its own, by which the store
   * tells machines apart. */
  listen(host, port) {
    const server = createServer((req, res) => void this.#serve(host, req, res));
    server.keepAliveTimeout = 60_000;
    this.#servers.push(server);
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
  }

  /** How the store answers a machine: `serve`, `busy` (503) or `silent`. */
  setMode(host, mode) {
    this.#modes.set(host, mode);
    if (mode === "serve") return;
    for (const watch of [...this.#watches]) {
      if (watch.host !== host) continue;
      this.#drop(watch);
      watch.res.destroy();
    }
  }

  close() {
    for (const watch of [...this.#watches]) this.#drop(watch);
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** The contents of a kind, by name. */
  specsOf(kind) {
    return new Map(
      [...this.#kind(kind)].map(([name, { spec }]) => [name, spec]),
    );
  }

  /** Writes as the operator and the engines do. */
  write(kind, name, spec) {
    const isNew = !this.#kind(kind).has(name);
    this.#write(isNew ? "POST" : "PUT", { kind, name, spec });
  }

  remove(kind, name) {
    this.#write("DELETE", { kind, name });
  }

  #kind(kind) {
    let objects = this.#objects.get(kind);
    if (objects === undefined) this.#objects.set(kind, objects = new Map());
    return objects;
  }

  async #serve(host, req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const mode = this.#modes.get(host) ?? "serve";
    if (mode === "silent") return;
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MS));
    if (mode === "busy") return send(res, 503, {});
    const url = new URL(req.url, "http://store");
    const [, , , kind, encodedName] = url.pathname.split("/");
    const name = encodedName && decodeURIComponent(encodedName);
    const text = Buffer.concat(chunks).toString();
    const body = text === "" ? {} : JSON.parse(text);
    const query = url.searchParams;
    if (req.method === "GET" && name !== undefined) {
      const object = this.#kind(kind).get(name);
      return object === undefined ? send(res, 404, {}) : send(res, 200, object);
    }
    if (req.method === "GET" && query.has("watch")) {
      return this.#watch({ host, kind, res }, query);
    }
    if (req.method === "GET") return this.#list(kind, query, res);
    const revision = body.metadata?.revision ??
      (query.has("revision") ? Number(query.get("revision")) : undefined);
    const { status, object } = this.#write(req.method, {
      kind,
      name: name ?? body.metadata.name,
      spec: body.spec,
      revision,
    });
    send(res, status, object ?? {});
  }

  #list(kind, query, res) {
    const after = query.get("after") ?? "";
    const all = [...this.#kind(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
    send(res, 200, {
      items: all.slice(0, PAGE_ITEMS),
      has_more: all.length > PAGE_ITEMS,
      as_of: this.#revision,
    });
  }

  #watch({ host, kind, res }, query) {
    const from = Number(query.get("watch"));
    const oldest = this.#history[0]?.revision ?? this.#revision + 1;
    if (from > this.#revision || (from + 1 < oldest && from > 100)) {
      return send(res, 410, {});
    }
    const watch = { host, kind, res, from };
    watch.timer = setTimeout(
      () => this.#answer(watch),
      Number(query.get("wait_ms") ?? 0),
    );
    this.#watches.add(watch);
    res.on("close", () => this.#drop(watch));
    if (this.#eventsOf(watch).length > 0) this.#answer(watch);
  }

  #eventsOf({ kind, from }) {
    return this.#history.filter((c) => c.kind === kind && c.revision > from)
      .map(({ event }) => event);
  }

  #drop(watch) {
    clearTimeout(watch.timer);
    this.#watches.delete(watch);
  }

  #answer(watch) {
    this.#drop(watch);
    const events = this.#eventsOf(watch);
    send(watch.res, 200, { events, as_of: this.#revision });
  }

  #write(method, { kind, name, spec, revision }) {
    const objects = this.#kind(kind);
    const old = objects.get(name);
    if (method === "POST" && old) return { status: 409, object: old };
    if (method !== "POST" && !old) return { status: 404 };
    if (old && revision !== undefined && revision !== old.metadata.revision) {
      return { status: 409, object: old };
    }
    const isSame = method === "PUT" &&
      JSON.stringify(old.spec) === JSON.stringify(spec);
    if (isSame) return { status: 200, object: old };
    this.#revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.#revision,
        created: old?.metadata.created ?? this.#revision,
        finalizers: [],
        deleting: false,
      },
      spec: method === "DELETE" ? old.spec : spec,
      status: null,
    };
    if (method === "DELETE") objects.delete(name);
    else objects.set(name, object);
    const event = { object, tombstone: method === "DELETE" };
    this.#history.push({ kind, revision: this.#revision, event });
    if (this.#history.length > HISTORY_MAX) this.#history.shift();
    for (const watch of [...this.#watches]) {
      if (watch.kind === kind) this.#answer(watch);
    }
    return { status: 200, object };
  }
}

function send(res, status, body) {
  if (res.destroyed || res.writableEnded) return;
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(text),
    "Store-Era": "1",
  });
  res.end(text);
}
