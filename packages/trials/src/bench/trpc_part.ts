/** Compares the daemon's persistent peer connection with trpc's own links.
 *
 * Another process on loopback serves the same router to every link. Each link
 * makes the same calls, one after another. Bytes are counted at the server's
 * sockets in both directions and include the frames and headers of each call.
 *
 * @module
 */
import { createPeerLink, PeerConnection } from "@banyanlb/daemon";
import {
  createTRPCClient,
  createWSClient,
  httpLink,
  type TRPCClient,
  wsLink,
} from "@trpc/client";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { WebSocket } from "ws";
import type { LinkRouter, LinkServerMessage } from "./link_router.ts";
import { formatNumber } from "./stated_targets.ts";
import { quantile } from "./stats.ts";
import { formatTable } from "./table.ts";

const CALLS = 3_000;
const QUICK_CALLS = 600;
const WARM_UP_CALLS = 100;
const US_PER_MS = 1_000;

/** Latency, processor time and bytes of one link. */
export interface LinkMeasures {
  readonly link: string;
  readonly p50_ms: number;
  readonly p99_ms: number;
  /** Processor time of the client's process for each call. */
  readonly cpu_ms: number;
  /** Bytes of each call in both directions. */
  readonly bytes: number;
}

interface OpenLink {
  readonly client: TRPCClient<LinkRouter>;
  readonly close: () => void | Promise<void>;
}

type LinkOpener = (port: number) => OpenLink;

function openPeerLink(port: number): OpenLink {
  const url = `ws://127.0.0.1:${port}`;
  const connection = new PeerConnection({ url, token: "a" });
  const client = createTRPCClient<LinkRouter>({
    links: [createPeerLink(connection)],
  });
  return { client, close: () => connection.close() };
}

function openWsLink(port: number): OpenLink {
  const socket = createWSClient({
    url: `ws://127.0.0.1:${port}`,
    WebSocket: WebSocket as unknown as typeof globalThis.WebSocket,
  });
  const client = createTRPCClient<LinkRouter>({
    links: [wsLink({ client: socket })],
  });
  return { client, close: () => socket.close() };
}

function openHttpLink(port: number): OpenLink {
  const client = createTRPCClient<LinkRouter>({
    links: [httpLink({ url: `http://127.0.0.1:${port}` })],
  });
  return { client, close: () => {} };
}

const LINKS: Readonly<Record<string, LinkOpener>> = {
  "kept connection": openPeerLink,
  "trpc wsLink": openWsLink,
  "trpc httpLink": openHttpLink,
};

async function requestByteCount(server: ChildProcess): Promise<number> {
  server.send("bytes");
  const [message] = await once(server, "message") as [LinkServerMessage];
  return message.bytes ?? NaN;
}

function makeRequest(number: number) {
  return {
    i: `k3f9a1.${number.toString(36)}`,
    t: "assistant-4",
    v: "spec-large-buyer-1039@1",
    w: "large-buyer",
    n: 271,
    d: 119_874,
  };
}

async function measureLink(
  link: string,
  options: {
    readonly server: ChildProcess;
    readonly port: number;
    readonly calls: number;
  },
): Promise<LinkMeasures> {
  const { server, port, calls } = options;
  const open_link = LINKS[link]!(port);
  for (let i = 0; i < WARM_UP_CALLS; i++) {
    await open_link.client.ask.mutate(makeRequest(i));
  }
  const bytes_before = await requestByteCount(server);
  const cpu_before = process.cpuUsage();
  const times_ms: number[] = [];
  for (let i = 0; i < calls; i++) {
    const start_ms = performance.now();
    await open_link.client.ask.mutate(makeRequest(i));
    times_ms.push(performance.now() - start_ms);
  }
  const cpu_used = process.cpuUsage(cpu_before);
  const bytes = await requestByteCount(server) - bytes_before;
  await open_link.close();
  return {
    link,
    p50_ms: quantile(times_ms, 0.5),
    p99_ms: quantile(times_ms, 0.99),
    cpu_ms: (cpu_used.user + cpu_used.system) / US_PER_MS / calls,
    bytes: bytes / calls,
  };
}

/** Measures every link and prints a table. */
export async function measureLinks(
  options: { readonly quick: boolean },
): Promise<readonly LinkMeasures[]> {
  const script = new URL("./link_server_process.js", import.meta.url);
  const server = fork(fileURLToPath(script));
  try {
    const [ready_message] = await once(server, "message") as [
      LinkServerMessage,
    ];
    const port = ready_message.port ?? 0;
    const calls = options.quick ? QUICK_CALLS : CALLS;
    const rows: LinkMeasures[] = [];
    for (const link of Object.keys(LINKS)) {
      rows.push(await measureLink(link, { server, port, calls }));
    }
    printLinks(rows);
    return rows;
  } finally {
    server.disconnect();
  }
}

function printLinks(rows: readonly LinkMeasures[]): void {
  const header = ["link", "p50 ms", "p99 ms", "processor ms", "bytes"];
  const lines = rows.map((row) => [
    row.link,
    ...[row.p50_ms, row.p99_ms, row.cpu_ms, row.bytes].map(formatNumber),
  ]);
  console.log("\npeer link");
  for (const line of formatTable([header, ...lines])) console.log(line);
}
