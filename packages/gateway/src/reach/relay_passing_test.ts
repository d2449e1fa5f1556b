import type { RequestListener } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { EventLog } from "@banyanlb/core";
import { PlatformCallerProtocol, RESPONSE_HEADERS } from "@banyanlb/platform";
import { EngineReach, MemberTable } from "@banyanlb/serving";
import { hearOf } from "@banyanlb/serving/testing";
import pino from "pino";
import { afterEach, expect, test } from "vitest";
import { GatewayMetrics } from "../metrics.ts";
import { PeerLinks } from "../peer_links.ts";
import type { PeerMessage } from "../peer_messages.ts";
import { findFreePort } from "../testing/free_port.ts";
import { memberOnPort } from "../testing/membership_options.ts";
import {
  addCleanup,
  cleanUp,
  createRelay,
  listen,
  portOf,
  type RelayOptions,
  SEALED_HEADERS,
  sendRequest,
  startRelay,
} from "../testing/start_relay.ts";
import { PassedRequests } from "./passed_requests.ts";
import { RequestPasser } from "./request_passer.ts";

afterEach(cleanUp);

const LOG = new EventLog(pino({ level: "silent" }));

const WELL = "id: 1\ndata: well\n\n";

const respondWell: RequestListener = (_, res) => {
  res.writeHead(200, SEALED_HEADERS);
  res.end(WELL);
};

/** An instance that has no path to its engines. */
function createCutReach(): EngineReach {
  const reach = new EngineReach();
  for (const engine of ["e0@1", "e1@1", "e2@1"]) reach.expect(engine, "svc", 0);
  reach.update(performance.now() + 10_000);
  expect(reach.isCut("svc")).toBe(true);
  return reach;
}

/** A peer that serves what is passed on to it. Resolves to its member and the
 * messages that it gets. */
async function startPeer(
  name: string,
  handlers: readonly RequestListener[],
  options: {
    readonly relay: RelayOptions;
    readonly knows?: string;
    readonly isCutOff?: boolean;
  },
) {
  const relay = await createRelay(handlers, options.relay);
  const members = new MemberTable(name, performance.now());
  members.add(memberOnPort(options.knows ?? "a", 1));
  const passedRequests = new PassedRequests({
    members,
    isCutOff: () => options.isCutOff === true,
    serve: (req, res) => void relay.servePassed(req, res),
    log: LOG,
  });
  const messages: PeerMessage[] = [];
  const member = memberOnPort(name, await findFreePort());
  const links = new PeerLinks(member, {
    onMessage: (_, message) => void messages.push(message),
    onInvalidMessage: () => undefined,
    onRequests: (socket) => passedRequests.accept(socket),
  });
  const port = Number(member.peerAddress.split(":")[1]);
  await links.listen({ host: "127.0.0.1", port });
  addCleanup(() => {
    passedRequests.close();
    links.close();
  });
  return { member, messages, passedRequests };
}

/** The passer of instance `a`, which has heard of the peers. */
function createPasser(
  peers: readonly {
    readonly member: ReturnType<typeof memberOnPort>;
    readonly reachesStore?: boolean;
  }[],
  reach: EngineReach,
): RequestPasser {
  const members = new MemberTable("a", performance.now());
  for (const { member, reachesStore = true } of peers) {
    members.add(member);
    const now = performance.now();
    hearOf(members, member.name, { now, takesPassed: true, reachesStore });
  }
  const passer = new RequestPasser({
    self: memberOnPort("a", 1),
    members,
    reach,
    protocol: new PlatformCallerProtocol(),
    log: LOG,
    metrics: new GatewayMetrics(),
  });
  addCleanup(() => passer.close());
  return passer;
}

/** Starts an instance that has no path, beside peers that have one. */
async function startCutInstance(
  handlers: readonly RequestListener[],
  relay: RelayOptions,
) {
  const peer = await startPeer("b", handlers, { relay });
  const passer = createPasser([peer], createCutReach());
  let directCount = 0;
  const port = await startRelay([() => (directCount += 1)], {
    ...relay,
    passer,
  });
  return { port, peer, directCount: () => directCount };
}

// Guards against callers of an instance without a path to engines, who were
// refused although others could serve them.
test.each(["safe", "unsafe", "stream"] as const)(
  "a %s request is served through an instance that reaches the engines",
  async (kind) => {
    const { port, directCount } = await startCutInstance([respondWell], {
      route: { kind },
    });
    expect(await sendRequest(port)).toMatchObject({
      status: 200,
      body: WELL,
      isComplete: true,
    });
    expect(directCount()).toBe(0);
  },
);

