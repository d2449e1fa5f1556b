import type { Target, Version } from "@banyanlb/core";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import { OpenAiEngineClient } from "./openai_engine_client.ts";

const VERSION: Version = {
  kind: "version",
  name: "tolls@1",
  adapter: "tolls",
  weights: "tolls/1",
};
/** Time for an order that is answered at once. */
const OPTIONS = { epoch: 7, timeout_ms: 5_000 };

/** Time for an order that is never answered, which still has to arrive. */
const UNANSWERED_OPTIONS = { epoch: 7, timeout_ms: 1_000 };

const engines = new OpenAiEngineClient();
let server: Server;

async function serve(listener: RequestListener): Promise<Target> {
  server = createServer(listener);
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  return {
    kind: "target",
    name: "e1",
    type: "engine",
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    pool: "engines",
    region: "r",
    failure_domain: "r-a",
  };
}

afterEach(async () => {
  server.closeAllConnections();
  await new Promise((done) => server.close(done));
});

test.each([
  [409, "rejected"],
  [412, "fenced"],
  [500, "failed"],
  [503, "unknown"],
])("a load with response status %i fails as %s", async (status, kind) => {
  const target = await serve((_req, res) => res.writeHead(status).end());
  const result = await engines.load(target, VERSION, OPTIONS);
  expect(result._unsafeUnwrapErr().kind).toBe(kind);
});

test("an order has the fencing token; no response means unknown", async () => {
  let epoch: unknown;
  const target = await serve((req) => {
    epoch = req.headers["x-fencing-epoch"];
  });
  const result = await engines.evict(
    target,
    VERSION.name,
    UNANSWERED_OPTIONS,
  );
  expect(result._unsafeUnwrapErr().kind).toBe("unknown");
  expect(epoch).toBe("7");
});

test("a report with missing fields is an error", async () => {
  const target = await serve((_req, res) => res.end('{"loaded":[]}'));
  const result = await engines.report(target, 1_000);
  expect(result._unsafeUnwrapErr().kind).toBe("unknown");
});
