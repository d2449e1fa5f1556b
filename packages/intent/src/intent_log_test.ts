/** Tests that a call with one key is sent at most once, in spite of failures of
 * the store and of instances. */
import {
  Clock,
  EventLog,
  type Intent,
  MemoryObjectStore,
  NoopMetrics,
  type StoreFault,
  type StoreKey,
} from "@banyanlb/core";
import fc from "fast-check";
import { errAsync } from "neverthrow";
import { pino } from "pino";
import { expect, test } from "vitest";
import { RECORDED_BODY_MAX_BYTES } from "./constants.ts";
import { IntentLog, type TakeRequest } from "./intent_log.ts";

const SEED = 20_261;
const HOUR_MS = 3_600_000;

type Fault = "none" | "unavailable" | "lost_answer" | "late" | "throttled";

/** A clock whose `sleep` advances the time immediately. */
class AutoAdvanceClock extends Clock {
  #now = 0;
  override now(): number {
    return this.#now;
  }
  override async sleep(ms: number): Promise<void> {
    this.#now += ms;
    await Promise.resolve();
  }
}

/** A store that injects `faults` into the next calls and can delay writes until
 * `applyDelayedWrites`. */
class FaultyStore extends MemoryObjectStore {
  readonly objects = new Map<string, unknown>();
  faults: Fault[] = [];
  #delayed_writes: (() => void)[] = [];

