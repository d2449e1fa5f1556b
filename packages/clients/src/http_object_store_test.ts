import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import { HttpObjectStore } from "./http_object_store.ts";
import type { HttpClientOptions } from "./json_http_client.ts";

const KEY = { kind: "session", name: "a/b c" } as const;

let server: Server;
let store: HttpObjectStore;

async function serve(
  listener: RequestListener,
  options: HttpClientOptions = {},
): Promise<void> {
  server = createServer(listener);
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  store = new HttpObjectStore(`http://127.0.0.1:${port}/`, options);
}

afterEach(async () => {
  await store.close();
  server.closeAllConnections();
  await new Promise((done) => server.close(done));
});

test.each([
  [404, "not_found"],
  [409, "conflict"],
  [412, "conflict"],
  [413, "invalid"],
  [429, "throttled"],
  [408, "unavailable"],
  [500, "unavailable"],
  [503, "unavailable"],
])("a write with response status %i fails as %s", async (status, kind) => {
  await serve((_req, res) => res.writeHead(status).end());
  const result = await store.create(KEY, {});
  expect(result._unsafeUnwrapErr().kind).toBe(kind);
});

test("Retry-After may be a fraction of a second", async () => {
  await serve((_req, res) =>
    res.writeHead(429, { "retry-after": "0.25" }).end()
  );
  const error = (await store.get(KEY))._unsafeUnwrapErr();
  expect(error).toMatchObject({ kind: "throttled", retry_after_ms: 250 });
});

test("a write is unavailable after a connection reset and not retried", async () => {
  let writes = 0;
  await serve((req) => {
    writes += 1;
    req.socket.resetAndDestroy();
  });
  const result = await store.update(KEY, { version: "1", value: {} });
  expect(result._unsafeUnwrapErr().kind).toBe("unavailable");
  expect(writes).toBe(1);
});

test("a truncated response is unavailable", async () => {
  await serve((_req, res) => {
    res.writeHead(200, { "content-length": 100 });
    res.write('{"version":', () => res.destroy());
  });
  const result = await store.create(KEY, {});
  expect(result._unsafeUnwrapErr().kind).toBe("unavailable");
});

test("a write whose response contains no version is unavailable", async () => {
  await serve((_req, res) => res.writeHead(201).end("?"));
  const result = await store.create(KEY, {});
  expect(result._unsafeUnwrapErr().kind).toBe("unavailable");
});

test("a read with a malformed body is invalid", async () => {
  await serve((_req, res) => res.writeHead(200).end("<html>"));
  expect((await store.get(KEY))._unsafeUnwrapErr().kind).toBe("invalid");
});

test("a request without a response ends at its timeout", async () => {
  await serve(() => {}, { timeout_ms: 30 });
  expect((await store.get(KEY))._unsafeUnwrapErr().kind).toBe("unavailable");
});

test("a watch ends when its signal is aborted", async () => {
  const controller = new AbortController();
  await serve(() => controller.abort());
  const reply = await store.watch(KEY, "1", {
    wait_ms: 60_000,
    signal: controller.signal,
  });
  const error = reply._unsafeUnwrapErr();
  expect(error.kind).toBe("unavailable");
  expect(error.message).toContain("aborted");
});

test("a watch distinguishes unchanged, changed and removed objects", async () => {
  const urls: (string | undefined)[] = [];
  await serve((req, res) => {
    urls.push(req.url);
    if (urls.length === 1) return res.writeHead(204).end();
    if (urls.length === 2) return res.end('{"version":"2","value":{"n":1}}');
    return res.writeHead(404).end();
  });
  const watch = () => store.watch<unknown>(KEY, "1", { wait_ms: 50 });
  expect((await watch())._unsafeUnwrap()).toEqual({
    changed: false,
    object: undefined,
  });
  expect((await watch())._unsafeUnwrap()).toEqual({
    changed: true,
    object: { version: "2", value: { n: 1 } },
  });
  expect((await watch())._unsafeUnwrap()).toEqual({
    changed: true,
    object: undefined,
  });
  expect(urls[0]).toBe("/v1/objects/session/a%2Fb%20c?watch=1&wait_ms=50");
});

test("a value above the size limit is not sent", async () => {
  let calls = 0;
  await serve((_req, res) => {
    calls += 1;
    res.end();
  });
  const result = await store.create(KEY, "x".repeat(1_048_576));
  expect(result._unsafeUnwrapErr().kind).toBe("invalid");
  expect(calls).toBe(0);
});

test("connections are opened from local_address", async () => {
  let source: string | undefined;
  await serve((req, res) => {
    source = req.socket.remoteAddress;
    res.writeHead(204).end();
  }, { local_address: "127.0.0.7" });
  await store.remove(KEY, "1");
  expect(source).toBe("127.0.0.7");
});
