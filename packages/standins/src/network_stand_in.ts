/** Stand-in for the network: one proxy process for all links.
 *
 * Each link listens on its own address and forwards to one destination. The
 * source address of a connection identifies the instance that opened it.
 *
 * @module
 */
import { createValidator } from "@banyanlb/core";
import { err, ok } from "neverthrow";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import {
  control_schema,
  type Link,
  type NetworkAdditions,
  type NetworkConfig,
  type NetworkFaults,
  type Path,
  type Source,
} from "./generated/control.ts";
import {
  type ControlResult,
  HttpStandIn,
  type ListenOptions,
} from "./http_stand_in.ts";
import { LinkDirection } from "./link_direction.ts";
import { type Endpoint, matchesPath, NetworkPolicy } from "./network_policy.ts";
import { type PairTraffic, TrafficCounts } from "./traffic_counts.ts";

const readFaults = createValidator<NetworkFaults>(
  control_schema,
  "network_faults",
);
const readPath = createValidator<Path>(control_schema, "path");
const readAdditions = createValidator<NetworkAdditions>(
  control_schema,
  "additions",
);

const LOOPBACK_PREFIX = "127.";
const LISTEN_BACKLOG = 1_024;
const UNKNOWN_SOURCE = { name: "unknown", domain: "unknown" };

/** Network configuration, and the address of the control API. */
export interface NetworkOptions extends ListenOptions {
  readonly config: NetworkConfig;
}

interface Connection {
  readonly client: Endpoint;
  readonly server: Endpoint;
  readonly to_server: LinkDirection;
  readonly to_client: LinkDirection;
  readonly sockets: readonly Socket[];
}

interface OpenLink {
  readonly link: Link;
  readonly server: Server;
}

interface Address {
  readonly host: string;
  readonly port: number;
}

/** Proxies the connections of all links.
 *
 * `POST /_control/links` adds links and sources, `POST /_control/break` resets
 * the connections of a path.
 *
 * @example
 * ```ts
 * const network = new NetworkStandIn({ config });
 * await network.start();
 * const both = true;
 * const path = { from: { region: "north" }, to: { region: "south" }, both };
 * network.setFaults({ cuts: [path] });
 * network.reset(); // removes the cut
 * await network.close();
 * ```
 */
export class NetworkStandIn extends HttpStandIn {
  readonly #policy: NetworkPolicy;
  readonly #config: NetworkConfig;
  readonly #sources = new Map<string, Endpoint>();
  readonly #links: OpenLink[] = [];
  readonly #connections = new Set<Connection>();
  readonly #traffic = new TrafficCounts();

  constructor(options: NetworkOptions) {
    super(options);
    this.#config = options.config;
    this.#policy = new NetworkPolicy(options.config);
    this.addSources(options.config.sources);
    this.control("links", (body) => this.#addFromControl(body));
    this.control("break", (body) => {
      return readPath(body).map((path) => this.breakConnections(path));
    });
  }

  override async start(): Promise<number> {
    await this.addLinks(this.#config.links);
    return await super.start();
  }

  override async close(): Promise<void> {
    const every_path = { from: {}, to: {} };
    this.breakConnections(every_path);
    await Promise.all(this.#links.map(({ server }) => closeServer(server)));
    await super.close();
  }

  /** Registers the instances that connect from the given addresses. */
  addSources(sources: readonly Source[]): void {
    for (const source of sources) {
      this.#sources.set(source.address, this.#policy.toEndpoint(source));
    }
  }

  /** Starts listening on the addresses of the given links. */
  async addLinks(links: readonly Link[]): Promise<void> {
    for (const link of links) await this.#openLink(link);
  }

  /** All links, with the addresses that they actually listen on. */
  get links(): readonly Link[] {
    return this.#links.map(({ link, server }) => {
      const { address, port } = server.address() as AddressInfo;
      return { ...link, listen: `${address}:${port}` };
    });
  }

  /** Resets the connections that match a path. */
  breakConnections(path: Path): void {
    for (const connection of [...this.#connections]) {
      if (!matchesPath(path, connection.client, connection.server)) continue;
      this.#remove(connection);
      for (const socket of connection.sockets) socket.resetAndDestroy();
    }
  }

  /** Traffic by `FROM>TO`. */
  get traffic(): Readonly<Record<string, PairTraffic>> {
    return this.#traffic.pairs;
  }

  override record(): unknown {
    return {
      connections: this.#connections.size,
      links: this.links,
      faults: this.#policy.faults,
      traffic: this.traffic,
    };
  }

  override setFaults(faults: unknown): ControlResult {
    return readFaults(faults).map((changes) => {
      this.#policy.setFaults(changes);
      this.#deliverAllDueItems();
    });
  }

  override reset(): void {
    this.#policy.reset();
    this.#traffic.reset();
    this.#deliverAllDueItems();
  }

  async #addFromControl(body: unknown): Promise<ControlResult> {
    const additions = readAdditions(body);
    if (additions.isErr()) return err(additions.error);
    this.addSources(additions.value.sources ?? []);
    await this.addLinks(additions.value.links ?? []);
    return ok(undefined);
  }

  #deliverAllDueItems(): void {
    for (const { to_server, to_client } of this.#connections) {
      to_server.deliverDueItems();
      to_client.deliverDueItems();
    }
  }

