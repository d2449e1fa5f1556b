import { describe, expect, test } from "vitest";
import {
  DIGEST_MS,
  QuarantineFleet,
  REFRESH_EVERY_DIGESTS,
  SETTLE_MS,
} from "../testing/quarantine_fleet.ts";
import { IDLE_RELEASE_MS, Quarantine } from "./quarantine.ts";
import type { Suspects } from "./select_suspects.ts";
import { FIRST_TRIAL_MS, TRIALS_MAX } from "./trial_turn.ts";

const BAD: Suspects = ["first", "bad"];
const isBad = (suspects: Suspects) => suspects.includes("bad");

/** Sends requests for a while: at each step one bad request and neighbours with
 * the same first suspect, all at different instances and on a new engine. */
function sendMixed(
  fleet: QuarantineFleet,
  options: {
    readonly steps: number;
    readonly stepMs: number;
    readonly neighbours: number;
  },
): void {
  const names = [...fleet.instances.keys()];
  const nameAt = (i: number) => names[i % names.length] ?? "";
  for (let step = 0; step < options.steps; step += 1) {
    fleet.send([
      [nameAt(step * 3), BAD],
      ...Array.from(
        { length: options.neighbours },
        (_, i) => [nameAt(step + i), ["first", `s${step}.${i}`]] as const,
      ),
    ], isBad);
    fleet.send([[nameAt(step * 5), ["first", `t${step}`]]], isBad);
    fleet.pass(options.stepMs);
  }
}

describe("a suspect that crashes engines", () => {
  test.each([8, 60])(
    "is held at all of %i instances after two crashes",
    (n) => {
      const fleet = new QuarantineFleet(n);
      sendMixed(fleet, { steps: 40, stepMs: 300, neighbours: 5 });
      expect(fleet.sentAt.length).toBeLessThanOrEqual(3);
      expect(fleet.isHeldEverywhere("bad")).toBe(true);
      expect(fleet.refusedSound).toBe(0);
    },
  );

  test("is held although all crashes come at once", () => {
    const fleet = new QuarantineFleet(8);
    for (let i = 0; i < 8; i += 1) {
      fleet.send([[`i${i}`, BAD], [`i${i}`, ["first", `n${i}`]]], isBad);
    }
    fleet.pass(DIGEST_MS);
    sendMixed(fleet, { steps: 20, stepMs: 300, neighbours: 5 });
    expect(fleet.sentAt.length).toBe(8);
    expect(fleet.refusedSound).toBe(0);
  });

  test("is held behind many first suspects", () => {
    const fleet = new QuarantineFleet(8);
    for (let i = 0; i < 20; i += 1) {
      fleet.send([[`i${i % 8}`, [`f${i}`, "bad"]], ["i1", [`f${i}`]]], isBad);
      fleet.pass(300);
    }
    expect(fleet.sentAt.length).toBeLessThanOrEqual(3);
    for (let i = 0; i < 20; i += 1) fleet.send([["i0", [`f${i}`]]], isBad);
    expect(fleet.refusedSound).toBe(0);
  });

  test("is found beside another one, before and after it", () => {
    const fleet = new QuarantineFleet(8);
    const isEither = (suspects: Suspects) =>
      isBad(suspects) || suspects.includes("worse");
    for (let i = 0; i < 40; i += 1) {
      const suspect = i % 3 === 0 ? "worse" : "bad";
      fleet.send(
        [[`i${i % 8}`, ["first", suspect]], ["i1", ["first"]]],
        isEither,
      );
      fleet.send([["i2", ["first", "x"]]], isEither);
      fleet.pass(250);
    }
    expect(fleet.sentAt.length).toBeLessThanOrEqual(6);
    expect(fleet.isHeldEverywhere("bad")).toBe(true);
    expect(fleet.isHeldEverywhere("worse")).toBe(true);
    expect(fleet.refusedSound).toBe(0);
  });

  test("is held although engines also end by themselves", () => {
    const fleet = new QuarantineFleet(8);
    for (let i = 0; i < 30; i += 1) {
      fleet.crash([[`i${i % 8}`, ["first", `session${i % 10}`]]]);
      for (let k = 0; k < 10; k += 1) {
        fleet.send([[`i${k % 8}`, ["first", `session${k}`]]], isBad);
      }
      fleet.send(
        [[`i${(i * 3) % 8}`, BAD], ["i0", ["first", `a${i}`]]],
        isBad,
      );
      fleet.pass(300);
    }
    expect(fleet.sentAt.length).toBeLessThanOrEqual(4);
    expect(fleet.refusedSound).toBe(0);
  });

  test("is held when it ends the only engine of a model each time", () => {
    const fleet = new QuarantineFleet(1);
    for (let i = 0; i < 10; i += 1) {
      fleet.send([["i0", BAD]], isBad);
      fleet.pass(FIRST_TRIAL_MS / 10 - 1);
    }
    expect(fleet.sentAt.length).toBe(2);
  });

  test("is told from a neighbour of its first crashes by the next one", () => {
    const fleet = new QuarantineFleet(8);
    fleet.send([["i0", ["first"]], ["i1", ["first"]]], isBad);
    for (let i = 0; i < 20; i += 1) {
      const neighbours = i < 6 ? [["i1", ["first", "a"]] as const] : [];
      fleet.send([[`i${i % 8}`, BAD], ...neighbours], isBad);
      fleet.pass(300);
    }
    expect(fleet.sentAt.length).toBeLessThanOrEqual(5);
    expect(fleet.isHeldEverywhere("bad")).toBe(true);
    expect(fleet.isHeldEverywhere("a")).toBe(false);
  });

  test("is known to a new and to a restarted instance", () => {
    const fleet = new QuarantineFleet(8);
    sendMixed(fleet, { steps: 4, stepMs: 300, neighbours: 3 });
    fleet.start("i3");
    fleet.start("i8");
    fleet.pass(DIGEST_MS);
    expect(fleet.isHeldEverywhere("bad")).toBe(true);
  });

  test("costs an instance that is cut off two more crashes, the others none", () => {
    const fleet = new QuarantineFleet(8);
    fleet.cutOff.add("i7");
    sendMixed(fleet, { steps: 8, stepMs: 300, neighbours: 3 });
    const before = fleet.sentAt.length;
    for (let i = 0; i < 10; i += 1) {
      fleet.send([["i7", BAD]], isBad);
      fleet.send([["i7", ["first", "x"]]], isBad);
      fleet.pass(300);
    }
    expect(fleet.sentAt.length - before).toBeLessThanOrEqual(2);
    fleet.cutOff.clear();
    fleet.pass(DIGEST_MS * REFRESH_EVERY_DIGESTS);
    expect(fleet.isHeldEverywhere("bad")).toBe(true);
    expect(fleet.refusedSound).toBe(0);
  });
});

