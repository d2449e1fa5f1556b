import { EventLog } from "@banyanlb/core";
import {
  EngineTable,
  MemberTable,
  type RecordKind,
  RecordStore,
  type Route,
  RouteTable,
  StoreCallError,
} from "@banyanlb/serving";
import { engineOf, memberOf } from "@banyanlb/serving/testing";
import pino from "pino";
import { afterEach, expect, test } from "vitest";
import { FakeRecordStore } from "../testing/fake_record_store.ts";
import { SoftwareVersions } from "./software_versions.ts";
import type { StreamDecision } from "./stream_versions.ts";

/** Past the time in which a process that has started writes no splits. */
const SETTLED_MS = 10_000;

/** How long callers wait, in milliseconds. */
const DEADLINE_MS = 12_000;

const processes: TestProcess[] = [];
afterEach(() => {
  for (const process of processes.splice(0)) process.parts.close();
});

/** The store as one process reaches it. */
class StoreLink extends RecordStore {
  readonly #store: FakeRecordStore;
  isCut = false;

  constructor(store: FakeRecordStore) {
    super();
    this.#store = store;
  }

  override list(kind: RecordKind) {
    return this.#call(() => this.#store.list(kind));
  }

  override get(kind: RecordKind, name: string) {
    return this.#call(() => this.#store.get(kind, name));
  }

  override put(...args: Parameters<RecordStore["put"]>) {
    return this.#call(() => this.#store.put(...args));
  }

  override watch(...args: Parameters<RecordStore["watch"]>) {
    return this.#store.watch(...args);
  }

  override remove() {
    return this.#store.remove();
  }

  override close(): void {}

  async #call<T>(call: () => Promise<T>): Promise<T> {
    if (this.isCut) throw new StoreCallError("unknown", "cut off");
    const result = await call();
    if (this.#store.era !== undefined) this.recordEra(this.#store.era);
    return result;
  }
}

/** One start of an instance. */
class TestProcess {
  readonly engineTable = new EngineTable();
  readonly parts: SoftwareVersions;
  readonly link: StoreLink;
  /** Whether it believes that the store replies. */
  reachesStore = true;
  /** Whether peers confirm that it knows the newest splits. */
  peersConfirm = false;
  #checks = 0;

  constructor(store: FakeRecordStore, name: string) {
    this.link = new StoreLink(store);
    processes.push(this);
    const incarnation = String(processes.length);
    this.parts = new SoftwareVersions({
      self: memberOf(name, { incarnation }),
      members: new MemberTable(name, performance.now()),
      engineTable: this.engineTable,
      store: this.link,
      reachesStore: () => this.reachesStore,
      routeTable: () => ROUTES,
      regionOf: (zone) => zone,
      isEvacuated: () => false,
      confirmWithPeers: () => Promise.resolve(this.peersConfirm),
      log: new EventLog(pino({ level: "silent" })),
    });
  }

  setEngines(...versions: readonly string[]): void {
    this.engineTable.setEngines(versions.map(runningVersion));
  }

  /** Reads the records that assign work, and waits for what follows. */
  read(): Promise<void> {
    return this.receiveFrom(this);
  }

  /** Takes the records that assign work from a peer, and waits for what
   * follows. */
  async receiveFrom(peer: TestProcess): Promise<void> {
    const { records } = await peer.link.list("assignment");
    this.parts.setRecords(new Map(records.map((r) => [r.name, r])));
    await new Promise((resolve) => setTimeout(resolve, 20));
  }

  /** Keeps the splits as the writer. */
  async write(): Promise<void> {
    this.#checks += 1;
    await this.parts.check(performance.now() + this.#checks * SETTLED_MS);
  }

  async begin(
    id: string,
    deadlineMs = DEADLINE_MS,
  ): Promise<string | undefined> {
    const decision = await this.#decide(id, undefined, { deadlineMs });
    return decision.kind === "begin" ? decision.version : undefined;
  }

  takeUp(
    resumes: string | undefined,
    { deadlineMs = DEADLINE_MS } = {},
  ): Promise<StreamDecision> {
    const isContinued = true;
    return this.#decide("take-up", resumes, { deadlineMs, isContinued });
  }

  #decide(
    id: string,
    resumes: string | undefined,
    { deadlineMs, isContinued = false }: {
      readonly deadlineMs: number;
      readonly isContinued?: boolean;
    },
  ): Promise<StreamDecision> {
    const homes = undefined;
    const service = "svc";
    return this.parts.versions.decide({
      id,
      resumes,
      isContinued,
      service,
      homes,
      model: undefined,
      adapter: undefined,
      deadlineMs,
      arrivedAt: performance.now(),
    });
  }
}

