/** Slopes of state: bytes and processor time by number of objects.
 *
 * @module
 */
import { packFleet } from "@banyanlb/fleet";
import { Launcher } from "@banyanlb/standins";
import { fileURLToPath } from "node:url";
import { ADAPTER_SIZES } from "./constants.ts";
import type { Point } from "./fit.ts";
import type { ProbeFigures } from "./probe.ts";
import { fitSlope, type Slope } from "./slope.ts";
import { type CountedKind, fleetObject, manifestObject } from "./synthetic.ts";

const PROBE_TIMEOUT_MS = 120_000;
const SMALL_SIZES = [1_000, 5_000, 20_000] as const;
const TARGET_SIZES = [100, 500, 1_700] as const;
const MEMBER_SIZES = [9, 100, 350] as const;
const SLOT_SIZES = [16, 400, 1_750] as const;
const BUCKET_SIZES = [16, 64, 256] as const;
const CHANGE_SIZES = [0, 10, 40] as const;
const LIST_SIZES = [20, 500, 2_050] as const;
const FIXED_MEMBERS = 350;
const FIXED_SLOTS = 1_750;
const NO_SLOTS = 0;

const KIND_SIZES: Readonly<Record<CountedKind, readonly number[]>> = {
  adapter: ADAPTER_SIZES,
  target: SMALL_SIZES,
  workspace: SMALL_SIZES,
  key: SMALL_SIZES,
};

/** Runs one probe in a separate process. */
async function runProbe(...args: readonly unknown[]): Promise<ProbeFigures> {
  const launcher = new Launcher();
  try {
    const launched = await launcher.start({
      name: `probe ${args.join(" ")}`,
      script: fileURLToPath(new URL("./probe.js", import.meta.url)),
      args: args.map(String),
      node_options: ["--expose-gc"],
      ready_timeout_ms: PROBE_TIMEOUT_MS,
    });
    const { heap_bytes, resident_bytes, cpu_ms } = await launched.ready();
    return { heap_bytes, resident_bytes, cpu_ms } as ProbeFigures;
  } finally {
    await launcher.close();
  }
}

interface ProbeResult {
  readonly x: number;
  readonly figures: ProbeFigures;
}

async function probeSizes(
  sizes: readonly number[],
  argsOf: (size: number) => readonly unknown[],
): Promise<readonly ProbeResult[]> {
  const rows: ProbeResult[] = [];
  for (const x of sizes) {
    rows.push({ x, figures: await runProbe(...argsOf(x)) });
  }
  return rows;
}

function toPoints(
  rows: readonly ProbeResult[],
  read: (figures: ProbeFigures) => number,
): readonly Point[] {
  return rows.map(({ x, figures }) => ({ x, y: read(figures) }));
}

async function measureSnapshotKind(
  kind: CountedKind,
): Promise<readonly Slope[]> {
  const rows = await probeSizes(
    KIND_SIZES[kind],
    (size) => ["snapshot", kind, size],
  );
  const per = kind === "adapter" ? "adapters" : `${kind}s`;
  const heap = fitSlope({
    name: `heap_${kind}`,
    what: kind === "adapter"
      ? "heap of a snapshot; an adapter with one version and one route"
      : `heap of a snapshot of ${per}`,
    per,
    unit: "B",
    points: toPoints(rows, (figures) => figures.heap_bytes),
  });
  const apply = fitSlope({
    name: `apply_${kind}`,
    what: "processor time to apply one change to a snapshot",
    per,
    unit: "ms",
    points: toPoints(rows, (figures) => figures.cpu_ms["apply"] ?? 0),
  });
  return [heap, apply];
}