describe("a held suspect", () => {
  // Each instance that tried it anew would send one more request than the bound
  // of three in all allows.
  test.each([8, 60])("is tried at most twice by %i instances together", (n) => {
    const fleet = new QuarantineFleet(n);
    sendMixed(fleet, { steps: 5, stepMs: 300, neighbours: 3 });
    const before = fleet.sentAt.length;
    for (let i = 0; i < 1000; i += 1) {
      fleet.send([[`i${i % n}`, BAD]], isBad);
      fleet.send([["i0", ["first", "x"]]], isBad);
      fleet.pass(203);
    }
    const trials = fleet.sentAt.slice(before);
    expect(trials.length).toBe(TRIALS_MAX);
    expect(trials[0]).toBeGreaterThanOrEqual(FIRST_TRIAL_MS);
  });

  test("is released everywhere when its trial is answered", () => {
    const fleet = new QuarantineFleet(8);
    sendMixed(fleet, { steps: 5, stepMs: 300, neighbours: 3 });
    fleet.pass(FIRST_TRIAL_MS);
    const isNoLongerBad = () => false;
    for (let i = 0; i < 4000; i += 1) {
      fleet.send([[`i${i % 8}`, BAD]], isNoLongerBad);
      fleet.pass(50);
    }
    for (const instance of fleet.instances.values()) {
      expect(instance.beliefOn("bad").isHeld).toBe(false);
    }
  });

  test("is not tried by an instance that is cut off", () => {
    const fleet = new QuarantineFleet(8);
    sendMixed(fleet, { steps: 5, stepMs: 300, neighbours: 3 });
    const before = fleet.sentAt.length;
    fleet.cutOff.add("i2");
    for (let i = 0; i < 600; i += 1) {
      fleet.send([["i2", BAD]], isBad);
      fleet.pass(200);
    }
    expect(fleet.sentAt.length).toBe(before);
  });

  test("is released when nobody has asked for it for long", () => {
    const fleet = new QuarantineFleet(2);
    sendMixed(fleet, { steps: 5, stepMs: 300, neighbours: 3 });
    const before = fleet.sentAt.length;
    fleet.now += IDLE_RELEASE_MS + 60_000;
    fleet.send([["i0", BAD]], isBad);
    expect(fleet.sentAt.length).toBe(before + 1);
  });

  test("stays held while any instance is asked for it", () => {
    const fleet = new QuarantineFleet(2);
    sendMixed(fleet, { steps: 5, stepMs: 300, neighbours: 3 });
    const before = fleet.sentAt.length;
    for (let i = 0; i < 5; i += 1) {
      fleet.send([["i0", BAD]], isBad);
      fleet.pass(IDLE_RELEASE_MS / 2);
    }
    const sentByFirst = fleet.sentAt.length;
    fleet.send([["i1", BAD]], isBad);
    expect(fleet.sentAt.length).toBe(sentByFirst);
    expect(sentByFirst - before).toBeLessThanOrEqual(TRIALS_MAX);
  });

  test("is adopted from records of before a restart of all", () => {
    const fleet = new QuarantineFleet(2);
    sendMixed(fleet, { steps: 5, stepMs: 300, neighbours: 3 });
    const records = fleet.instances.get("i0")?.holdRecords(fleet.now) ?? [];
    fleet.start("i0");
    fleet.instances.get("i0")?.adopt(
      Object.fromEntries(
        records.map(([suspect, , record]) => [suspect, record]),
      ),
      "store",
      fleet.now,
    );
    fleet.start("i1");
    fleet.pass(DIGEST_MS);
    expect(fleet.isHeldEverywhere("bad")).toBe(true);
  });

  test("is one of a bounded number", () => {
    const fleet = new QuarantineFleet(1);
    for (let i = 0; i < 400; i += 1) {
      for (let k = 0; k < 2; k += 1) fleet.crash([["i0", [`p${i}`]]]);
      fleet.pass(1000);
    }
    expect(fleet.instances.get("i0")?.holdRecords(fleet.now).length)
      .toBeLessThanOrEqual(256);
  });
});