function runningVersion(softwareVersion: string, place: number) {
  return engineOf(`e${place}-${softwareVersion}`, {
    softwareVersion,
    slots: 8,
  });
}

const FORMER_ENGINES = ["v1", "v1", "v1", "v1"];

const ROUTE: Route = {
  name: "route",
  host: "h",
  pathPrefix: "/",
  kind: "stream",
  timeoutMs: 2000,
  targetLatencyMs: 100,
  priority: 0,
  services: [{ service: "svc", weight: 1 }],
  maxAttempts: 2,
  isPublic: true,
  resumable: true,
};
const ROUTES = new RouteTable({
  version: 1,
  routes: [ROUTE],
  services: [],
  workspaces: [],
  limits: {
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
    maxHeaderBytes: 1000,
    maxBodyBytes: 1000,
  },
});

/** Two instances before four engines of v1, of which `newer` are replaced by v2
 * while streams run. Resolves to the instances, the store and the versions of the
 * streams. */
async function release(newer = 2) {
  const { store, a, b } = await startTwo();
  const begun = new Map<string, string | undefined>();
  const beginAll = async (prefix: string) => {
    for (let i = 0; i < 24; i += 1) {
      const id = `${prefix}-${i}`;
      begun.set(id, await (i % 2 === 0 ? a : b).begin(id));
    }
  };
  await beginAll("old");
  const versions = ["v1", "v1", "v1", "v1"].fill("v2", 0, newer);
  await replaceEngines(versions, { store, writer: a, others: [b] });
  return { store, a, b, begun, beginAll, versions };
}

/** Two instances before four engines of v1, which begin streams there. */
async function startTwo() {
  const store = new FakeRecordStore();
  store.isWritable = true;
  const [a, b] = [new TestProcess(store, "a"), new TestProcess(store, "b")];
  for (const process of [a, b]) process.setEngines(...FORMER_ENGINES);
  await a.write();
  await a.read();
  await b.read();
  return { store, a, b };
}

/** Replaces engines, and writes the split that follows from it. */
async function replaceEngines(
  versions: readonly string[],
  { store, writer, others }: {
    readonly store: FakeRecordStore;
    readonly writer: TestProcess;
    readonly others: readonly TestProcess[];
  },
): Promise<void> {
  for (const process of [writer, ...others]) process.setEngines(...versions);
  await new Promise((resolve) => setTimeout(resolve, 1100));
  store.copy();
  await writer.write();
}

// Guards against streams that are taken up at another version than the one that
// began them, after all instances were lost with their memory.
test("all streams go on at their version after a loss of all instances", async () => {
  const { store, a, b, begun, beginAll, versions } = await release();
  await a.read();
  await b.read();
  await beginAll("new");
  expect(new Set(begun.values())).toEqual(new Set(["v1", "v2"]));
  const late = new TestProcess(store, "a");
  late.setEngines(...versions);
  await late.read();
  for (const [id, version] of begun) {
    expect(await late.takeUp(id)).toMatchObject({ kind: "go_on", version });
  }
});

test("streams go on at their version although it is gone", async () => {
  const { store, a, b, begun } = await release(4);
  await a.read();
  await b.read();
  const late = new TestProcess(store, "a");
  late.setEngines("v2", "v2");
  await late.read();
  for (const id of begun.keys()) {
    expect(await late.takeUp(id)).toMatchObject({ version: "v1" });
  }
});

// Guards against an instance that has not heard of a split and lets a stream go on
// by an older one.
test("an instance that is behind reads the splits for a take-up", async () => {
  const { a, b, begun } = await release();
  await a.read();
  const ids = Array.from({ length: 16 }, (_, i) => `new-${i}`);
  for (const id of ids) begun.set(id, await a.begin(id));
  expect(ids.map((id) => begun.get(id))).toContain("v2");
  for (const id of ids) {
    const { kind, ...rest } = await b.takeUp(id);
    if (kind === "go_on") {
      expect(rest).toMatchObject({ version: begun.get(id) });
    }
  }
});

test("without the store and peers a stream of another instance is refused", async () => {
  const { a, b } = await release();
  await a.read();
  b.link.isCut = true;
  expect(await b.takeUp("old-0")).toEqual({
    kind: "unknown",
    reason: "unconfirmed",
  });
  expect(await b.takeUp("old-1")).toMatchObject({ source: "memory" });
});

