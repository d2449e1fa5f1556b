/** A sound client: sends requests, records each answer. */
import { Agent, request } from "node:http";
import { HOST, PORTS } from "./world.mjs";

let count = 0;

export class Client {
  constructor(world, options = {}) {
    this.world = world;
    this.agent = new Agent({ keepAlive: true, ...options });
  }

  /** Sends one request; resolves to its status, headers, body, and whether the
   * answer was complete. */
  send(ip, options = {}) {
    count += 1;
    const {
      route = "confirm",
      method = route === "lookup" ? "GET" : "POST",
      deadlineMs = 3000,
      body = method === "GET" ? undefined : Buffer.from("order"),
      headers = {},
      id = `r${process.pid.toString(16)}${count.toString(16)}`,
    } = options;
    const startedAt = performance.now();
    return new Promise((resolve) => {
      let status = 0;
      const chunks = [];
      let resHeaders = {};
      const finish = (complete, error) => {
        clearTimeout(timer);
        const answer = {
          id,
          route,
          status,
          complete,
          error,
          isKept: req.reusedSocket,
          ms: Math.round(performance.now() - startedAt),
        };
        this.world.record("answer", answer);
        resolve({
          ...answer,
          headers: resHeaders,
          body: Buffer.concat(chunks).toString(),
        });
      };
      const req = request({
        agent: this.agent,
        host: ip,
        port: PORTS.front,
        method,
        path: `/${route}/x`,
        setHost: false,
        headers: {
          Host: HOST,
          "Request-Id": id,
          Deadline: String(deadlineMs),
          Authorization: "Bearer key-1",
          ...(body === undefined ? {} : { "Content-Length": body.length }),
          ...headers,
        },
      });
      this.world.record("send", { id, route, to: ip, bytes: body?.length });
      const timer = setTimeout(
        () => req.destroy(new Error("deadline")),
        deadlineMs + 500,
      );
      req.on("error", (err) => finish(false, err.message));
      req.on("response", (res) => {
        status = res.statusCode;
        resHeaders = res.headers;
        res.on("data", (chunk) => chunks.push(chunk));
        res.on("error", (err) => finish(false, err.message));
        res.on("end", () => finish(res.complete));
      });
      req.end(body);
    });
  }

  /** Opens connections that have each carried a request, by sending `count`
   * reads at a time to each address. */
  async holdConnections(ips, count) {
    this.agent.maxSockets = count;
    await Promise.all(
      ips.flatMap((ip) =>
        Array.from({ length: count }, () => this.send(ip, { route: "lookup" }))
      ),
    );
    this.agent.maxSockets = Infinity;
  }

  close() {
    this.agent.destroy();
  }
}