test("records of released suspects are dropped before those of held ones", () => {
  const quarantine = new QuarantineFleet(1).instances.get("i0");
  const record = {
    revision: 1,
    crashes: 2,
    trials: 0,
    ageMs: 0,
    trialInMs: null,
  };
  quarantine?.adopt(
    {
      held: { ...record, isHeld: true, expiresInMs: 1000 },
      ...Object.fromEntries(Array.from({ length: 300 }, (_, i) => [
        `released${i}`,
        { ...record, isHeld: false, expiresInMs: 2000 },
      ])),
    },
    "peer",
    0,
  );
  expect(quarantine?.beliefOn("held").isHeld).toBe(true);
});

/** Suspects of another instance, in two crashes. */
const PEER: Suspects = ["first", "bad", "adapter"];

/** An instance that knows the first crash by its peer, and the second one, which
 * its own request `["first"]` was in, 1.5 s after it began. */
function knowLate() {
  const held: string[] = [];
  const quarantine = new Quarantine("i1", {
    onHold: (suspect) => void held.push(suspect),
    onRelease: (suspect) => void held.splice(held.indexOf(suspect), 1),
    settleMs: () => SETTLE_MS,
  });
  quarantine.recordAnswer(["other"], { trial: undefined, now: 900 });
  quarantine.receive("i2", {
    crashes: { "e1@1": { ageMs: 0, suspects: [PEER] } },
  }, 1000);
  quarantine.recordCrash("e2@1", [["first"]], { at: 2000, now: 3500 });
  return { quarantine, held };
}

// Guards against a part of all requests that is held because an engine's end is
// confirmed late: the peers' suspects were not waited for.
test("the suspects of peers are waited for from when a crash is confirmed", () => {
  const { quarantine, held } = knowLate();
  quarantine.report(3500);
  expect(held).toEqual([]);
  quarantine.receive("i2", {
    crashes: { "e2@1": { ageMs: 1600, suspects: [PEER] } },
  }, 3600);
  quarantine.report(3500 + SETTLE_MS);
  expect(held).toEqual(["adapter"]);
});

// Guards against a sound part that is refused for 80 s, since the crashes before its
// hold counted as trials that had been made.
test("a suspect that was convicted late is tried as soon as others, but once", () => {
  const quarantine = new QuarantineFleet(1).instances.get("i0");
  const times = { at: 1000, now: 1000 };
  for (let i = 0; i < 5; i += 1) {
    quarantine?.recordCrash(`e${i}@1`, [["bad", `a${i}`]], times);
  }
  const heldAt = 1000 + SETTLE_MS;
  quarantine?.report(heldAt);
  expect(quarantine?.held(heldAt)).toMatchObject([
    { suspect: "bad", trialInMs: FIRST_TRIAL_MS },
  ]);
  quarantine?.startTrial("bad", heldAt + FIRST_TRIAL_MS);
  expect(quarantine?.held(heldAt)).toMatchObject([{ trialInMs: null }]);
});