test("moved streams are refused if an instance was lost before it reported", async () => {
  const { store, a, begun, versions } = await release();
  await a.read();
  const late = new TestProcess(store, "b");
  late.setEngines(...versions);
  await late.read();
  const kinds = new Set<string>();
  for (const [id, version] of begun) {
    const decision = await late.takeUp(id);
    kinds.add(decision.kind);
    if (decision.kind === "go_on") expect(decision.version).toBe(version);
  }
  expect(kinds).toEqual(new Set(["go_on", "unknown"]));
});

// The store has lost the split by which some streams have begun.
test("a restored store's older splits let no moved stream go on wrongly", async () => {
  const { store, a, b, begun, beginAll, versions } = await release();
  await a.read();
  await b.read();
  await beginAll("new");
  store.restore();
  const late = new TestProcess(store, "c");
  late.setEngines(...versions);
  await late.read();
  expect(await late.takeUp("new-1")).toMatchObject({ kind: "unknown" });
  // One that knew the splits writes them again.
  await a.link.list("assignment");
  await b.link.list("assignment");
  await a.write();
  await new Promise((resolve) => setTimeout(resolve, 500));
  await late.read();
  for (const [id, version] of begun) {
    const decision = await late.takeUp(id);
    if (decision.kind === "go_on") expect(decision.version).toBe(version);
  }
  expect(await late.takeUp("new-1")).toMatchObject({
    kind: "go_on",
    version: begun.get("new-1"),
  });
});

// Guards against a stream that is taken up at an instance which has just started: it
// waits for units of its rate, and goes on at whatever engine is listed by then.
test("a stream is not taken up at any version before engines are listed", async () => {
  const { a, b, store, begun } = await release();
  await a.read();
  await b.read();
  const late = new TestProcess(store, "c");
  late.setEngines();
  expect((await late.takeUp(undefined)).kind).toBe("unknown");
  for (const [id, version] of begun) {
    expect(await late.takeUp(id)).toMatchObject({ kind: "go_on", version });
  }
  expect(await late.begin("first")).toMatch(/^v/);
});

test("a stream of two versions without a name is refused", async () => {
  const { a } = await release();
  expect(await a.takeUp(undefined)).toEqual({
    kind: "unknown",
    reason: "unnamed",
  });
});

test("moved ids begin nowhere while the report is in doubt", async () => {
  const { a, b, store } = await release();
  await a.read();
  const { records } = await store.list("assignment");
  b.link.isCut = true;
  b.parts.setRecords(new Map(records.map((r) => [r.name, r])));
  const versions: (string | undefined)[] = [];
  for (let i = 0; i < 12; i += 1) versions.push(await b.begin(`late-${i}`));
  expect(new Set(versions)).toEqual(new Set(["v1", undefined]));
});

// Guards against an outage of the store that stops streams from beginning.
test("while the store is away streams begin by the splits of before", async () => {
  const { a, b, store } = await release();
  await a.read();
  const { records } = await store.list("assignment");
  b.link.isCut = true;
  b.reachesStore = false;
  b.parts.setRecords(new Map(records.map((r) => [r.name, r])));
  for (let i = 0; i < 12; i += 1) expect(await b.begin(`late-${i}`)).toBe("v1");
});

// Pattern of load: engines are replaced by ones that are slow after their start and
// hold no adapters.
test("engines that are cold or have just joined get fewer new streams", async () => {
  const store = new FakeRecordStore();
  store.isWritable = true;
  const process = new TestProcess(store, "a");
  const former = ["v1", "v1"].map(runningVersion);
  const newer = ["v2", "v2"].map(runningVersion);
  const shareOfNewer = async (coldMs: number, joinedMsAgo: number) => {
    const joinedAt = performance.now() - joinedMsAgo;
    process.engineTable.setEngines(former);
    process.engineTable.setEngines(
      [...former, ...newer.map((engine) => ({ ...engine, coldMs }))],
      joinedAt,
    );
    await process.write();
    await process.read();
    const versions = await Promise.all(
      Array.from({ length: 200 }, (_, i) => process.begin(`${coldMs}-${i}`)),
    );
    await new Promise((resolve) => setTimeout(resolve, 1100));
    return versions.filter((version) => version === "v2").length / 200;
  };
  expect(await shareOfNewer(5000, 20_000)).toBeLessThan(0.4);
  expect(await shareOfNewer(0, 20_000)).toBeGreaterThan(0.4);
  expect(await shareOfNewer(0, 0)).toBeLessThan(0.4);
});

