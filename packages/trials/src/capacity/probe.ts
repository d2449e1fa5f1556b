/** Measures memory and processor time of state in a separate process.
 *
 * Prints one ready line with the figures and exits. Arguments: `snapshot KIND
 * COUNT`, `fleet MEMBERS SLOTS`, `shares WORKSPACES SLOTS` or `rank TARGETS`.
 * Requires the Node.js option `--expose-gc`.
 *
 * @module
 */
import { type ConfigObject, SystemClock } from "@banyanlb/core";
import { FleetView, packFleet, planMoves, unpackFleet } from "@banyanlb/fleet";
import { AffinityPolicy } from "@banyanlb/policy";
import { Snapshot } from "@banyanlb/published";
import {
  baseObjects,
  bucketCountFor,
  buildObjects,
  type CountedKind,
  fleetObject,
  targetObject,
} from "./synthetic.ts";

/** Figures of one probe. */
export interface ProbeFigures {
  readonly heap_bytes: number;
  readonly resident_bytes: number;
  /** Processor time of each measured step, in milliseconds. */
  readonly cpu_ms: Readonly<Record<string, number>>;
}

const REPEATS = 20;
const US_PER_MS = 1_000;
const GC_ROUNDS = 3;
const WARM_UP_OBJECTS = 100;
const VIEW_COPIES = 20;

const collectGarbage = globalThis.gc as (() => void) | undefined;

function heapBytesAfterGc(): number {
  if (collectGarbage === undefined) throw new Error("run with --expose-gc");
  for (let i = 0; i < GC_ROUNDS; i++) collectGarbage();
  return process.memoryUsage().heapUsed;
}

function meanCpuMs(task: () => unknown): number {
  task();
  const start = process.cpuUsage();
  for (let i = 0; i < REPEATS; i++) task();
  const { user, system } = process.cpuUsage(start);
  return (user + system) / US_PER_MS / REPEATS;
}

/** Copies objects as if parsed from a stored part, so that no two objects share
 * a string. */
function copyThroughJson(
  objects: readonly ConfigObject[],
): readonly ConfigObject[] {
  return objects.map((object) => JSON.parse(JSON.stringify(object)));
}

function buildSnapshot(kind: CountedKind, count: number): Snapshot {
  const base = kind === "workspace" ? baseObjects().slice(0, 3) : baseObjects();
  const put = copyThroughJson([...base, ...buildObjects(kind, count)]);
  const buckets = kind === "adapter"
    ? bucketCountFor(count)
    : bucketCountFor(0);
  const change = { generation: 1, put, remove: [], at_ms: 0 };
  return Snapshot.empty(buckets).apply(change);
}

function probeSnapshot(kind: CountedKind, count: number): ProbeFigures {
  // A warm-up loads code and shared tables, which are no state of the snapshot.
  buildSnapshot(kind, WARM_UP_OBJECTS);
  const before = heapBytesAfterGc();
  const snapshot = buildSnapshot(kind, count);
  const heap_bytes = heapBytesAfterGc() - before;
  const resident_bytes = process.memoryUsage().rss;
  const change = {
    generation: 2,
    put: [...buildObjects(kind, 1)],
    remove: [],
    at_ms: 0,
  };
  const apply = meanCpuMs(() => snapshot.apply(change));
  return { heap_bytes, resident_bytes, cpu_ms: { apply } };
}

function probeFleet(members: number, slots: number): ProbeFigures {
  const text = JSON.stringify(packFleet(fleetObject(members, slots)));
  const readView = () => {
    const fleet = unpackFleet(JSON.parse(text));
    if (fleet.isErr()) throw new Error(fleet.error);
    return new FleetView(fleet.value);
  };
  const view = readView();
  const before = heapBytesAfterGc();
  const copies = Array.from({ length: VIEW_COPIES }, readView);
  const heap_bytes = (heapBytesAfterGc() - before) / copies.length;
  const self = view.members[0]?.id ?? "";
  const cpu_ms = {
    plan: meanCpuMs(() => planMoves(view, self)),
    read: meanCpuMs(readView),
  };
  return { heap_bytes, resident_bytes: process.memoryUsage().rss, cpu_ms };
}

function probeShares(workspaces: number, slots: number): ProbeFigures {
  const view = new FleetView(fleetObject(slots, slots));
  const names = Array.from({ length: workspaces }, (_, i) => `workspace-${i}`);
  const shares = meanCpuMs(() => names.map((name) => view.shareSlots(name)));
  return {
    heap_bytes: 0,
    resident_bytes: process.memoryUsage().rss,
    cpu_ms: { shares },
  };
}

function probeRank(targets: number): ProbeFigures {
  const clock = new SystemClock();
  const region = "region-1";
  const policy = new AffinityPolicy({ clock, region, entryCount: () => 350 });
  const rows = Array.from({ length: targets }, (_, i) => targetObject(i));
  let next_version = 0;
  const rank = (version: string) => {
    const request = { workspace: "w", class: "interactive" as const };
    policy.rank({ ...request, tokens: 500, version }, rows);
  };
  const cpu_ms = {
    rank_known: meanCpuMs(() => rank("adapter-1@1")),
    rank_new: meanCpuMs(() => rank(`adapter-${next_version++}@2`)),
  };
  return {
    heap_bytes: 0,
    resident_bytes: process.memoryUsage().rss,
    cpu_ms,
  };
}

function probe([kind, first, second]: readonly string[]): ProbeFigures {
  switch (kind) {
    case "snapshot":
      return probeSnapshot(first as CountedKind, Number(second));
    case "fleet":
      return probeFleet(Number(first), Number(second));
    case "shares":
      return probeShares(Number(first), Number(second));
    case "rank":
      return probeRank(Number(first));
    default:
      throw new Error(`no probe ${kind}; see the module's comment`);
  }
}

const figures = probe(process.argv.slice(2));
console.log(JSON.stringify({ ready: true, port: 0, ...figures }));
