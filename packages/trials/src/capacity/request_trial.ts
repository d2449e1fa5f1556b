/** Sends requests through one entry to an engine that another instance owns,
 * and measures the cost on both daemons.
 *
 * @module
 */
import { type ConfigObject, hashKey, type Target } from "@banyanlb/core";
import { FleetView, unpackFleet } from "@banyanlb/fleet";
import { setTimeout as sleep } from "node:timers/promises";
import { Caller } from "../harness/caller.ts";
import { Cluster, type ClusterInstance } from "../harness/cluster.ts";
import { createRandom } from "../harness/random.ts";
import {
  MS_PER_S,
  PURE_ACKS_PER_SEGMENT,
  SEED,
  SEGMENT_HEADER_BYTES,
} from "./constants.ts";
import { cpuSeconds } from "./proc_stat.ts";

const CHAT_PATH = "/v1/chat/completions";
const ENGINE_NAME = "assistant-1";
const INSTANCE_COUNT = 2;
const WORKSPACE_COUNT = 40;
const RATE_TOKENS_PER_S = 10_000_000;
const WINDOW_MS = 6_000;
/** Tokens of a short response. */
export const REQUEST_TOKENS = 8;
const SPACED_GAP_MS = 80;
const SETTLE_MS = 700;

/** A workspace of the trial, with its key and its only route. */
export interface Tenant {
  readonly workspace: string;
  readonly key: string;
  readonly route: string;
}

/** Instances and workspaces of a trial by their role. */
export interface TrialRoles {
  /** Instance that receives the callers' requests. */
  readonly entry: ClusterInstance;
  /** Instance that grants the engine's permits. */
  readonly owner: ClusterInstance;
  /** Workspace whose rate shares the entry holds. */
  readonly entry_tenant: Tenant;
  /** Workspace whose rate shares the owner holds. */
  readonly owner_tenant: Tenant;
}

/** Cost of a number of requests. */
export interface RequestUsage {
  /** Processor seconds of each daemon. */
  readonly entry_s: number;
  readonly owner_s: number;
  /** Bytes between entry and owner, both ways, framing included. */
  readonly peer_bytes: number;
  readonly seconds: number;
  readonly requests: number;
}

type Traffic = Readonly<
  Record<string, { readonly bytes: number; readonly chunks: number }>
>;

function buildTenant(i: number): Tenant {
  return {
    workspace: `tenant-${i}`,
    key: `plain-key-of-tenant-${i}`,
    route: `adapter-${i}`,
  };
}

const TENANTS = Array.from(
  { length: WORKSPACE_COUNT },
  (_, i) => buildTenant(i),
);

function tenantObjects(tenant: Tenant, model: string): readonly ConfigObject[] {
  const { workspace, key, route: name } = tenant;
  const version = `${name}@1`;
  return [
    {
      kind: "workspace",
      name: workspace,
      rate_tokens_per_s: RATE_TOKENS_PER_S,
      burst_tokens: RATE_TOKENS_PER_S,
    },
    { kind: "key", name: `${workspace}-key`, workspace, sha256: hashKey(key) },
    { kind: "adapter", name, workspace, model },
    { kind: "version", name: version, adapter: name, weights: `${name}/1` },
    { kind: "route", name, workspace, serves: { type: "version", version } },
  ];
}

/** Keeps one engine and adds the workspaces of the trial. */
function editObjects(
  objects: readonly ConfigObject[],
): readonly ConfigObject[] {
  const model = objects.find((object) => object.kind === "model")?.name ?? "";
  const retained = objects
    .filter((object) => object.kind !== "target" || object.name === ENGINE_NAME)
    .filter((object) =>
      object.kind !== "route" || object.serves.type === "version"
    );
  return [
    ...retained,
    ...TENANTS.flatMap((tenant) => tenantObjects(tenant, model)),
  ];
}

async function startCluster(): Promise<Cluster> {
  return await Cluster.start({
    deployment: "kim_quy",
    instances: INSTANCE_COUNT,
    adapters: 10,
    targets_per_pool: 1,
    engine_args: [
      "--step-ms",
      "2",
      "--step-ms-per-request",
      "0",
      "--step-ms-per-adapter",
      "0",
      "--prefill-ms-per-token",
      "0",
    ],
    editObjects,
  });
}

/** Finds the owner of the engine, and one workspace for each instance that
 * holds all shares of the workspace. */