test("the request and its answer pass unchanged, with the time that is left", async () => {
  const seen: Record<string, unknown>[] = [];
  const { port } = await startCutInstance([(req, res) => {
    let body = "";
    req.on("data", (chunk: Buffer) => (body += chunk.toString()));
    req.on("end", () => {
      seen.push({ url: req.url, method: req.method, body, ...req.headers });
      res.writeHead(200, { ...SEALED_HEADERS, "x-kept": "1" });
      res.end("ä".repeat(50_000));
    });
  }], {
    route: { kind: "unsafe" },
    maxBodyBytes: 200_000,
  });
  const response = await sendRequest(port, {
    authorization: "Bearer k",
    model: "m",
    connection: "model, authorization, x-hop",
    "x-hop": "1",
  }, { method: "POST", path: "/x?a=%20b", body: "b".repeat(150_000) });
  expect(response.body).toBe("ä".repeat(50_000));
  expect(seen).toHaveLength(1);
  expect(seen[0]).toMatchObject({
    url: "/x?a=%20b",
    method: "POST",
    model: "m",
    body: "b".repeat(150_000),
    "request-id": "r1",
  });
  expect(Number(seen[0]?.deadline)).toBeLessThan(2000);
  for (const name of ["x-hop", "banyanlb-instance", "authorization"]) {
    expect(seen[0]).not.toHaveProperty(name);
  }
});

test("events of a passed stream arrive as they come, and a break breaks it", async () => {
  const { port } = await startCutInstance([(req, res) => {
    res.writeHead(200, SEALED_HEADERS);
    res.write("id: 1\ndata: a\n\n");
    setTimeout(() => req.socket.destroy(), 300);
  }], { route: { kind: "stream", maxAttempts: 1 } });
  expect(await sendRequest(port)).toMatchObject({
    status: 200,
    body: "id: 1\ndata: a\n\n",
    isComplete: false,
  });
});

test("an engine's work ends soon after the caller of a passed request has left", async () => {
  let closedAt = Infinity;
  const { port } = await startCutInstance([(_, res) => {
    res.on("close", () => (closedAt = performance.now()));
  }], { route: { kind: "safe" } });
  const left = sendRequest(port, {}, { leaveAfterMs: 100 }).catch(() => "left");
  expect(await left).toBe("left");
  const leftAt = performance.now();
  await new Promise((resolve) => setTimeout(resolve, 400));
  expect(closedAt - leftAt).toBeLessThan(300);
});

test("an unsafe request whose peer is lost gets 502 and runs once", async () => {
  let runCount = 0;
  const peers: Awaited<ReturnType<typeof startPeer>>[] = [];
  const lose: RequestListener = () => {
    runCount += 1;
    for (const { passedRequests } of peers) passedRequests.close();
  };
  const relay: RelayOptions = { route: { kind: "unsafe" } };
  for (const name of ["b", "c"]) {
    peers.push(await startPeer(name, [lose], { relay }));
  }
  const passer = createPasser(peers, createCutReach());
  const port = await startRelay([respondWell], { ...relay, passer });
  expect((await sendRequest(port)).status).toBe(502);
  expect(runCount).toBe(1);
});

// Guards against an answer of a peer that no caller can be sent.
test("a passed request whose answer has status 000 gets 502", async () => {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.end("HTTP/1.1 000 x\r\nContent-Length: 1\r\n\r\na");
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  addCleanup(() => server.close());
  const { port: peerPort } = server.address() as AddressInfo;
  const peer = { member: memberOnPort("b", peerPort) };
  const passer = createPasser([peer], createCutReach());
  const route = { kind: "safe" as const };
  const port = await startRelay([respondWell], { route, passer });
  expect((await sendRequest(port)).status).toBe(502);
});

test("a peer that is gone or has no path is passed over", async () => {
  const relay: RelayOptions = { route: { kind: "unsafe" } };
  const gone = { member: memberOnPort("b", await findFreePort()) };
  const cut = await startPeer("c", [respondWell], { relay, isCutOff: true });
  const sound = await startPeer("d", [respondWell], { relay });
  for (let i = 0; i < 6; i += 1) {
    const passer = createPasser([gone, cut, sound], createCutReach());
    const port = await startRelay([respondWell], { ...relay, passer });
    expect((await sendRequest(port)).status).toBe(200);
  }
});

// Guards against requests that circle, or wait, when no instance has a path.
test("a request is refused at once if no instance has a path", async () => {
  const relay: RelayOptions = { route: { kind: "safe" } };
  const cut = await startPeer("c", [respondWell], { relay, isCutOff: true });
  const reach = createCutReach();
  const passer = createPasser([cut], reach);
  const port = await startRelay([respondWell, respondWell, respondWell], {
    ...relay,
    passer,
  });
  const startedAt = performance.now();
  expect((await sendRequest(port)).status).toBe(503);
  expect(performance.now() - startedAt).toBeLessThan(300);
});