  constructor() {
    super();
    this.setFaults(() => this.#next());
    this.onWrite(({ name }, value) => {
      if (value === undefined) this.objects.delete(name);
      else this.objects.set(name, value);
    });
  }

  /** Lets the store apply all delayed writes. */
  async applyDelayedWrites(): Promise<void> {
    for (const resolve of this.#delayed_writes.splice(0)) resolve();
    await new Promise(setImmediate);
  }

  #next(): StoreFault {
    const kind = this.faults.shift() ?? "none";
    if (kind === "throttled") return { kind, retry_after_ms: 7 };
    if (kind !== "late") return { kind };
    const until = new Promise<void>((resolve) =>
      this.#delayed_writes.push(resolve)
    );
    return { kind, until };
  }
}

/** A faulty store whose `create` overwrites an existing object. */
class OverwritingStore extends FaultyStore {
  override create<T>(key: StoreKey, value: T) {
    return super.create(key, value).orElse((error) =>
      error.kind === "conflict"
        ? this.get<T>(key).andThen(({ version }) =>
          this.update(key, { version, value })
        )
        : errAsync(error)
    );
  }
}

function setUp(options: { store?: FaultyStore; wall_now?: () => number } = {}) {
  const store = options.store ?? new FaultyStore();
  const clock = new AutoAdvanceClock();
  const open = () =>
    new IntentLog({
      store,
      clock,
      log: new EventLog(pino({ level: "silent" })),
      metrics: new NoopMetrics(),
      wall_now: options.wall_now ?? (() => 0),
    });
  const request = (changes: Partial<TakeRequest> = {}): TakeRequest => ({
    workspace: "w",
    route: "r",
    idempotency_key: "k",
    body_sha256: "00",
    deadline: clock.now() + 10_000,
    ...changes,
  });
  return { store, clock, open, request };
}

const response = {
  status: 200,
  content_type: "text/plain",
  body: Buffer.from("tolled"),
};

async function takeKind(log: IntentLog, req: TakeRequest): Promise<string> {
  const outcome = await log.take(req);
  return outcome.isOk() ? outcome.value.kind : outcome.error.kind;
}

interface Step {
  readonly instance: number;
  readonly key: number;
  readonly act: "send" | "send_silent" | "not_run" | "crash" | "late";
  readonly faults: readonly Fault[];
  readonly both: boolean;
}

const step = fc.record<Step>({
  instance: fc.nat(2),
  key: fc.nat(1),
  act: fc.constantFrom("send", "send_silent", "not_run", "crash", "late"),
  faults: fc.array(
    fc.constantFrom<Fault>(
      "none",
      "unavailable",
      "lost_answer",
      "late",
      "throttled",
    ),
    { maxLength: 10 },
  ),
  both: fc.boolean(),
});

/** Runs the steps on three instances and returns the number of sends per
 * key. */
async function runHistory(steps: readonly Step[], store: FaultyStore) {
  const { open, request, clock } = setUp({ store });
  const logs = [open(), open(), open()];
  const sends = [0, 0];
  const take = async (step: Step, instance: number) => {
    const key = `k${step.key}`;
    const log = logs[instance] as IntentLog;
    const outcome = await log.take(request({ idempotency_key: key }));
    if (outcome.isErr()) return;
    const taken = outcome.value;
    if (taken.kind === "replayed") {
      expect(sends[step.key]).toBe(1);
      expect(Buffer.from(taken.response.body).toString()).toBe("tolled");
    }
    if (taken.kind !== "taken") return;
    if (step.act === "crash") logs[instance] = open();
    else if (step.act === "not_run" || !taken.isUsable()) taken.markNotRun();
    else {
      sends[step.key] = (sends[step.key] ?? 0) + 1;
      if (step.act === "send") taken.finish(response);
    }
  };
  for (const step of steps) {
    store.faults.push(...step.faults);
    if (step.act === "late") await store.applyDelayedWrites();
    const others = step.both ? [(step.instance + 1) % 3] : [];
    await Promise.all([step.instance, ...others].map((i) => take(step, i)));
    await clock.sleep(1);
  }
  await Promise.all(logs.map((log) => log.flush()));
  return sends;
}

const history = fc.array(step, { minLength: 1, maxLength: 12 });

test(`random histories never send a call twice (seed ${SEED})`, async () => {
  await fc.assert(
    fc.asyncProperty(history, async (steps) => {
      const sends = await runHistory(steps, new FaultyStore());
      expect(Math.max(...sends)).toBeLessThanOrEqual(1);
    }),
    { seed: SEED, numRuns: 3_000 },
  );
});

test("the property check detects a store whose create overwrites", async () => {
  const outcome = await fc.check(
    fc.asyncProperty(history, async (steps) => {
      const sends = await runHistory(steps, new OverwritingStore());
      return Math.max(...sends) <= 1;
    }),
    { seed: SEED, numRuns: 500 },
  );
  expect(outcome.failed).toBe(true);
});

test("a lost reply of the store is resolved by the attempt id", async () => {
  const { store, open, request } = setUp();
  store.faults = ["lost_answer"];
  expect(await takeKind(open(), request())).toBe("taken");
  expect(await takeKind(open(), request())).toBe("already_taken");
});

test("a call refused in doubt can be repeated on every instance", async () => {
  const { store, open, request } = setUp();
  const [a, b, c] = [open(), open(), open()];
  store.faults = ["lost_answer", ...Array(16).fill("unavailable")];
  const refused = await a.take(request());
  expect(refused._unsafeUnwrapErr()).toMatchObject({
    kind: "store_unavailable",
    not_run: true,
  });
  store.faults = [];
  expect(await takeKind(b, request())).toBe("already_taken");
  await a.flush();
  expect(await takeKind(c, request())).toBe("taken");
  expect(await takeKind(a, request())).toBe("already_taken");
});

test("close releases the record of a call refused in doubt", async () => {
  const { store, open, request } = setUp();
  const log = open();
  store.faults = ["lost_answer", ...Array(16).fill("unavailable")];
  expect(await takeKind(log, request())).toBe("store_unavailable");
  store.faults = [];
  await log.close();
  expect(await takeKind(open(), request())).toBe("taken");
});

test("a delayed create cannot overwrite a later attempt's record", async () => {
  const { store, open, request } = setUp();
  const a = open();
  store.faults = ["late", ...Array(16).fill("unavailable")];
  expect(await takeKind(a, request())).toBe("store_unavailable");
  store.faults = [];
  const taken = (await a.take(request()))._unsafeUnwrap();
  await store.applyDelayedWrites();
  if (taken.kind === "taken") taken.finish(response);
  await a.flush();
  expect(await takeKind(open(), request())).toBe("replayed");
});

test("an expired deadline, a reused key and an oversized body", async () => {
  const { open, request, clock } = setUp();
  const log = open();
  const taken = (await log.take(request()))._unsafeUnwrap();
  if (taken.kind !== "taken") throw new Error(taken.kind);
  expect(taken.isUsable()).toBe(true);
  const body = new Uint8Array(RECORDED_BODY_MAX_BYTES + 1);
  taken.finish({ ...response, body });
  await log.flush();
  const repeat = (await open().take(request()))._unsafeUnwrap();
  expect(repeat).toMatchObject({ kind: "already_taken", finished: true });
  expect(await takeKind(log, request({ body_sha256: "01" }))).toBe(
    "key_reused",
  );
  const late = (await log.take(request({ route: "s" })))._unsafeUnwrap();
  await clock.sleep(10_001);
  expect(late.kind === "taken" && late.isUsable()).toBe(false);
});

test("a record is swept only after retention and clock margin", async () => {
  let now = 0;
  const { store, open, request } = setUp({ wall_now: () => now });
  const log = open();
  await log.take(request());
  now = 25 * HOUR_MS;
  expect((await log.sweep())._unsafeUnwrap().removed).toBe(0);
  now = 25 * HOUR_MS + 1;
  expect((await log.sweep())._unsafeUnwrap().removed).toBe(1);
  expect(store.objects.size).toBe(0);
});

test("an outcome is recorded after a short outage of the store", async () => {
  const { store, open, request } = setUp();
  const log = open();
  const taken = (await log.take(request()))._unsafeUnwrap();
  store.faults = Array(7).fill("unavailable");
  if (taken.kind === "taken") taken.finish(response);
  await log.flush();
  const [found] = store.objects.values();
  expect((found as Intent).state).toBe("done");
});