// Guards against streams joined from two versions: an instance that the store turned
// away began them by outdated splits, of which no report told the others.
test("an instance that the store never acknowledged begins no stream", async () => {
  const { store, a, b } = await startTwo();
  const turnedAway = new TestProcess(store, "c");
  turnedAway.link.isCut = true;
  turnedAway.setEngines(...FORMER_ENGINES);
  await turnedAway.receiveFrom(a);
  const versions = ["v2", "v2", "v1", "v1"];
  await replaceEngines(versions, { store, writer: a, others: [b] });
  await a.read();
  await b.read();
  for (let i = 0; i < 12; i += 1) {
    const id = `late-${i}`;
    const version = await turnedAway.begin(id);
    if (version === undefined) continue;
    // The process is lost here, and the caller comes back.
    const decision = await a.takeUp(id);
    if (decision.kind === "go_on") expect(decision.version).toBe(version);
  }
  turnedAway.link.isCut = false;
  turnedAway.setEngines(...versions);
  await turnedAway.read();
  await expect.poll(() => turnedAway.begin("known")).toMatch(/^v/);
});

// Guards against streams that nobody can take up after a release, since an instance
// was restarted as planned before it.
test("streams go on at their version after a planned end before a release", async () => {
  const { store, a, b } = await startTwo();
  const ended = new TestProcess(store, "c");
  ended.setEngines(...FORMER_ENGINES);
  await ended.read();
  const begun = new Map<string, string | undefined>();
  const beginAt = async (process: TestProcess, prefix: string) => {
    for (let i = 0; i < 12; i += 1) {
      const id = `${prefix}-${i}`;
      begun.set(id, await process.begin(id));
    }
  };
  await beginAt(a, "old");
  await beginAt(ended, "ended");
  await ended.parts.end();
  expect(await ended.begin("too-late")).toBeUndefined();
  ended.parts.close();
  const versions = ["v2", "v2"];
  await replaceEngines(versions, { store, writer: a, others: [b] });
  await a.read();
  await b.read();
  await beginAt(a, "new");
  expect(new Set(begun.values())).toEqual(new Set(["v1", "v2"]));
  const late = new TestProcess(store, "d");
  late.setEngines(...versions);
  await late.read();
  for (const [id, version] of begun) {
    expect(await late.takeUp(id)).toMatchObject({ kind: "go_on", version });
  }
});

// The store is away at the moment of the planned end, and back before the process
// has ended.
test("the last report is tried until the store takes it", async () => {
  const { store, a, b } = await startTwo();
  expect(await b.begin("old")).toBe("v1");
  b.link.isCut = true;
  let isReported = false;
  const reported = b.parts.end().then(() => (isReported = true));
  await new Promise((resolve) => setTimeout(resolve, 200));
  expect(isReported).toBe(false);
  b.link.isCut = false;
  await reported;
  await replaceEngines(["v2"], { store, writer: a, others: [] });
  await a.read();
  expect(await a.takeUp("old")).toMatchObject({ version: "v1" });
});

test("a refused take-up names the processes that have not reported", async () => {
  const { a, begun } = await release(4);
  await a.read();
  const unknown = [...begun].filter(([, version]) => version !== undefined);
  const decision = await a.takeUp(unknown[1]?.[0]);
  expect(decision).toMatchObject({ kind: "unknown", reason: "unreported" });
  expect(decision).toMatchObject({ outdated: [expect.stringMatching(/^b\./)] });
});

/** Two instances of which one has not heard that engines were replaced, and the
 * version of a stream that began at the other meanwhile. */
async function leaveBehind() {
  const { store, a, b } = await startTwo();
  await replaceEngines(["v2"], { store, writer: a, others: [] });
  await a.read();
  expect(await a.begin("new")).toBe("v2");
  return { store, a, behind: b };
}

// Guards against streams joined from two versions: an instance that had been cut off
// or had stood still for less than some seconds knew one version only, and went on at
// that one.
test("an instance out of step goes on at no version by what it knew", async () => {
  const { behind } = await leaveBehind();
  behind.link.isCut = true;
  for (const reachesStore of [true, false]) {
    behind.reachesStore = reachesStore;
    expect(await behind.takeUp("new")).toMatchObject({
      kind: "unknown",
      reason: "unconfirmed",
    });
  }
  expect((await behind.takeUp(undefined)).kind).toBe("unknown");
});

