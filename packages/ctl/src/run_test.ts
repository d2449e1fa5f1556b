import type { ConfigObject } from "@banyanlb/core";
import { createOperatorRoot, OperatorBackend } from "@banyanlb/daemon";
import {
  checkChange,
  type Edits,
  type PublishedChange,
  type PublishError,
  Snapshot,
} from "@banyanlb/published";
import { applyWSSHandler } from "@trpc/server/adapters/ws";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { err, ok, type Result } from "neverthrow";
import { afterEach, beforeEach, expect, test } from "vitest";
import { WebSocketServer } from "ws";
import { EXIT } from "./constants.ts";
import { runCtl } from "./run.ts";

const TOKEN = "fleet-token";
const CLOSED_SERVER = "ws://127.0.0.1:1";

class FakeBackend extends OperatorBackend {
  published_set = Snapshot.empty();
  /** Called before each publish, so that a test can simulate a concurrent
   * change by another operator. */
  beforePublish: () => void = () => undefined;
  drained: string | undefined;

  put(objects: readonly ConfigObject[]): void {
    const generation = this.published_set.generation + 1;
    this.published_set = this.published_set
      .apply({ generation, put: objects, remove: [], at_ms: 0 });
  }

  override status() {
    return {
      instance: "i1",
      region: "r",
      failure_domain: "r-a",
      state: "live",
      generation: this.published_set.generation,
      fleet_generation: 3,
      freshness: "contact",
      serving: true,
      members: 1,
      uptime_ms: 5,
    } as const;
  }

  override instances() {
    const where = { region: "r", failure_domain: "r-a" };
    const row = { instance: "i1", id: "s1", ...where, state: "live" };
    return [{ ...row, caller_url: "http://127.0.0.1", slots: 4 }];
  }

  override counters() {
    return [{ counter: "refused{kind:rate_limited}", value: 2 }];
  }

  override retire(name: string) {
    const state = name === "dead" ? "ended" : "alive";
    return Promise.resolve({ name, state, message: "drain it" });
  }

  override targets() {
    return [];
  }

  override ownership() {
    return [{ slot: 0, region: "r", instance: "i1", epoch: 7, targets: 2 }];
  }

  override workspaces() {
    return [{ workspace: "acme", rate_tokens_per_s: 1, burst_tokens: 2 }];
  }

  override snapshot() {
    return this.published_set;
  }

  override async publish(
    edits: Edits,
  ): Promise<Result<PublishedChange, PublishError>> {
    this.beforePublish();
    const checked = this.check(edits);
    if (checked.isErr()) return err(checked.error);
    this.published_set = this.published_set.apply(this.#changeOf(edits));
    return await Promise.resolve(
      ok({ generation: this.published_set.generation }),
    );
  }

  override check(edits: Edits): Result<void, PublishError> {
    const rows = [
      ...edits.put.map(({ object, base }) => ({ ...object, base })),
      ...edits.remove,
    ];
    const objects = rows
      .map(({ kind, name, base }) => {
        const current = this.published_set.versionOf(kind, name) ?? null;
        return { kind, name, base, current };
      })
      .filter((row) => row.base !== row.current);
    if (objects.length > 0) {
      return err({ kind: "conflict", message: "merge, apply again", objects });
    }
    return checkChange(this.published_set, this.#changeOf(edits)).mapErr((
      violations,
    ) => ({
      kind: "rejected",
      message: "rejected",
      violations,
    }));
  }

  override drainInstance(name: string) {
    this.drained = name;
    return Promise.resolve({ name, state: "leaving" });
  }

  #changeOf(edits: Edits) {
    return {
      generation: this.published_set.generation + 1,
      put: edits.put.map((edit) => edit.object),
      remove: edits.remove,
      at_ms: 0,
    };
  }
}

let backend: FakeBackend;
let wss: WebSocketServer;
let dir: string;

