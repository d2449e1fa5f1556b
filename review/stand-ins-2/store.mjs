/** A stand-in for the platform's metadata store.
 *
 * It keeps objects in memory. Each machine gets an address of its own, so that the
 * store can turn single machines away, as the pages allow: `busy` answers 503.
 */
import { createServer } from "node:http";

const HISTORY_MAX = 5000;

export class Store {
  #objects = new Map();
  #history = [];
  #watches = new Set();
  #servers = [];
  #revision = 100;

  /** Listens on one more address. Returns its state, whose `mode` may be changed:
   * `serve` or `busy`. */
  async listen(host) {
    const access = { mode: "serve", address: "" };
    const server = createServer((req, res) => this.#handle(access, req, res));
    await new Promise((resolve) => server.listen(0, host, resolve));
    this.#servers.push(server);
    access.address = `${host}:${server.address().port}`;
    return access;
  }

  close() {
    for (const { timer } of this.#watches) clearTimeout(timer);
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Writes an object as the operator or an engine does. */
  write(kind, name, spec) {
    const objects = this.#kind(kind);
    const stored = objects.get(name);
    if (
      stored !== undefined &&
      JSON.stringify(stored.spec) === JSON.stringify(spec)
    ) return;
    this.#change(kind, { name, spec, created: stored?.metadata.created });
  }

  /** Removes an object. */
  remove(kind, name) {
    const stored = this.#kind(kind).get(name);
    if (stored === undefined) return;
    this.#change(kind, { name, spec: stored.spec, isRemoved: true });
  }

  read(kind, name) {
    return this.#kind(kind).get(name)?.spec;
  }

  names(kind) {
    return [...this.#kind(kind).keys()];
  }

  #kind(kind) {
    if (!this.#objects.has(kind)) this.#objects.set(kind, new Map());
    return this.#objects.get(kind);
  }

  #change(kind, { name, spec, created, isRemoved = false }) {
    this.#revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.#revision,
        created: created ?? this.#revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: null,
    };
    if (isRemoved) this.#kind(kind).delete(name);
    else this.#kind(kind).set(name, object);
    const event = { tombstone: isRemoved, object };
    this.#history.push({ kind, revision: this.#revision, event });
    if (this.#history.length > HISTORY_MAX) this.#history.shift();
    for (const watch of this.#watches) {
      if (watch.kind === kind) this.#endWatch(watch);
    }
    return object;
  }

  async #handle(access, req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      // The machine has closed its connection.
      return;
    }
    if (access.mode === "busy") return send(res, 503, {});
    const url = new URL(req.url, "http://store");
    const [, , , kind, encoded] = url.pathname.split("/");
    const name = encoded === undefined
      ? undefined
      : decodeURIComponent(encoded);
    if (req.method === "GET") return this.#get(res, url, { kind, name });
    const text = Buffer.concat(chunks).toString();
    const body = text === "" ? undefined : JSON.parse(text);
    const expected = body?.metadata?.revision ??
      url.searchParams.get("revision") ?? undefined;
    this.#write(res, req.method, { kind, name, body, expected });
  }

  #get(res, url, { kind, name }) {
    const objects = this.#kind(kind);
    if (name !== undefined) {
      const object = objects.get(name);
      return send(res, object === undefined ? 404 : 200, object ?? {});
    }
    const from = url.searchParams.get("watch");
    if (from === null) {
      const items = [...objects.values()];
      return send(res, 200, { items, has_more: false, as_of: this.#revision });
    }
    const oldest = this.#history[0]?.revision ?? this.#revision + 1;
    if (Number(from) + 1 < oldest && Number(from) < this.#revision) {
      return send(res, 410, {});
    }
    const watch = { kind, from: Number(from), res };
    const waitMs = Number(url.searchParams.get("wait_ms") ?? 0);
    watch.timer = setTimeout(() => this.#endWatch(watch), waitMs);
    this.#watches.add(watch);
    res.on("close", () => {
      clearTimeout(watch.timer);
      this.#watches.delete(watch);
    });
    if (this.#eventsOf(watch).length > 0) this.#endWatch(watch);
  }

  #eventsOf({ kind, from }) {
    return this.#history.filter((c) => c.kind === kind && c.revision > from)
      .map(({ event }) => event);
  }

  #endWatch(watch) {
    clearTimeout(watch.timer);
    this.#watches.delete(watch);
    const events = this.#eventsOf(watch);
    send(watch.res, 200, { events, as_of: this.#revision });
  }

  #write(res, method, { kind, name: given, body, expected }) {
    const name = given ?? body?.metadata?.name;
    const stored = this.#kind(kind).get(name);
    if (method === "POST" && stored !== undefined) {
      return send(res, 409, stored);
    }
    if (method !== "POST" && stored === undefined) return send(res, 404, {});
    if (
      method !== "POST" && expected !== undefined &&
      Number(expected) !== stored.metadata.revision
    ) return send(res, 409, stored);
    if (
      method === "PUT" &&
      JSON.stringify(stored.spec) === JSON.stringify(body.spec)
    ) return send(res, 200, stored);
    const isRemoved = method === "DELETE";
    const object = this.#change(kind, {
      name,
      spec: isRemoved ? stored.spec : body.spec,
      created: stored?.metadata.created,
      isRemoved,
    });
    send(res, 200, object);
  }
}

function send(res, status, value) {
  if (res.destroyed || res.writableEnded) return;
  const body = JSON.stringify(value);
  res.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(body),
    "Store-Era": "1",
  });
  res.end(body);
}