test("an instance that is back in step goes on at the version that began", async () => {
  const { a, behind } = await leaveBehind();
  expect((await behind.takeUp(undefined)).kind).toBe("unknown");
  expect(await behind.takeUp("new")).not.toMatchObject({ version: "v1" });
  await a.read();
  expect(await behind.takeUp("new")).toMatchObject({ version: "v2" });
});

// Guards against callers that are refused while the store is away for all.
test("while the store is away a stream of one version goes on by what peers confirm", async () => {
  const { a, b } = await startTwo();
  expect(await a.begin("old")).toBe("v1");
  b.link.isCut = true;
  b.reachesStore = false;
  expect(await b.takeUp("old")).toMatchObject({ reason: "unconfirmed" });
  b.peersConfirm = true;
  expect(await b.takeUp("old")).toMatchObject({ version: "v1" });
});

test("a take-up outlives a moment in which the store does not reply", async () => {
  const { a, b } = await startTwo();
  expect(await a.begin("old")).toBe("v1");
  b.link.isCut = true;
  setTimeout(() => (b.link.isCut = false), 250);
  expect(await b.takeUp("old")).toMatchObject({ version: "v1" });
});

/** One of two instances is killed and starts again, and all engines are replaced
 * afterwards. Resolves to the instances and the versions. */
async function releaseAfterKill() {
  const { store, a } = await startTwo();
  const versions = ["v2", "v2", "v2", "v2"];
  const restarted = new TestProcess(store, "b");
  restarted.setEngines(...FORMER_ENGINES);
  await restarted.read();
  await replaceEngines(versions, { store, writer: a, others: [restarted] });
  await a.read();
  await restarted.read();
  return { store, a, restarted, versions };
}

// LOST: from a kill on, the report that the killed process had left was older than
// all splits that followed, and no moved stream could be taken up for 40 s.
test("streams go on that began after the end of a killed process was recorded", async () => {
  const { store, a, restarted } = await releaseAfterKill();
  await restarted.parts.recordFormerEnd();
  expect(await a.begin("early")).toBe("v2");
  const other = new TestProcess(store, "c");
  other.setEngines("v2", "v2", "v1");
  await other.read();
  // A caller with 12 s left may have begun its stream 3 s before the kill.
  expect(await other.takeUp("early")).toMatchObject({ reason: "unreported" });
  expect(await other.takeUp("late", { deadlineMs: 24_000 })).toMatchObject({
    version: "v2",
    source: "report",
  });
});

test("only processes that listened at this address are recorded as ended", async () => {
  const { store, restarted } = await releaseAfterKill();
  await restarted.parts.recordFormerEnd();
  const { records } = await store.list("streams");
  const ended = records.filter(({ value }) =>
    (value as { endedAt?: number }).endedAt !== undefined
  );
  expect(ended).toHaveLength(1);
  expect(ended[0]?.name).toMatch(/^b\./);
  // What the killed process had reported stays.
  expect(ended[0]?.value).toMatchObject({ splits: 1, strayed: {} });
});

test("the end of a former process is recorded once the store replies", async () => {
  const { store, restarted } = await releaseAfterKill();
  restarted.link.isCut = true;
  const recorded = restarted.parts.recordFormerEnd();
  await new Promise((resolve) => setTimeout(resolve, 100));
  restarted.link.isCut = false;
  await recorded;
  const { records } = await store.list("streams");
  expect(
    records.filter(({ value }) =>
      (value as { endedAt?: number }).endedAt !== undefined
    ),
  ).toHaveLength(1);
});

// Guards against streams that outlast what the process's report says of them: after
// its end they would be taken for others' streams.
test("a stream begins once the report says how long it may be taken up", async () => {
  const { store, a } = await startTwo();
  const longestOf = async () => {
    const { records } = await store.list("streams");
    const own = records.find(({ name }) => name.startsWith("a."));
    return (own?.value as { takeUpMs?: number }).takeUpMs;
  };
  expect(await a.begin("short")).toBe("v1");
  expect(await longestOf()).toBe(15_000);
  expect(await a.begin("long", 20_000)).toBe("v1");
  expect(await longestOf()).toBe(25_000);
  a.link.isCut = true;
  expect(await a.begin("longer", 30_000)).toBeUndefined();
  expect(await a.begin("as long", 20_000)).toBe("v1");
});