beforeEach(async () => {
  backend = new FakeBackend();
  backend.put([
    workspace("acme", 20),
    { kind: "model", name: "base" },
    { kind: "key", name: "k1", workspace: "acme", sha256: "a".repeat(64) },
  ]);
  wss = new WebSocketServer({ host: "127.0.0.1", port: 0 });
  await new Promise((resolve) => wss.once("listening", resolve));
  applyWSSHandler({
    wss,
    router: createOperatorRoot(backend),
    createContext: ({ info }) => ({
      is_trusted: info.connectionParams?.["token"] === TOKEN,
    }),
  });
  dir = mkdtempSync(join(tmpdir(), "ctl-"));
});

afterEach(() => {
  for (const client of wss.clients) client.terminate();
  wss.close();
  rmSync(dir, { recursive: true });
});

function workspace(name: string, burst_tokens: number): ConfigObject {
  return { kind: "workspace", name, rate_tokens_per_s: 10, burst_tokens };
}

function writeFile(name: string, content: unknown): string {
  const path = join(dir, name);
  const text = typeof content === "string" ? content : JSON.stringify(content);
  writeFileSync(path, text);
  return path;
}

interface RunResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

async function run(args: readonly string[], token = TOKEN): Promise<RunResult> {
  const out: string[] = [];
  const errors: string[] = [];
  const { port } = wss.address() as AddressInfo;
  const servers = [CLOSED_SERVER, `ws://127.0.0.1:${port}`];
  const settings = writeFile("settings.jsonc", {
    servers,
    token,
    timeout_ms: 2_000,
  });
  const code = await runCtl([...args, "--settings", settings], {
    out: (text) => out.push(text),
    err: (text) => errors.push(text),
    env: {},
    signal: new AbortController().signal,
  });
  return { code, out: out.join("\n"), err: errors.join("\n") };
}

test("check names file, line, path and remedy", async () => {
  const path = writeFile("bad.jsonc", '[\n  // one\n  {"kind": "model"},\n]');
  const result = await run(["check", path]);
  expect(result.code).toBe(EXIT.invalid);
  expect(result.err).toMatch(
    `${path}:3: /0: must have required property 'name'`,
  );
  expect(result.err).toMatch("correct the field");
});

test("check --whole reports a reference that the files lack", async () => {
  const key = {
    kind: "key",
    name: "k",
    workspace: "no",
    sha256: "b".repeat(64),
  };
  const path = writeFile("key.jsonc", [key]);
  expect((await run(["check", path])).code).toBe(EXIT.ok);
  const whole = await run(["check", path, "--whole"]);
  expect(whole.code).toBe(EXIT.invalid);
  expect(whole.err).toMatch("workspace no does not exist");
});

test("a bad settings file is named with line, path and remedy", async () => {
  const settings = writeFile(
    "s.jsonc",
    '{\n  "servers": ["http://x"],\n  "token": ""\n}',
  );
  const errors: string[] = [];
  const code = await runCtl(["status", "--settings", settings], {
    out: () => undefined,
    err: (text) => errors.push(text),
    env: {},
    signal: new AbortController().signal,
  });
  expect(code).toBe(EXIT.invalid);
  expect(errors.join("\n")).toMatch(`${settings}:2: /servers/0:`);
  expect(errors.join("\n")).toMatch(`${settings}:3: /token:`);
});

test("tries the next server; get, edit and apply work together", async () => {
  const got = await run(["get", "workspace", "acme", "--output", "json"]);
  expect(got.code).toBe(EXIT.ok);
  expect(got.err).toMatch("trying the next server");
  const [row] = JSON.parse(got.out);
  expect(row).toEqual({ ...workspace("acme", 20), base: 1 });
  const path = writeFile("w.jsonc", [{ ...row, burst_tokens: 30 }]);
  const diff = await run(["diff", path]);
  expect(diff.code).toBe(EXIT.differs);
  expect(diff.out).toMatch("burst_tokens: 20 -> 30");
  expect((await run(["apply", path])).code).toBe(EXIT.ok);
  expect(backend.published_set.get("workspace", "acme")?.burst_tokens).toBe(30);
  expect((await run(["diff", path])).code).toBe(EXIT.ok);
  expect((await run(["apply", path])).code).toBe(EXIT.ok);
  expect(backend.published_set.generation).toBe(2);
});

