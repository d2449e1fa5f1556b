/** Base of all stand-ins: an HTTP server and a control API.
 *
 * `GET /_control/record` returns everything received, `POST /_control/faults`
 * adds to or changes the active faults, `POST /_control/reset` clears all faults
 * and the record.
 *
 * @module
 */
import type { Violation } from "@banyanlb/core";
import findMyWay from "find-my-way";
import type { Result } from "neverthrow";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import {
  DEFAULT_HOST,
  KEEP_ALIVE_TIMEOUT_MS,
  MAX_PARAM_CHARS,
} from "./constants.ts";
import {
  parseJson,
  readBody,
  resetConnection,
  sendJson,
  sendResponse,
} from "./http_io.ts";

const CONTROL_PREFIX = "/_control/";

/** Address that a stand-in listens on. */
export interface ListenOptions {
  /** Default 0: any free port. */
  readonly port?: number;
  /** Default `DEFAULT_HOST`. */
  readonly host?: string;
}

/** One HTTP request with its response, path parameters and query. */
export interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly params: Readonly<Record<string, string | undefined>>;
  readonly query: Readonly<Record<string, string | undefined>>;
}

/** Handles one HTTP request. */
export type Handler = (exchange: Exchange) => void | Promise<void>;

/** Outcome of a call of the control API. */
export type ControlResult = Result<void, readonly Violation[]>;

/** Base class of the stand-ins.
 *
 * @example
 * ```ts
 * const store = new StoreStandIn({ port: 0 });
 * const port = await store.start();
 * await store.close();
 * ```
 */
export abstract class HttpStandIn {
  readonly #router = findMyWay({
    maxParamLength: MAX_PARAM_CHARS,
    defaultRoute: (req, res) => {
      return this.serveUnrouted({ req, res, params: {}, query: {} });
    },
  });
  readonly #server: Server;
  readonly #listen_options: ListenOptions;
  #port = 0;

  constructor(options: ListenOptions = {}) {
    this.#listen_options = options;
    this.#server = createServer((req, res) => this.#serve(req, res));
    this.#server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    this.#server.requestTimeout = 0;
    this.#server.headersTimeout = 0;
    this.#addCommonControlRoutes();
  }

  /** Returns everything received, as a value that can be written as JSON. */
  abstract record(
    query?: Readonly<Record<string, string | undefined>>,
  ): unknown;

  /** Sets the given faults; the other faults stay unchanged. */
  abstract setFaults(faults: unknown): ControlResult;

  /** Clears all faults and the record. */
  abstract reset(): void;

  /** Base URL; valid after `start`. */
  get url(): string {
    return `http://${this.#listen_options.host ?? DEFAULT_HOST}:${this.#port}`;
  }

  /** Starts listening. Returns the port. */
  async start(): Promise<number> {
    const { host = DEFAULT_HOST } = this.#listen_options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(
        this.#port || (this.#listen_options.port ?? 0),
        host,
        () => {
          this.#server.off("error", reject);
          resolve();
        },
      );
    });
    this.#port = (this.#server.address() as AddressInfo).port;
    return this.#port;
  }

  /** Stops listening and resets every connection. */
  async close(): Promise<void> {
    const closed = new Promise((done) => this.#server.close(done));
    this.#server.closeAllConnections();
    await closed;
  }

  /** Adds a route of the stand-in's own API. */
  protected route(
    method: "GET" | "PUT" | "POST" | "DELETE",
    path: string,
    handler: Handler,
  ): void {
    this.#router.on(method, path, (req, res, params, _store, query) => {
      const exchange = { req, res, params, query } as Exchange;
      return handler(exchange);
    });
  }

  /** Adds a control route that accepts a JSON body. */
  protected control(
    name: string,
    handler: (body: unknown) => ControlResult | Promise<ControlResult>,
  ): void {
    this.route("POST", `${CONTROL_PREFIX}${name}`, async ({ req, res }) => {
      const result = await handler(parseJson(await readBody(req)));
      result.match(
        () => sendResponse(res, { status: 204 }),
        (violations) => sendJson(res, 400, { value: { violations } }),
      );
    });
  }

  /** Called before each request is routed, except those of the control API.
   * `false` means that the request needs no more handling: its connection was
   * reset or has closed. */
  protected admit(_req: IncomingMessage): Promise<boolean> {
    return Promise.resolve(true);
  }

  /** Handles requests that no route matches. */
  protected serveUnrouted(exchange: Exchange): void | Promise<void> {
    sendJson(exchange.res, 404, { value: { error: "no such path" } });
  }

  #addCommonControlRoutes(): void {
    this.control("faults", (body) => this.setFaults(body));
    this.route("GET", `${CONTROL_PREFIX}record`, ({ res, query }) => {
      sendJson(res, 200, { value: this.record(query) });
    });
    this.route("POST", `${CONTROL_PREFIX}reset`, ({ req, res }) => {
      req.resume();
      this.reset();
      sendResponse(res, { status: 204 });
    });
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const isControl = req.url?.startsWith(CONTROL_PREFIX) ?? false;
      if (!isControl && !(await this.admit(req))) return;
      await this.#router.lookup(req, res);
    } catch (error) {
      this.#handleError(req, error);
    }
  }

  #handleError(req: IncomingMessage, error: unknown): void {
    // A client that disconnects while it sends its body is not an error.
    if (!req.destroyed) console.error(error);
    resetConnection(req);
  }
}
