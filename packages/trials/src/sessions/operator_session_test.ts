import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { afterAll, beforeAll, expect, test } from "vitest";
import { Caller } from "../harness/caller.ts";
import { Cluster, PEER_TOKEN, waitUntil } from "../harness/cluster.ts";

const require = createRequire(import.meta.url);
const BANYANCTL = join(dirname(require.resolve("@banyanlb/ctl")), "main.js");
const CHAT = "/v1/chat/completions";

let cluster: Cluster;
let caller: Caller;
let directory: string;

beforeAll(async () => {
  directory = await mkdtemp(join(tmpdir(), "banyanctl-"));
  cluster = await Cluster.start({
    deployment: "kim_quy",
    instances: 2,
    adapters: 10,
    targets_per_pool: 1,
    settings: { steering_keep_ms: 500 },
  });
  caller = new Caller({ seeds: cluster.seeds, random: () => 0 });
});

afterAll(async () => {
  await caller?.close();
  await cluster?.close();
  await rm(directory, { recursive: true, force: true });
});

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs banyanctl with all instances as its servers. */
function runBanyanctl(...args: readonly string[]): Promise<CommandResult> {
  const servers = cluster.instances
    .flatMap(({ peer_url }) => ["--server", peer_url]);
  const env = { ...process.env, BANYANCTL_TOKEN: PEER_TOKEN };
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [BANYANCTL, ...args, ...servers, "--output", "json"],
      { env },
      (cause, out, err) => {
        const code = cause === null ? 0 : Number(cause.code);
        resolve({ code, out, err });
      },
    );
  });
}

async function writeObjects(name: string, objects: unknown): Promise<string> {
  const file = join(directory, name);
  await writeFile(file, JSON.stringify(objects));
  return file;
}

function chat(model: string | undefined, key: string) {
  const messages = [{ role: "user", content: "hello" }];
  const body = { model, messages, max_tokens: 4 };
  return caller.call({ path: CHAT, key, body, url: cluster.seeds[0] ?? "" });
}

test("status shows instances, targets, ownership and workspaces", async () => {
  for (const view of ["instances", "targets", "ownership", "workspaces"]) {
    const { code, out } = await runBanyanctl("status", view);
    expect([view, code]).toEqual([view, 0]);
    expect(JSON.parse(out).length).toBeGreaterThan(0);
  }
});

test("a set with a broken reference is refused as a whole", async () => {
  const file = await writeObjects("broken.jsonc", [
    { kind: "adapter", name: "whole", workspace: "thu-duc", model: "nothing" },
    { kind: "model", name: "half" },
  ]);
  const { code, err } = await runBanyanctl("apply", file);
  expect(code).toBe(2);
  expect(err).toContain("nothing");
  expect((await runBanyanctl("get", "model", "half")).code).toBe(7);
});

test("of two applies with the same base, exactly one succeeds", async () => {
  const { out } = await runBanyanctl("get", "workspace", "thu-duc");
  const [{ base, ...object }] = [JSON.parse(out)].flat();
  const files = await Promise.all(
    [600, 700].map((rate_tokens_per_s) =>
      writeObjects(`${rate_tokens_per_s}.jsonc`, [
        { ...object, rate_tokens_per_s, base },
      ])
    ),
  );
  const runs = await Promise.all(
    files.map((file) => runBanyanctl("apply", file)),
  );
  expect(runs.map((run) => run.code).sort()).toEqual([0, 4]);
  expect(runs.find((run) => run.code === 4)?.err).toContain("apply again");
});

test("an issued key works until it is withdrawn", async () => {
  const route = cluster.objects.routes
    .find((row) => row.workspace === "thu-duc")?.route;
  const issued = await runBanyanctl(
    "keys",
    "issue",
    "thu-duc",
    "--name",
    "extra",
  );
  expect(issued.code).toBe(0);
  const { key } = JSON.parse(issued.out);
  await waitUntil(async () => (await chat(route, key)).status === 200, {
    what: "the key works",
  });
  expect((await runBanyanctl("keys", "withdraw", "extra")).code).toBe(0);
  await waitUntil(async () => (await chat(route, key)).status === 401, {
    what: "the key is refused",
    limit_ms: 3_000,
  });
});

test("a drained instance leaves, and the other instance serves", async () => {
  const { code } = await runBanyanctl("drain", "entry-2");
  expect(code).toBe(0);
  const drained_process = cluster.instances[1]?.process;
  await waitUntil(() => drained_process?.running === false, {
    what: "the drained process has ended",
  });
  expect((await drained_process?.exited)?.code).toBe(0);
  // Other instances read the change at their next poll of the list.
  await waitUntil(async () => {
    const { out } = await runBanyanctl("status", "instances");
    return [JSON.parse(out)].flat().length === 1;
  }, { what: "entry-2 is no longer a member" });
  const planned = cluster.objects.routes[0];
  const key = cluster.keyOf(planned?.workspace ?? "");
  expect((await chat(planned?.route, key)).status).toBe(200);
});
