/** `npm start`: starts a small deployment as separate processes, sends requests
 * through it and checks the results. The exit code is 0 if every claim holds.
 *
 * @module
 */
import type { ServiceCall } from "@banyanlb/standins";
import { chatPrompt, expectedText } from "@banyanlb/standins";
import { Caller, type CallResult } from "../harness/caller.ts";
import { Cluster, type ClusterTarget, waitUntil } from "../harness/cluster.ts";
import { createRandom } from "../harness/random.ts";
import { Checks } from "./checks.ts";

const SEED = 20_261_204;
const TIME_LIMIT_MS = 58_000;
const INSTANCES = 4;
const ADAPTERS = 40;
const MAX_TOKENS = 24;
const BURST_REQUESTS = 120;
const BURST_TOKENS = 200;
const WITHDRAWAL_LIMIT_MS = 3_000;
const CALLS_AFTER_KILL = 20;
const CHAT = "/v1/chat/completions";

interface Demo {
  readonly cluster: Cluster;
  readonly caller: Caller;
  readonly checks: Checks;
}

interface DemoRoute {
  readonly workspace: string;
  readonly route: string;
  readonly version: string;
}

function chatBody(model: string, text: string, max_tokens = MAX_TOKENS) {
  const messages = [{ role: "user", content: text }];
  return { model, messages, max_tokens, stream: true };
}

/** Text of a streamed completion. */
function streamText(result: CallResult): string {
  return result.body.split("\n\n")
    .filter((event) => event.startsWith("data: {"))
    .map((event) => JSON.parse(event.slice("data: ".length)))
    .map((data) => data.choices[0]?.delta?.content ?? "")
    .join("");
}

function expectedCompletion(version: string, text: string): string {
  const prompt = chatPrompt([{ role: "user", content: text }]);
  return expectedText({ version, prompt, max_tokens: MAX_TOKENS });
}

async function showSteering({ caller, checks, cluster }: Demo): Promise<void> {
  const key = cluster.keyOf("large-buyer");
  const addresses = await caller.steer(key);
  const regions = new Set(addresses.map((address) => address.region));
  checks.record("an instance steers the caller over two regions", {
    held: addresses.length === INSTANCES && regions.size === 2,
    observed: addresses.map((a) => `${a.failure_domain} x${a.weight}`).join(
      ", ",
    ),
  });
}

async function showCompletion(demo: Demo, planned: DemoRoute): Promise<void> {
  const { caller, checks, cluster } = demo;
  const key = cluster.keyOf(planned.workspace);
  const text = `toll draft for ${planned.route}`;
  const body = chatBody(planned.route, text);
  const cold = await caller.callUntilServed({ path: CHAT, key, body });
  const warm = await caller.callUntilServed({ path: CHAT, key, body });
  const expected = expectedCompletion(planned.version, text);
  const results = [cold, warm];
  const is_correct = results.every((r) =>
    r.whole && streamText(r) === expected
  );
  checks.record(`${planned.workspace} gets whole answers of its adapter`, {
    held: is_correct,
    observed: `${planned.version}, first token cold ` +
      `${cold.first_byte_ms.toFixed(0)} ms, warm ` +
      `${warm.first_byte_ms.toFixed(0)} ms, "${
        streamText(warm).slice(0, 30)
      }..."`,
  });
}

async function showForeignAdapter(demo: Demo): Promise<void> {
  const { caller, checks, cluster } = demo;
  const foreign_route = cluster.objects.routes
    .find((route) => route.workspace === "large-buyer");
  const result = await caller.callUntilServed({
    path: CHAT,
    key: cluster.keyOf("thu-duc"),
    body: chatBody(foreign_route?.version ?? "", "not mine"),
  });
  checks.record("a foreign adapter is refused and did not run", {
    held: result.status === 404 && result.not_run === true,
    observed: `${result.status} ${result.error_type}`,
  });
}

async function showWithdrawal(demo: Demo): Promise<void> {
  const { caller, checks, cluster } = demo;
  const key = cluster.keyOf("west-lake");
  const { client } = cluster.operator();
  const body = chatBody(findRoute(cluster, "west-lake").route, "hello");
  const before = await caller.callUntilServed({ path: CHAT, key, body });
  const start_ms = performance.now();
  await client.operator.withdraw_key.mutate({ name: "west-lake-key" });
  let result = before;
  await waitUntil(async () => {
    result = await caller.callUntilServed({ path: CHAT, key, body });
    return result.status === 401;
  }, { what: "withdrawn key is refused" });
  const elapsed_ms = performance.now() - start_ms;
  checks.record("a withdrawn key is refused within 3 s", {
    held: before.status === 200 && elapsed_ms <= WITHDRAWAL_LIMIT_MS &&
      result.not_run === true,
    observed: `${result.status} ${result.error_type} after ${
      elapsed_ms.toFixed(0)
    } ms`,
  });
}

function findRoute(cluster: Cluster, workspace: string): DemoRoute {
  const found = cluster.objects.routes
    .find((route) => route.workspace === workspace);
  if (found === undefined) throw new Error(`no route of ${workspace}`);
  return found;
}

