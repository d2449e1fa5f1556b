import {
  ALL_SPLITS,
  FIRST_ERA,
  OpenStreams,
  planSplits,
  positionOf,
  splitsInUse,
  type StreamReport,
  traceStream,
  versionAt,
} from "@banyanlb/serving";
import { expect, test } from "vitest";
import { decodeReport, type StoredReport } from "./split_records.ts";

const START_MS = 1_700_000_000_000;

/** What the build that landed before reads in a report, and how it decides on a
 * moved stream: `undefined` if it is unknown. */
function traceInFormerBuild(
  id: string,
  newest: { readonly number: number; readonly version: string | undefined },
  values: readonly unknown[],
): string | undefined {
  const reports = values.map((value) => {
    const { splits, strayed } = value as Partial<StreamReport>;
    const isValid = Number.isSafeInteger(splits) && Number(splits) >= 0 &&
      typeof strayed === "object" &&
      Object.values(strayed).every((version) => typeof version === "string");
    return isValid
      ? { splits: Number(splits), strayed }
      : { splits: -1, strayed: {} };
  });
  for (const { strayed } of reports) {
    if (Object.hasOwn(strayed, id)) return strayed[id];
  }
  const isReported = reports.every(({ splits }) => splits >= newest.number);
  return isReported ? newest.version : undefined;
}

/** Splits of which the second moves all streams from v1 to v2. */
function planRelease() {
  const room = (version: string) => new Map([["svc", new Map([[version, 4]])]]);
  const first = planSplits(undefined, room("v1"), START_MS);
  const second = planSplits(first, room("v2"), START_MS + 2000);
  if (second === undefined) throw new Error("no second split");
  return splitsInUse(second, "svc", START_MS + 3000);
}

// Guards against an update of this program in which old and new instances read
// each other's reports wrongly, and join streams or refuse all of them.
test("the former build and this one read each other's reports alike", () => {
  const splits = planRelease();
  const position = positionOf("s1", undefined);
  const newest = { number: 2, version: versionAt(splits[0], position) };
  const streams = new OpenStreams();
  streams.begin("s1", { pool: "svc", position, version: "v1" });
  const last = { splits: ALL_SPLITS, strayed: streams.versions(0) };
  const former = { splits: 1, strayed: {} };
  const current = { splits: 2, strayed: { s1: "v1" } };
  for (
    const { reports, version } of [
      { reports: [last], version: "v1" },
      { reports: [{ ...last, strayed: {} }], version: "v2" },
      { reports: [last, former], version: "v1" },
      { reports: [{ ...last, strayed: {} }, former], version: undefined },
      { reports: [current], version: "v1" },
      { reports: [former], version: undefined },
    ]
  ) {
    const written: unknown[] = JSON.parse(JSON.stringify(reports));
    expect(traceInFormerBuild("s1", newest, written)).toBe(version);
    const trace = traceStream(
      { id: "s1", position },
      splits,
      written.map(decodeReport),
    );
    expect(trace).toMatchObject(
      version === undefined ? { reason: "unreported" } : { version },
    );
  }
});

// Guards against the same, in what this build adds to reports: the former one must
// read the rest alike, and refuse what it cannot know.
test("the former build reads reports of this one, and this one bounds only its own", () => {
  const splits = planRelease();
  const position = positionOf("s1", undefined);
  const newest = { number: 2, version: versionAt(splits[0], position) };
  const ended: StoredReport = {
    splits: 1,
    strayed: {},
    takeUpMs: 15_000,
    era: FIRST_ERA,
    address: "10.0.0.1:8221",
    endedAt: START_MS,
  };
  const { takeUpMs: _, era: __, ...unbounded } = ended;
  const named = { ...ended, strayed: { s1: "v1" } };
  for (
    const { report, former, current } of [
      { report: ended, former: undefined, current: "v2" },
      { report: unbounded, former: undefined, current: undefined },
      { report: { ...ended, era: 2 }, former: undefined, current: undefined },
      { report: named, former: "v1", current: "v1" },
      { report: { ...named, splits: 2 }, former: "v1", current: "v1" },
      { report: { ...ended, splits: 2 }, former: "v2", current: "v2" },
    ]
  ) {
    const written: unknown = JSON.parse(JSON.stringify(report));
    expect(traceInFormerBuild("s1", newest, [written])).toBe(former);
    const trace = traceStream(
      { id: "s1", position, until: START_MS + 20_000 },
      splits,
      [decodeReport(written, FIRST_ERA)],
    );
    expect(trace).toMatchObject(
      current === undefined ? { reason: "unreported" } : { version: current },
    );
  }
});
