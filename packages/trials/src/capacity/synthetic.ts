/** Synthetic objects, in any number, for measurements.
 *
 * @module
 */
import {
  type ConfigObject,
  type Fleet,
  hashKey,
  type Manifest,
  type Member,
  type Target,
} from "@banyanlb/core";
import { randomUUID } from "node:crypto";

const REGION_COUNT = 5;
const FAILURE_DOMAIN_COUNT = 11;
const MODEL_COUNT = 3;
const WORKSPACE_COUNT = 500;
const OBJECTS_PER_ADAPTER = 3;
const OBJECTS_PER_BUCKET = 2_048;
const MIN_BUCKETS = 16;
const PART_NAME = "Qm9uZXMtMTYtY2hh.3700";

/** Kinds of objects whose number can be varied. */
export type CountedKind = "adapter" | "target" | "workspace" | "key";

/** Region and failure domain of the `i`th object; objects are spread over the
 * failure domains. */
export function locationOf(
  i: number,
): { readonly region: string; readonly failure_domain: string } {
  const domain = i % FAILURE_DOMAIN_COUNT;
  return {
    region: `region-${domain % REGION_COUNT + 1}`,
    failure_domain: `domain-${domain + 1}`,
  };
}

function workspaceName(i: number): string {
  return `workspace-${i % WORKSPACE_COUNT + 1}`;
}

/** Builds an adapter with its version and its route. */
export function adapterObjects(i: number): readonly ConfigObject[] {
  const name = `adapter-${i}`;
  const version = `${name}@1`;
  const workspace = workspaceName(i);
  return [
    { kind: "adapter", name, workspace, model: `model-${i % MODEL_COUNT + 1}` },
    { kind: "version", name: version, adapter: name, weights: `${name}/1` },
    {
      kind: "route",
      name,
      workspace,
      serves: { type: "version", version },
      class: i % 3 === 0 ? "batch" : "interactive",
    },
  ];
}

/** Builds a target of type engine. */
export function targetObject(i: number): Target {
  return {
    kind: "target",
    name: `engine-${i}`,
    type: "engine",
    url: `http://10.${i % 250}.${i % 200}.${i % 199}:8000`,
    pool: "engines",
    model: `model-${i % MODEL_COUNT + 1}`,
    ...locationOf(i),
    adapter_slots: 8,
    max_running: 32,
    fencing: i % 2 === 0,
  };
}

/** Builds a workspace with a token rate and burst. */
export function workspaceObject(i: number): ConfigObject {
  return {
    kind: "workspace",
    name: `workspace-${i + 1}`,
    rate_tokens_per_s: 4_000,
    burst_tokens: 16_000,
  };
}

/** Builds a key of a workspace. */
export function keyObject(i: number): ConfigObject {
  return {
    kind: "key",
    name: `key-${i}`,
    workspace: workspaceName(i),
    sha256: hashKey(`plain-${i}`),
  };
}

/** Builds `count` objects of a kind. Adapters come with a version and a route,
 * which aren't counted. */
export function buildObjects(
  kind: CountedKind,
  count: number,
): readonly ConfigObject[] {
  const indices = Array.from({ length: count }, (_, i) => i);
  switch (kind) {
    case "adapter":
      return indices.flatMap(adapterObjects);
    case "target":
      return indices.map(targetObject);
    case "workspace":
      return indices.map(workspaceObject);
    case "key":
      return indices.map(keyObject);
  }
}

/** Builds the models and workspaces that adapters refer to. */
export function baseObjects(): readonly ConfigObject[] {
  const models = Array.from(
    { length: MODEL_COUNT },
    (_, i): ConfigObject => ({ kind: "model", name: `model-${i + 1}` }),
  );
  return [...models, ...buildObjects("workspace", WORKSPACE_COUNT)];
}

/** Builds a member as an instance creates it from its settings. */
export function memberObject(i: number): Member {
  const address = `10.20.${Math.floor(i / 200)}.${i % 200 + 1}`;
  const instance = `entry-${i + 1}`;
  return {
    id: `${instance}.${randomUUID().slice(0, 8)}`,
    instance,
    peer_url: `ws://${address}:7100`,
    caller_url: `http://${address}:7000`,
    ...locationOf(i),
    state: "live",
  };
}

/** Builds a fleet object with slots spread evenly over the members. */
export function fleetObject(members: number, slots: number): Fleet {
  const rows = Array.from({ length: members }, (_, i) => memberObject(i));
  return {
    generation: 40_000,
    write_id: randomUUID(),
    members: rows,
    slots: Array.from({ length: slots }, (_, i) => ({
      region: `region-${Math.floor(i * REGION_COUNT / slots) + 1}`,
      holder: rows[i % members]?.id ?? "",
      epoch: 30_000 + i,
    })),
  };
}

/** Number of buckets of a published set with `adapters` adapters. */
export function bucketCountFor(adapters: number): number {
  let buckets = MIN_BUCKETS;
  while (buckets * OBJECTS_PER_BUCKET < adapters * OBJECTS_PER_ADAPTER) {
    buckets *= 2;
  }
  return buckets;
}

/** Builds a manifest with `buckets` parts and `changes` inline changes. */
export function manifestObject(buckets: number, changes: number): Manifest {
  return {
    generation: 3_700,
    write_id: randomUUID(),
    snapshot_generation: 3_700 - changes,
    parts: new Array<string>(buckets).fill(PART_NAME),
    changes: Array.from({ length: changes }, (_, i) => ({
      generation: 3_700 - changes + i + 1,
      put: adapterObjects(i),
      remove: [],
      at_ms: Date.now(),
      write_id: randomUUID(),
    })),
  };
}