  async #openLink(link: Link): Promise<void> {
    const end = this.#policy.toEndpoint(link);
    const target = parseAddress(link.forward);
    const server = createServer(
      { allowHalfOpen: true, noDelay: true },
      (socket) => this.#accept(socket, { end, target }),
    );
    const { host, port } = parseAddress(link.listen);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen({ host, port, backlog: LISTEN_BACKLOG }, resolve);
    });
    this.#links.push({ link, server });
  }

  #accept(
    socket: Socket,
    link: { readonly end: Endpoint; readonly target: Address },
  ): void {
    const address = socket.remoteAddress ?? "";
    const client = this.#sources.get(address) ??
      this.#policy.toEndpoint(UNKNOWN_SOURCE);
    const server = link.end;
    // Connects from the client's address, so that the destination can identify
    // the client.
    const localAddress = address.startsWith(LOOPBACK_PREFIX)
      ? { localAddress: address }
      : {};
    const upstream = connect({
      ...link.target,
      ...localAddress,
      allowHalfOpen: true,
      noDelay: true,
    });
    const connection = this.#createConnection(client, server, {
      socket,
      upstream,
    });
    this.#connections.add(connection);
    this.#traffic.addConnection(client, server);
    this.#removeWhenClosed(connection);
  }

  #createConnection(
    client: Endpoint,
    server: Endpoint,
    sockets: { readonly socket: Socket; readonly upstream: Socket },
  ): Connection {
    const { socket, upstream } = sockets;
    const policy = this.#policy;
    const to_server = new LinkDirection({
      from: client,
      to: server,
      policy,
      source: socket,
      sink: upstream,
      on_bytes: (bytes) =>
        this.#traffic.addBytes({ from: client, to: server }, bytes),
    });
    const to_client = new LinkDirection({
      from: server,
      to: client,
      policy,
      source: upstream,
      sink: socket,
      on_bytes: (bytes) =>
        this.#traffic.addBytes({ from: server, to: client }, bytes),
    });
    return {
      client,
      server,
      to_server,
      to_client,
      sockets: [socket, upstream],
    };
  }

  #removeWhenClosed(connection: Connection): void {
    let open_sockets = connection.sockets.length;
    for (const socket of connection.sockets) {
      socket.once("close", () => {
        open_sockets -= 1;
        if (open_sockets === 0) this.#remove(connection);
      });
    }
  }

  #remove(connection: Connection): void {
    connection.to_server.close();
    connection.to_client.close();
    this.#connections.delete(connection);
  }
}

function parseAddress(text: string): Address {
  const colon = text.lastIndexOf(":");
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

async function closeServer(server: Server): Promise<void> {
  await new Promise((done) => server.close(done));
}
