import type { EngineRecord } from "@banyanlb/platform/stand_in";
import { describe, expect, test } from "vitest";
import type { Attempt, SoakObservations } from "./checks.ts";
import { checkCrashingRequests } from "./crash_checks.ts";

const NAME = "guilty";

/** The requests come each second; each is refused as held unless it ran. */
const refused: Attempt = {
  id: "",
  kind: "once",
  workspace: "w",
  model: undefined,
  sentAt: 0,
  endedAt: 0,
  status: 503,
  responseId: undefined,
  body: `{"error":{"type":"held_request","not_run":true}}`,
  complete: true,
  isCrashing: true,
  repeated: NAME,
  isKeyValid: true,
};

function attemptsAt(
  times: readonly number[],
  changes: Partial<Attempt> = {},
): readonly Attempt[] {
  return times.map((sentAt) => ({
    ...refused,
    id: `r${sentAt}`,
    sentAt,
    endedAt: sentAt + 5,
    ...changes,
  }));
}

/** A run of the attempt of each time, each on another engine. */
function crashesAt(
  times: readonly number[],
  engineOf = (at: number) => `e${at}`,
): readonly EngineRecord[] {
  return times.flatMap((at): readonly EngineRecord[] => [
    { t: "start", engine: engineOf(at), at: 0 },
    {
      t: "run",
      engine: engineOf(at),
      at,
      id: `r${at}`,
      workspace: "w",
      model: undefined,
      path: "/",
      sawKey: false,
      isCrashing: false,
      isCrashingRequest: true,
    },
  ]);
}

function check(
  attempts: readonly Attempt[],
  records: readonly EngineRecord[],
  calmFromMs = 0,
): readonly string[] {
  const observations: SoakObservations = {
    attempts,
    records,
    calmFromMs,
    orderGapMs: 0,
    recoveredFromMs: 0,
    limits: { workspace: "other", windowMs: 8000, changes: [] },
    evacuations: [],
  };
  return checkCrashingRequests(observations);
}

describe("sends of a crashing request", () => {
  const learning = [1000, 2000, 3000];
  const late = [7000, 8000, 9000, 10_000];

  test("may reach engines three times after it must be known", () => {
    const times = [...learning, 5999, ...late.slice(0, 3)];
    expect(check(attemptsAt(times), crashesAt(times))).toEqual([]);
  });

  test("may not reach them a fourth time", () => {
    const times = [...learning, ...late];
    expect(check(attemptsAt(times), crashesAt(times)).join()).toContain(
      "4 of 7 runs",
    );
  });

  test("count only from when all instances are in touch", () => {
    const times = [...learning, ...late];
    expect(check(attemptsAt(times), crashesAt(times), 7500)).toEqual([]);
  });

  test("that run on one engine before it ends are one crash", () => {
    const times = [1000, 1001, 1002, ...late];
    const records = [
      ...crashesAt([1000]),
      ...crashesAt([1001, 1002], () => "e1000").filter(({ t }) => t === "run"),
      ...crashesAt(late.slice(0, 1)),
    ];
    expect(check(attemptsAt(times.slice(0, 4)), records)).toEqual([]);
  });

  test("are counted for each request apart from the others", () => {
    const times = [...learning, ...late];
    const attempts = attemptsAt(times).map((attempt, i) => ({
      ...attempt,
      repeated: `${NAME}-${i % 2}`,
    }));
    expect(check(attempts, crashesAt(times))).toEqual([]);
  });
});

describe("a crashing request that is held", () => {
  const crashes = [1000, 2000, 3000];

  test.each([
    ["is answered", { status: 502 }],
    ["is told to come again", { retryAfter: "1" }],
    ["waits", { endedAt: 12_000 }],
    ["is refused for another reason", { body: `{"error":{"type":"busy"}}` }],
  ])("is reported if it %s", (_, changes) => {
    const attempts = [
      ...attemptsAt(crashes),
      ...attemptsAt([9000], changes),
    ];
    expect(check(attempts, crashesAt(crashes))).toHaveLength(1);
  });

  test("is so from the first refusal as held on", () => {
    const early = attemptsAt([1000, 2000]);
    const later = attemptsAt([4000], { status: 502 });
    expect(check([...early, ...later], [])).toEqual([]);
    const latest = attemptsAt([6000], { status: 502 });
    expect(check([...early, ...latest], [])).toHaveLength(1);
  });

  test("may be anything else before it must be known", () => {
    const attempts = attemptsAt([...crashes, 4000, 5000], { status: 502 });
    expect(check(attempts, crashesAt(crashes))).toEqual([]);
  });
});

test("reports sound requests that are refused as held, but for a few", () => {
  const sound = (count: number) =>
    attemptsAt(Array.from({ length: count }, (_, i) => i), {
      isCrashing: false,
    });
  expect(check(sound(3), [])).toEqual([]);
  expect(check(sound(4), [])).toHaveLength(1);
  const part = `{"error":{"type":"held_part","not_run":true}}`;
  expect(check(sound(4).map((a) => ({ ...a, body: part })), []))
    .toHaveLength(1);
});