async function showRateLimit(demo: Demo): Promise<void> {
  const { caller, checks, cluster } = demo;
  const key = cluster.keyOf("thu-duc");
  const { route } = findRoute(cluster, "thu-duc");
  const body = chatBody(route, "again and again", BURST_TOKENS);
  const results = await Promise.all(
    Array.from(
      { length: BURST_REQUESTS },
      () => caller.callUntilServed({ path: CHAT, key, body }),
    ),
  );
  const limited_results = results.filter((r) =>
    r.error_type === "rate_limited"
  );
  const served_results = results.filter((r) => r.status === 200 && r.whole);
  const retry_after = limited_results[0]?.headers["retry-after"];
  checks.record("a workspace over its burst is refused the rest", {
    held: limited_results.length > 0 && served_results.length > 0 &&
      limited_results.every((r) => r.not_run === true) &&
      retry_after !== undefined,
    observed:
      `${served_results.length} served, ${limited_results.length} refused, ` +
      `Retry-After ${retry_after} s`,
  });
}

async function countTargetExecutions(target: ClusterTarget): Promise<number> {
  const { calls } = await target.control.record<
    { readonly calls: readonly ServiceCall[] }
  >();
  return calls.filter((call) => call.executed !== undefined).length;
}

async function countExecutions(cluster: Cluster): Promise<number> {
  const services = cluster.targets
    .filter((target) => target.planned.pool.type === "service");
  const counts = await Promise.all(services.map(countTargetExecutions));
  return counts.reduce((sum, count) => sum + count, 0);
}

async function showAtMostOnce(demo: Demo): Promise<void> {
  const { caller, checks, cluster } = demo;
  const before = await countExecutions(cluster);
  const send = () =>
    caller.callUntilServed({
      path: "/services/confirm/orders",
      key: cluster.keyOf("hanoi-satchels"),
      body: { order: 7, pieces: 1_200 },
      headers: { "idempotency-key": "order-7" },
    });
  const first = await send();
  const second = await send();
  const execution_count = await countExecutions(cluster) - before;
  checks.record("a non-idempotent call sent twice ran once", {
    held: execution_count === 1 && first.status === 200 &&
      second.body === first.body &&
      second.headers["idempotent-replayed"] === "true",
    observed: `${execution_count} execution, second answer replayed: ` +
      `${second.headers["idempotent-replayed"]}`,
  });
}

async function showKill(demo: Demo): Promise<void> {
  const { caller, checks, cluster } = demo;
  const killed_instance = cluster.instances.at(-1);
  await killed_instance?.process?.kill();
  const planned = findRoute(cluster, "large-buyer");
  const key = cluster.keyOf(planned.workspace);
  const body = chatBody(planned.route, "after the kill");
  const results: CallResult[] = [];
  for (let i = 0; i < CALLS_AFTER_KILL; i++) {
    results.push(await caller.callUntilServed({ path: CHAT, key, body }, 8));
  }
  const complete_count =
    results.filter((r) => r.status === 200 && r.whole).length;
  const slowest_ms = Math.max(...results.map((r) => r.total_ms));
  checks.record("callers outlive a killed instance", {
    held: complete_count === CALLS_AFTER_KILL,
    observed: `${complete_count} of ${CALLS_AFTER_KILL} whole, slowest ` +
      `${slowest_ms.toFixed(0)} ms`,
  });
}

async function showTargets({ checks, cluster }: Demo): Promise<void> {
  const records = await Promise.all(
    cluster.targets.map((target) => target.control.record<object>()),
  );
  const text = JSON.stringify(records);
  const leaked_keys = cluster.objects.keys.filter(({ key }) =>
    text.includes(key)
  );
  checks.record("no target saw a caller's key", {
    held: leaked_keys.length === 0,
    observed: `${records.length} targets, ${leaked_keys.length} keys found`,
  });
}

async function showAll(demo: Demo): Promise<void> {
  await showSteering(demo);
  for (const workspace of ["large-buyer", "hanoi-satchels", "thu-duc"]) {
    await showCompletion(demo, findRoute(demo.cluster, workspace));
  }
  await showForeignAdapter(demo);
  await showAtMostOnce(demo);
  await showRateLimit(demo);
  await showWithdrawal(demo);
  await showKill(demo);
  await showTargets(demo);
}

async function run(): Promise<number> {
  const checks = new Checks();
  const cluster = await Cluster.start({
    deployment: "kim_quy",
    instances: INSTANCES,
    adapters: ADAPTERS,
    targets_per_pool: 2,
  });
  const caller = new Caller({
    seeds: cluster.seeds,
    random: createRandom(SEED),
    local_address: cluster.caller_address,
  });
  checks.record("stand-ins and instances run as separate processes", {
    held: true,
    observed: `${cluster.instances.length} instances, ` +
      `${cluster.targets.length} targets`,
  });
  try {
    await showAll({ cluster, caller, checks });
  } finally {
    await caller.close();
    await cluster.close();
  }
  return checks.finish();
}

const timer = setTimeout(() => {
  console.log("did not hold: the demonstration ends within 60 s");
  process.exit(1);
}, TIME_LIMIT_MS);

run().then((code) => {
  clearTimeout(timer);
  process.exitCode = code;
}, (cause) => {
  console.error(cause);
  process.exit(1);
});
