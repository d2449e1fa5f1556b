import { describe, expect, test } from "vitest";
import { CrashEvidence, EVIDENCE_MS } from "./crash_evidence.ts";
import type { Suspects } from "./select_suspects.ts";

const BAD: Suspects = ["first", "middle", "bad"];

function recordCrashes(
  evidence: CrashEvidence,
  crashes: readonly (readonly Suspects[])[],
  reporter = "i1",
): void {
  crashes.forEach((requests, i) =>
    evidence.recordCrash(`e${i}@1`, { reporter, requests, at: i })
  );
}

function answer(evidence: CrashEvidence, suspects: Suspects, times: number) {
  for (let i = 0; i < times; i += 1) evidence.recordAnswer(suspects, i);
}

/** Parts that no other request has. */
function uniqueParts(name: string, count: number): Suspects {
  return Array.from({ length: count }, (_, i) => `${name}.${i}`);
}

function causesOf(evidence: CrashEvidence): readonly string[] {
  return evidence.explain(100, 100).map(({ suspect }) => suspect);
}

// Guards against all prompts that are held before any answer is known: engines that
// end by themselves have nothing else in common.
describe("a part that all prompts begin with", () => {
  const crashes: readonly (readonly Suspects[])[] = [
    [["first", "a", "req-1"], ["first", "b", "req-2"]],
    [["first", "c", "req-3"], ["req-4"]],
  ];

  test("is no cause while no prompt was answered", () => {
    const evidence = new CrashEvidence("i1");
    answer(evidence, ["req-5"], 3);
    recordCrashes(evidence, crashes);
    expect(causesOf(evidence)).toEqual([]);
  });

  test("is one once a prompt without it was answered", () => {
    const evidence = new CrashEvidence("i1");
    recordCrashes(evidence, crashes);
    answer(evidence, ["other", "req-5"], 1);
    expect(causesOf(evidence)).toEqual(["first"]);
  });

  test("is one if a prompt without it was cut off as well", () => {
    const evidence = new CrashEvidence("i1");
    recordCrashes(evidence, [...crashes, [["other", "req-6"]]]);
    expect(causesOf(evidence)).toEqual(["first"]);
  });

  // Guards against a request that comes again and convicts what all prompts share.
  test("is no cause beside a request that was in two crashes", () => {
    const evidence = new CrashEvidence("i1");
    const request = ["first", "a", "req-1"];
    recordCrashes(evidence, [[request], [request], [["first", "b", "req-2"]]]);
    expect(causesOf(evidence)).toEqual(["req-1"]);
  });

  test("does not hide the one request that was in all crashes", () => {
    const evidence = new CrashEvidence("i1");
    const request = ["first", "a", "req-1"];
    recordCrashes(evidence, [[request], [request]]);
    expect(causesOf(evidence)).toEqual(["req-1"]);
  });
});

// Guards against a request that goes on crashing engines since another one, on the
// same engines, crashes more.
test("a request with three crashes is a cause whatever else explains them", () => {
  const evidence = new CrashEvidence("i1");
  const both: readonly Suspects[] = [["req-1"], ["req-2"]];
  recordCrashes(evidence, [both, both]);
  expect(causesOf(evidence)).toEqual([]);
  recordCrashes(evidence, [both, both, both, [["req-2"]]]);
  expect(causesOf(evidence)).toEqual(["req-2", "req-1"]);
  answer(evidence, ["req-1"], 1);
  expect(causesOf(evidence)).toEqual(["req-2"]);
});