// Guards against two guilty requests on the same engines that acquit each other: the
// one that was held first was released for the crashes of the other.
test("a held request stays held although another one explains its crashes", () => {
  const held: string[] = [];
  const quarantine = new Quarantine("i1", {
    onHold: (suspect) => void held.push(suspect),
    onRelease: (suspect) => void held.splice(held.indexOf(suspect), 1),
    settleMs: () => SETTLE_MS,
  });
  const times = { at: 1000, now: 1000 };
  quarantine.recordCrash("e1@1", [["req-1"]], times);
  quarantine.recordCrash("e2@1", [["req-1"]], times);
  quarantine.report(1000 + SETTLE_MS);
  expect(held).toEqual(["req-1"]);
  const crash = { ageMs: 500, suspects: [["req-2"]] };
  quarantine.receive("i2", {
    crashes: { "e1@1": crash, "e2@1": crash, "e3@1": crash },
  }, 1500);
  quarantine.report(1500 + SETTLE_MS);
  expect(held).toEqual(["req-1", "req-2"]);
});

// Guards against a part of all requests that stays held: it has no answers while
// it is held, and the cause was in the same crashes.
test("a hold on part of the evidence ends when the cause is known", () => {
  const { quarantine, held } = knowLate();
  quarantine.report(3500 + SETTLE_MS);
  expect(held).toEqual(["first"]);
  quarantine.receive("i2", {
    crashes: {
      "e2@1": { ageMs: 3000, suspects: [PEER] },
      "e3@1": { ageMs: 0, suspects: [["first", "bad", "other"]] },
    },
  }, 5000);
  quarantine.report(6000);
  expect(held).toEqual(["bad"]);
});

describe("a request that was cut off at its beginning", () => {
  test("is repeated once, unless its suspects are known to be sound", () => {
    const fleet = new QuarantineFleet(1);
    const quarantine = fleet.instances.get("i0");
    expect(quarantine?.mayRepeat(BAD, ["e1@1"])).toBe(true);
    fleet.crash([["i0", BAD]]);
    expect(quarantine?.mayRepeat(BAD, ["e1@1"])).toBe(true);
    expect(quarantine?.mayRepeat(BAD, ["e2@1"])).toBe(false);
    for (let i = 0; i < 3; i += 1) {
      quarantine?.recordAnswer(["first", "bad"], { trial: undefined, now: 1 });
    }
    expect(quarantine?.mayRepeat(BAD, ["e2@1"])).toBe(true);
  });

  // Guards against a third engine that one attempt of a caller ends: behind a proxy
  // crashes are confirmed late.
  test("is not repeated after two engines, although no crash is confirmed", () => {
    const quarantine = new QuarantineFleet(1).instances.get("i0");
    expect(quarantine?.mayRepeat(["req-1"], ["e1@1"])).toBe(true);
    expect(quarantine?.mayRepeat(["req-1"], ["e1@1", "e2@1"])).toBe(false);
  });
});

// Guards against a sound suspect that is held, and told to all, between two parts of
// one report.
test("a peer's report is judged as a whole", () => {
  const held: string[] = [];
  const quarantine = new Quarantine("i1", {
    onHold: (suspect) => held.push(suspect),
    onRelease: () => undefined,
    // As the watch does if this instance's request was cut off there as well.
    onPeerCrash: (key) =>
      quarantine.recordCrash(key, [["a"]], { at: 8000, now: 9000 }),
    settleMs: () => SETTLE_MS,
  });
  quarantine.recordCrash("e1@1", [["a"]], { at: 5000, now: 5000 });
  quarantine.receive("i2", {
    crashes: { "e2@1": { ageMs: 1000, knownMs: 900, suspects: [["b"]] } },
    answers: { a: [0, 3] },
  }, 9000);
  expect(held).toEqual([]);
});

// Guards against a request that is judged by crashes which no longer count.
test("crashes older than the evidence count for no repeat", () => {
  const quarantine = new Quarantine("i1", {
    onHold: () => undefined,
    onRelease: () => undefined,
    settleMs: () => SETTLE_MS,
  });
  quarantine.recordCrash("e1@1", [["a"]], { at: 0, now: 0 });
  // As digests are made all the time.
  for (let now = 0; now <= 3_600_000; now += 1000) quarantine.report(now);
  expect(quarantine.isEmpty).toBe(true);
  expect(quarantine.mayRepeat(["a"], ["e2@1"])).toBe(true);
});