async function findRoles(cluster: Cluster): Promise<TrialRoles> {
  const response = await fetch(`${cluster.store.url}/v1/objects/fleet/fleet`);
  const { value } = await response.json() as { readonly value: unknown };
  const fleet = unpackFleet(value);
  if (fleet.isErr()) throw new Error(fleet.error);
  const view = new FleetView(fleet.value);
  const target = cluster.objects.objects
    .find((object) => object.name === ENGINE_NAME) as Target;
  const slot = view.slotOfTarget(target) ?? 0;
  const holder_name = view.holder(slot)?.instance;
  const owner = cluster.instances.find((row) => row.name === holder_name);
  const entry = cluster.instances.find((row) => row.name !== holder_name);
  if (owner === undefined || entry === undefined) throw new Error("no roles");
  const tenantHeldBy = (instance: ClusterInstance) =>
    TENANTS.find(({ workspace }) =>
      view.shareSlots(workspace).every((share) =>
        view.holder(share)?.instance === instance.name
      )
    );
  const near = tenantHeldBy(entry);
  const far = tenantHeldBy(owner);
  if (near === undefined || far === undefined) throw new Error("no tenants");
  return { entry, owner, entry_tenant: near, owner_tenant: far };
}

/** Sends requests to the entry and measures the entry and the owner. */
export class RequestTrial {
  readonly #cluster: Cluster;
  readonly #caller: Caller;
  readonly roles: TrialRoles;

  constructor(cluster: Cluster, roles: TrialRoles) {
    this.#cluster = cluster;
    this.roles = roles;
    this.#caller = new Caller({
      seeds: cluster.seeds,
      random: createRandom(SEED),
      local_address: cluster.caller_address,
    });
  }

  /** Sends one request to the entry. Throws unless it succeeds with a complete
   * response. */
  async send(tenant: Tenant, max_tokens: number): Promise<void> {
    const result = await this.#caller.call({
      path: CHAT_PATH,
      key: tenant.key,
      url: this.roles.entry.caller_url,
      body: {
        model: tenant.route,
        messages: [{ role: "user", content: "a toll draft" }],
        max_tokens,
        stream: true,
      },
    });
    if (result.status !== 200 || !result.whole) {
      throw new Error(`${result.status}: ${result.body}`);
    }
  }

  /** Sends requests at a constant rate during the measurement window. */
  async load(
    tenant: Tenant,
    options: { readonly per_s: number; readonly max_tokens: number },
  ): Promise<RequestUsage> {
    const count = Math.round(options.per_s * WINDOW_MS / MS_PER_S);
    return await this.#measure(count, async () => {
      const pending: Promise<void>[] = [];
      const start = performance.now();
      for (let i = 0; i < count; i++) {
        const due_ms = start + i * MS_PER_S / options.per_s;
        const wait_ms = due_ms - performance.now();
        if (wait_ms > 1) await sleep(wait_ms);
        pending.push(this.send(tenant, options.max_tokens));
      }
      await Promise.all(pending);
    });
  }

  /** Sends `count` requests so far apart that none share a message between the
   * daemons. */
  async sendSpaced(tenant: Tenant, count: number): Promise<RequestUsage> {
    return await this.#measure(count, async () => {
      for (let i = 0; i < count; i++) {
        await this.send(tenant, REQUEST_TOKENS);
        await sleep(SPACED_GAP_MS);
      }
    });
  }

  async close(): Promise<void> {
    await this.#caller.close();
    await this.#cluster.close();
  }

  async #measure(
    requests: number,
    task: () => Promise<void>,
  ): Promise<RequestUsage> {
    await sleep(SETTLE_MS);
    const { entry, owner } = this.roles;
    const entry_pid = entry.process?.pid ?? 0;
    const owner_pid = owner.process?.pid ?? 0;
    const bytes_before = await this.#peerBytes();
    const entry_before_s = cpuSeconds(entry_pid);
    const owner_before_s = cpuSeconds(owner_pid);
    const start = performance.now();
    await task();
    await sleep(SETTLE_MS);
    return {
      seconds: (performance.now() - start) / MS_PER_S,
      entry_s: cpuSeconds(entry_pid) - entry_before_s,
      owner_s: cpuSeconds(owner_pid) - owner_before_s,
      peer_bytes: await this.#peerBytes() - bytes_before,
      requests,
    };
  }

  async #peerBytes(): Promise<number> {
    const { traffic } = await this.#cluster.network
      .record<{ readonly traffic: Traffic }>();
    const { entry, owner } = this.roles;
    const framing_bytes = SEGMENT_HEADER_BYTES * (1 + PURE_ACKS_PER_SEGMENT);
    return [`${entry.name}>${owner.name}`, `${owner.name}>${entry.name}`]
      .map((pair) => traffic[pair] ?? { bytes: 0, chunks: 0 })
      .reduce(
        (sum, { bytes, chunks }) => sum + bytes + chunks * framing_bytes,
        0,
      );
  }
}

/** Starts a cluster and finds the entry, the owner and their tenants. */
export async function startRequestTrial(): Promise<RequestTrial> {
  const cluster = await startCluster();
  try {
    return new RequestTrial(cluster, await findRoles(cluster));
  } catch (cause) {
    await cluster.close();
    throw cause;
  }
}