describe("the cause of crashes", () => {
  test("is a suspect that two crashes have in common", () => {
    const evidence = new CrashEvidence("i1");
    recordCrashes(evidence, [[BAD, ["first", "x"]]]);
    expect(causesOf(evidence)).toEqual([]);
    recordCrashes(evidence, [[BAD, ["first", "x"]], [["first", "y"], BAD]]);
    expect(evidence.explain(100, 100)).toEqual([
      { suspect: "bad", engines: ["e0@1", "e1@1"] },
    ]);
  });

  test("is not a suspect on which answers get past their beginning", () => {
    const evidence = new CrashEvidence("i1");
    recordCrashes(evidence, [[["first", "x"]], [["first", "y"]]]);
    answer(evidence, ["first", "z"], 2);
    expect(causesOf(evidence)).toEqual([]);
  });

  test("is not acquitted by one answer if several engines crashed", () => {
    const evidence = new CrashEvidence("i1");
    recordCrashes(evidence, [[BAD], [BAD], [BAD], [BAD]]);
    answer(evidence, BAD, 1);
    expect(causesOf(evidence)).toEqual(["bad"]);
    answer(evidence, BAD, 2);
    expect(causesOf(evidence)).toEqual([]);
  });

  test("is found although the suspect was answered well before", () => {
    const evidence = new CrashEvidence("i1");
    answer(evidence, BAD, 50);
    recordCrashes(evidence, Array.from({ length: 6 }, () => [BAD]));
    expect(causesOf(evidence)).toEqual(["bad"]);
  });

  test("is the first suspect if it crashes engines with any second one", () => {
    const evidence = new CrashEvidence("i1");
    recordCrashes(evidence, [[["bad", "x"]], [["bad", "x"]]]);
    expect(causesOf(evidence)).toEqual(["x"]);
    recordCrashes(evidence, [
      [["bad", "x"]],
      [["bad", "x"]],
      [["bad", "y"]],
    ]);
    expect(causesOf(evidence)).toEqual(["bad"]);
  });

  test("stays open while a neighbour was in the same crashes", () => {
    const evidence = new CrashEvidence("i1");
    const neighbour: Suspects = ["first", "x"];
    answer(evidence, ["first"], 9);
    recordCrashes(evidence, [[BAD, neighbour], [BAD, neighbour]]);
    expect(causesOf(evidence)).toEqual([]);
    recordCrashes(evidence, [[BAD, neighbour], [BAD, neighbour], [BAD]]);
    expect(causesOf(evidence)).toEqual(["bad"]);
  });

  test("is one of two suspects that are always together after four crashes", () => {
    const evidence = new CrashEvidence("i1");
    const crash: readonly Suspects[] = [["a", "bad"], ["b", "c"]];
    recordCrashes(evidence, [crash, crash, crash]);
    expect(causesOf(evidence)).toEqual([]);
    recordCrashes(evidence, [crash, crash, crash, crash]);
    expect(causesOf(evidence).length).toBe(1);
  });

  test("may be two suspects, each of its own crashes", () => {
    const evidence = new CrashEvidence("i1");
    answer(evidence, ["first"], 9);
    const other: Suspects = ["first", "worse"];
    recordCrashes(evidence, [[BAD], [other], [BAD], [other]]);
    expect([...causesOf(evidence)].sort()).toEqual(["bad", "worse"]);
  });

  test("is not a suspect that shared its crashes with the cause", () => {
    const evidence = new CrashEvidence("i1");
    const neighbour: Suspects = ["first", "x"];
    recordCrashes(evidence, [[BAD, neighbour], [BAD, neighbour], [BAD]]);
    expect(causesOf(evidence)).toEqual(["bad"]);
  });

  test("is joined from the requests of several instances", () => {
    const evidence = new CrashEvidence("i1");
    recordCrashes(evidence, [[["first", "x"]], [["first", "y"]]], "i1");
    recordCrashes(evidence, [[BAD], [BAD]], "i2");
    evidence.recordPeerAnswers("i2", "first", [4, 9]);
    expect(causesOf(evidence)).toEqual(["bad"]);
  });

  test("is not sought for an engine that is cut off again and again", () => {
    const evidence = new CrashEvidence("i1");
    for (let i = 0; i < 9; i += 1) {
      evidence.recordCrash("e1@1", { reporter: "i1", requests: [BAD], at: i });
    }
    expect(causesOf(evidence)).toEqual([]);
  });

  test("is not sought while other requests may be reported", () => {
    const evidence = new CrashEvidence("i1");
    recordCrashes(evidence, [[BAD], [BAD]]);
    expect(evidence.explain(100, 0)).toEqual([]);
    expect(evidence.explain(100, 1)).toMatchObject([{ suspect: "bad" }]);
  });

  // BUDGET: a suspect with eight or more shared suspects behind it was no suspect of
  // any crash, so its requests crashed engines without end.
  test.each([1, 12, 300])("is found with %i suspects behind it", (behind) => {
    const evidence = new CrashEvidence("i1");
    answer(evidence, ["first"], 9);
    recordCrashes(
      evidence,
      [0, 1].map((crash) => [
        ["first", "bad", ...uniqueParts(`bad${crash}`, behind)],
        ["first", ...uniqueParts(`sound${crash}`, behind)],
      ]),
    );
    expect(causesOf(evidence)).toEqual(["bad"]);
  });

  test("is found among more suspects than an instance reports", () => {
    const evidence = new CrashEvidence("i1");
    answer(evidence, ["first", ...uniqueParts("known", 200)], 9);
    recordCrashes(
      evidence,
      [0, 1].map((crash) => [
        ...Array.from({ length: 100 }, (_, i) => [
          "first",
          ...uniqueParts(`sound${crash}.${i}`, 100),
        ]),
        // The suspects before it are known from answers.
        ["first", ...uniqueParts("known", 200), "bad", `own${crash}`],
      ]),
    );
    expect(causesOf(evidence)).toEqual(["bad"]);
  });

  test("is found although crashes without it have more suspects than are kept", () => {
    const evidence = new CrashEvidence("i1");
    answer(evidence, ["first"], 9);
    for (let crash = 0; crash < 40; crash += 1) {
      const isBad = crash % 8 === 0;
      evidence.recordCrash(`e${crash}@1`, {
        reporter: "i1",
        requests: Array.from({ length: 10 }, (_, i) => [
          "first",
          ...(isBad && i === 0 ? ["bad"] : []),
          ...uniqueParts(`${crash}.${i}`, 300),
        ]),
        at: crash,
      });
      answer(evidence, ["first"], 1);
    }
    expect(causesOf(evidence)).toEqual(["bad"]);
  });

  test("is found in time if long prompts are repeated", () => {
    const evidence = new CrashEvidence("i1");
    const prompts = ["a", "b"].map((name) => uniqueParts(name, 400));
    recordCrashes(evidence, [prompts, prompts]);
    const startedAt = performance.now();
    evidence.explain(100, 100);
    expect(performance.now() - startedAt).toBeLessThan(200);
  });

  test("is forgotten with its crashes", () => {
    const evidence = new CrashEvidence("i1");
    recordCrashes(evidence, [[BAD], [BAD]]);
    expect(evidence.explain(EVIDENCE_MS + 10, EVIDENCE_MS)).toEqual([]);
    expect(evidence.evidenceOn("bad").crashes).toBe(0);
  });
});