async function measureFleetState(): Promise<readonly Slope[]> {
  const by_member = await probeSizes(
    MEMBER_SIZES,
    (size) => ["fleet", size, FIXED_SLOTS],
  );
  const by_slot = await probeSizes(
    SLOT_SIZES,
    (size) => ["fleet", FIXED_MEMBERS, size],
  );
  const by_share = await probeSizes(
    SMALL_SIZES.map((size) => size / 10),
    (size) => ["shares", size, FIXED_SLOTS],
  );
  const by_target = await probeSizes(TARGET_SIZES, (size) => ["rank", size]);
  const cpu = (step: string) => (figures: ProbeFigures) =>
    figures.cpu_ms[step] ?? 0;
  return [
    fitSlope({
      name: "heap_member",
      what: `heap of a view of the fleet with ${FIXED_SLOTS} slots`,
      per: "members",
      unit: "B",
      points: toPoints(by_member, (figures) => figures.heap_bytes),
    }),
    fitSlope({
      name: "plan_slot",
      what: `processor time of one plan of moves, ${FIXED_MEMBERS} members`,
      per: "slots",
      unit: "ms",
      points: toPoints(by_slot, cpu("plan")),
    }),
    fitSlope({
      name: "plan_member",
      what: `processor time of one plan of moves, ${FIXED_SLOTS} slots`,
      per: "members",
      unit: "ms",
      points: toPoints(by_member, cpu("plan")),
    }),
    fitSlope({
      name: "read_slot",
      what: `processor time to read a fleet object, ${FIXED_MEMBERS} members`,
      per: "slots",
      unit: "ms",
      points: toPoints(by_slot, cpu("read")),
    }),
    fitSlope({
      name: "rank_known",
      what: "processor time to rank the targets for a known version",
      per: "targets of a model",
      unit: "ms",
      points: toPoints(by_target, cpu("rank_known")),
    }),
    fitSlope({
      name: "rank_new",
      what: "processor time to rank the targets for a new version",
      per: "targets of a model",
      unit: "ms",
      points: toPoints(by_target, cpu("rank_new")),
    }),
    fitSlope({
      name: "shares_workspace",
      what: `processor time to find the shares of all, ${FIXED_SLOTS} slots`,
      per: "workspaces",
      unit: "ms",
      points: toPoints(by_share, cpu("shares")),
    }),
  ];
}

function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

function measureJsonSize(
  options: Omit<Slope, "points" | "fit"> & {
    readonly sizes: readonly number[];
    readonly build: (size: number) => unknown;
  },
): Slope {
  const { sizes, build, ...rest } = options;
  const points = sizes.map((x) => ({ x, y: jsonBytes(build(x)) }));
  return fitSlope({ ...rest, points });
}

function instanceList(count: number): unknown {
  const rows = Array.from({ length: count }, (_, i) => ({
    name: i < FIXED_MEMBERS ? `entry-${i}` : `engine-${i}`,
    state: "live",
  }));
  return { instances: rows };
}

/** Slopes of the serialized size of stored objects and of the instance list. */
export function measureObjectSizes(): readonly Slope[] {
  return [
    measureJsonSize({
      name: "fleet_member",
      what: "bytes of the fleet object without slots",
      per: "members",
      unit: "B",
      sizes: MEMBER_SIZES,
      build: (size) => packFleet(fleetObject(size, NO_SLOTS)),
    }),
    measureJsonSize({
      name: "fleet_slot",
      what: `bytes of the fleet object with ${FIXED_MEMBERS} members`,
      per: "slots",
      unit: "B",
      sizes: SLOT_SIZES,
      build: (size) => packFleet(fleetObject(FIXED_MEMBERS, size)),
    }),
    measureJsonSize({
      name: "manifest_part",
      what: "bytes of the manifest without changes",
      per: "parts",
      unit: "B",
      sizes: BUCKET_SIZES,
      build: (size) => manifestObject(size, 0),
    }),
    measureJsonSize({
      name: "manifest_change",
      what: "bytes of the manifest; a change of an adapter, version and route",
      per: "changes",
      unit: "B",
      sizes: CHANGE_SIZES,
      build: (size) => manifestObject(BUCKET_SIZES[0], size),
    }),
    measureJsonSize({
      name: "list_row",
      what: "bytes of the instance list",
      per: "rows",
      unit: "B",
      sizes: LIST_SIZES,
      build: instanceList,
    }),
  ];
}

/** Measures all slopes of state. */
export async function measureState(): Promise<readonly Slope[]> {
  const slopes: Slope[] = [];
  for (const kind of Object.keys(KIND_SIZES) as CountedKind[]) {
    slopes.push(...await measureSnapshotKind(kind));
  }
  slopes.push(...await measureFleetState());
  slopes.push(...measureObjectSizes());
  return slopes;
}