test("a second apply with the same base exits with conflict (4)", async () => {
  const base = writeFile("base.json", [{ ...workspace("acme", 20), base: 1 }]);
  const first = writeFile("a.jsonc", [workspace("acme", 30)]);
  const second = writeFile("b.jsonc", [workspace("acme", 40)]);
  const flags = ["--base", base];
  expect((await run(["apply", first, ...flags])).code).toBe(EXIT.ok);
  const lost = await run(["apply", second, ...flags]);
  expect(lost.code).toBe(EXIT.conflict);
  expect(lost.err).toMatch("apply again");
  expect(backend.published_set.get("workspace", "acme")?.burst_tokens).toBe(30);
});

test("a change that violates a rule is rejected as a whole", async () => {
  const path = writeFile("c.jsonc", [
    workspace("fine", 20),
    { kind: "workspace", name: "acme", remove: true },
  ]);
  const result = await run(["apply", path]);
  expect(result.code).toBe(EXIT.invalid);
  expect(result.err).toMatch(`${path}:1: /1: still used by 1 objects`);
  expect(backend.published_set.generation).toBe(1);
});

test("a connection lost while publishing exits with outcome_unknown", async () => {
  backend.beforePublish = () => {
    for (const client of wss.clients) client.terminate();
  };
  const path = writeFile("w.jsonc", [workspace("new", 20)]);
  const result = await run(["apply", path]);
  expect(result.code).toBe(EXIT.outcome_unknown);
  expect(result.err).toMatch("may have taken effect");
});

test("a wrong token is refused before any change is sent", async () => {
  const result = await run(["keys", "issue", "acme"], "wrong");
  expect(result.code).toBe(EXIT.refused);
  expect(result.err).toMatch("set peer_token");
  expect(backend.published_set.generation).toBe(1);
});

test("an issued key is published as its hash and can be withdrawn", async () => {
  const issued = await run(["keys", "issue", "acme", "--output", "json"]);
  expect(issued.code).toBe(EXIT.ok);
  const { name, key } = JSON.parse(issued.out);
  const stored = backend.published_set.get("key", name);
  expect(JSON.stringify(stored)).not.toMatch(key);
  expect(backend.published_set.keyBySha256(stored?.sha256 ?? "")?.name).toBe(
    name,
  );
  // Another operator changes the key once between read and publish.
  let has_raced = false;
  backend.beforePublish = () => {
    if (!has_raced && stored !== undefined) backend.put([stored]);
    has_raced = true;
  };
  expect((await run(["keys", "withdraw", name])).code).toBe(EXIT.ok);
  expect(backend.published_set.get("key", name)).toBeUndefined();
  const again = await run(["keys", "withdraw", name]);
  expect(again.code).toBe(EXIT.not_found);
});

test("status views, drain and top", async () => {
  const slots = await run(["status", "ownership", "--output", "json"]);
  expect(JSON.parse(slots.out)[0].epoch).toBe(7);
  expect((await run(["status"])).out).toMatch("generation: 1");
  expect((await run(["drain", "i1"])).code).toBe(EXIT.ok);
  expect(backend.drained).toBe("i1");
  expect((await run(["drain", "nothing"])).code).toBe(EXIT.not_found);
  const top = await run(["top", "--count", "1", "--output", "json"]);
  expect(JSON.parse(top.out).status.instance).toBe("i1");
});

test("retire refuses to end the session of a live process", async () => {
  expect((await run(["retire", "dead"])).code).toBe(EXIT.ok);
  const alive = await run(["retire", "s1"]);
  expect(alive.code).toBe(EXIT.refused);
  expect(alive.err).toContain("drain it");
});

test("a flag before the files does not consume a file name", async () => {
  const path = writeFile("ok.jsonc", { kind: "model", name: "base" });
  const result = await run(["check", "--whole", path]);
  expect(result).toMatchObject({ code: EXIT.ok, err: "" });
});