test("the tables stay small in a fleet of 60 instances and 300 engines", () => {
  const evidence = new CrashEvidence("i0");
  for (let crash = 0; crash < 300; crash += 1) {
    for (let instance = 0; instance < 60; instance += 1) {
      const requests = Array.from({ length: 4 }, (_, i) => [
        "first",
        ...Array.from(
          { length: 30 },
          (_, k) => `${crash}.${instance}.${i}.${k}`,
        ),
      ]);
      evidence.recordCrash(`e${crash}@1`, {
        reporter: `i${instance}`,
        requests,
        at: crash,
      });
      evidence.recordAnswer([`p${crash}.${instance}`], crash);
    }
  }
  const startedAt = performance.now();
  expect(evidence.explain(300, 300).length).toBeLessThanOrEqual(1);
  expect(performance.now() - startedAt).toBeLessThan(1000);
  expect([...evidence.ownCrashes(-1)].length).toBeLessThanOrEqual(64);
});

// Guards against parts that lose what speaks for them since each read that comes
// once takes a place in the same table.
test("answers on a part are remembered beside many requests that come once", () => {
  const evidence = new CrashEvidence("i1");
  evidence.recordAnswer(["part", "req-0"], 0);
  for (let i = 1; i <= 20_000; i += 1) evidence.recordAnswer([`req-${i}`], i);
  recordCrashes(evidence, [[["part", "req-x"]]]);
  expect(evidence.evidenceOn("part")).toEqual({ crashes: 1, answers: 1 });
});