test("nobody but a member can use the listener of instances", async () => {
  const relay: RelayOptions = { route: {} };
  const peer = await startPeer("b", [respondWell], { relay, knows: "other" });
  const port = Number(peer.member.peerAddress.split(":")[1]);
  for (const sender of ["a#1", "other#2", "other", ""]) {
    const headers = { "banyanlb-instance": sender };
    expect((await sendRequest(port, headers)).status).toBe(403);
  }
});

test("messages of instances arrive beside requests", async () => {
  const { peer, port } = await startCutInstance([respondWell], { route: {} });
  const links = new PeerLinks(memberOnPort("a", 1), {
    onMessage: () => undefined,
    onInvalidMessage: () => undefined,
  });
  addCleanup(() => links.close());
  links.send(peer.member.peerAddress, { t: "confirm", n: 1 });
  expect((await sendRequest(port)).status).toBe(200);
  await expect.poll(() => peer.messages.map(({ t }) => t)).toEqual([
    "hello",
    "confirm",
  ]);
});

// Guards against refusals in the moment before an instance knows that it has no
// path.
test("a request that finds its engines out of reach is passed on", async () => {
  const reach = new EngineReach();
  const relay: RelayOptions = { route: { kind: "unsafe" }, reach };
  const peer = await startPeer("b", [respondWell], { relay: { route: {} } });
  const passer = createPasser([peer], reach);
  const ports = [
    await findFreePort(),
    await findFreePort(),
    await findFreePort(),
  ];
  const port = await startRelay(ports, { ...relay, passer });
  expect(await sendRequest(port)).toMatchObject({ status: 200, body: WELL });
});

// Guards against a request that is held, since it crashes engines, and reaches more
// of them through other instances.
test("only what finds no engine is passed on", async () => {
  const reach = new EngineReach();
  const peer = await startPeer("b", [respondWell], { relay: { route: {} } });
  const passer = createPasser([peer], reach);
  for (const engine of ["e0@1", "e1@1"]) {
    reach.expect(engine, "svc", 0);
    reach.recordConnection(engine, false, performance.now());
  }
  for (const reason of ["unreachable", "full:no_engine", "no_engine:full"]) {
    expect(passer.mayHelp("svc", reason)).toBe(true);
  }
  for (const reason of ["held_request", "held_part", "no_memory", "leaving"]) {
    expect(passer.mayHelp("svc", reason)).toBe(false);
  }
  expect(passer.mayHelp("other", "unreachable")).toBe(false);
});

// Guards against callers that are refused streams by an instance which the store
// turns away, although it serves the others.
test("a stream that needs the store is passed on to an instance that reaches it", async () => {
  const relay: RelayOptions = { route: { kind: "stream", resumable: true } };
  const turnedAway = await startPeer("b", [], { relay });
  const sound = await startPeer("c", [respondWell], { relay });
  const passer = createPasser(
    [{ ...turnedAway, reachesStore: false }, sound],
    new EngineReach(),
  );
  const port = await startRelay([], {
    ...relay,
    passer,
    streamDecision: { kind: "unknown", reason: "unacknowledged" },
  });
  for (let i = 0; i < 6; i += 1) {
    expect(await sendRequest(port)).toMatchObject({ status: 200, body: WELL });
  }
});

test("an engine that turns a request away is no reason to pass it on", async () => {
  const turnAway: RequestListener = (_, res) => {
    res.writeHead(503, {
      [RESPONSE_HEADERS.id]: "r1",
      [RESPONSE_HEADERS.notRun]: "1",
    });
    res.end();
  };
  const reach = new EngineReach();
  const relay: RelayOptions = { route: {}, reach };
  const peer = await startPeer("b", [respondWell], { relay });
  const passer = createPasser([peer], reach);
  const port = await startRelay([turnAway, turnAway], { ...relay, passer });
  expect((await sendRequest(port)).status).toBe(503);
  expect(portOf(await listen(respondWell))).toBeGreaterThan(0);
});

// LOST: a request that was passed on to an instance at its end was read and closed
// without an answer.
test("an instance that takes no more requests leaves a passed one to another", async () => {
  const relay: RelayOptions = { route: { kind: "unsafe" } };
  const ending = await startPeer("b", [respondWell], { relay });
  const other = await startPeer("c", [respondWell], { relay });
  ending.passedRequests.closeIntake();
  const port = await startRelay([respondWell], {
    ...relay,
    passer: createPasser([ending, other], createCutReach()),
  });
  for (let n = 0; n < 6; n += 1) {
    expect(await sendRequest(port)).toMatchObject({
      status: 200,
      body: WELL,
    });
  }
  expect(ending.passedRequests.active).toBe(0);
});
