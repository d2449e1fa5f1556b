import { describe, expect, test } from "vitest";
import { DIGEST_MS, QuarantineFleet } from "../testing/quarantine_fleet.ts";
import { requestKeyOf } from "./request_key.ts";
import type { Suspects } from "./select_suspects.ts";

/** Sends that may follow once a request has crashed three engines and all
 * instances in touch have had time to hear of it. */
const SENDS_AFTER_MAX = 3;
const CRASHES_BEFORE = 3;
const HEARD_MS = 3000;

/** The suspects of a request for `path` with these shared parts. */
function requestFor(path: string, ...parts: readonly string[]): Suspects {
  const key = requestKeyOf({
    method: "GET",
    host: "h",
    path,
    workspace: "w",
    model: undefined,
    adapter: undefined,
    prompt: parts.join(),
    body: undefined,
  });
  return [...parts, key];
}

const BAD = requestFor("/bad");
const keyOf = (request: Suspects) => request.at(-1) ?? "";
const isBad = (request: Suspects) => request.includes(keyOf(BAD));

/** The sends that came too late after the third crash. */
function lateSends({ sentAt }: QuarantineFleet): readonly number[] {
  const thirdAt = sentAt[CRASHES_BEFORE - 1] ?? Infinity;
  return sentAt.filter((at) => at > thirdAt + HEARD_MS);
}

/** The instance whose turn it is in round `i`. */
const turn = (i: number, count: number) => `i${i % count}`;

describe("a request that crashes engines", () => {
  // Guards against a request that ends engine after engine, since instances do not
  // learn from each other's crashes.
  test.each([[8, 20, 1], [8, 1000, 1], [60, 20, 1], [60, 1000, 1], [
    8,
    250,
    3,
  ]])(
    "is stopped by %i instances if it comes each %i ms, at %i at once",
    (count, everyMs, atOnce) => {
      const fleet = new QuarantineFleet(count);
      for (let i = 0; i * everyMs < 60_000; i += 1) {
        for (let k = 0; k < atOnce; k += 1) {
          fleet.send([[turn(i * 3 + k, count), BAD]], isBad);
        }
        fleet.send([[turn(i, count), requestFor("/good")]], isBad);
        fleet.pass(everyMs);
      }
      expect(fleet.isHeldEverywhere(keyOf(BAD))).toBe(true);
      expect(lateSends(fleet).length).toBeLessThanOrEqual(SENDS_AFTER_MAX);
      expect(fleet.refusedSound).toBe(0);
    },
  );

  // Guards against sound requests that are held because they resemble it.
  test("is told from the same path of another caller, and from a popular read", () => {
    const fleet = new QuarantineFleet(8);
    const other = requestFor("/bad?of=another");
    const popular = requestFor("/popular");
    for (let i = 0; i < 100; i += 1) {
      fleet.send([[turn(i, 8), popular]], isBad);
      fleet.send([
        [turn(i, 8), BAD],
        [turn(i + 1, 8), popular],
        [turn(i + 2, 8), other],
      ], isBad);
      fleet.pass(300);
      fleet.send([[turn(i, 8), other], [turn(i, 8), popular]], isBad);
    }
    expect(fleet.isHeldEverywhere(keyOf(BAD))).toBe(true);
    expect(fleet.refusedSound).toBe(0);
  });

  test("is found beside a second one", () => {
    const fleet = new QuarantineFleet(8);
    const worse = requestFor("/worse");
    const isEither = (request: Suspects) =>
      isBad(request) || request.includes(keyOf(worse));
    for (let i = 0; i < 60; i += 1) {
      fleet.send([[turn(i, 8), i % 2 === 0 ? BAD : worse]], isEither);
      fleet.send([[turn(i, 8), requestFor(`/good/${i}`)]], isEither);
      fleet.pass(300);
    }
    expect(fleet.isHeldEverywhere(keyOf(BAD))).toBe(true);
    expect(fleet.isHeldEverywhere(keyOf(worse))).toBe(true);
    expect(fleet.sentAt.length).toBeLessThanOrEqual(2 * CRASHES_BEFORE);
    expect(fleet.refusedSound).toBe(0);
  });

  // Guards against two guilty requests on the same engines that acquit each other:
  // the one that is held first was released for the crashes of the other.
  test("stays held although another one ran on the same engines", () => {
    const fleet = new QuarantineFleet(4);
    const worse = requestFor("/worse");
    const isEither = (request: Suspects) =>
      isBad(request) || request.includes(keyOf(worse));
    fleet.send([["i0", worse]], isEither);
    for (let i = 0; i < 40; i += 1) {
      fleet.send([[turn(i, 4), BAD], [turn(i + 1, 4), worse]], isEither);
      fleet.pass(400);
    }
    expect(fleet.isHeldEverywhere(keyOf(BAD))).toBe(true);
    expect(fleet.isHeldEverywhere(keyOf(worse))).toBe(true);
    expect(fleet.sentAt.length).toBeLessThanOrEqual(2 * CRASHES_BEFORE + 1);
    expect(lateSends(fleet).length).toBeLessThanOrEqual(SENDS_AFTER_MAX);
  });

  // Guards against all requests with a common part that pay for one of them.
  test("is held itself, not the parts that it shares with others", () => {
    const fleet = new QuarantineFleet(8);
    const bad = requestFor("/bad", "first", "adapter");
    const isCause = (request: Suspects) => request.includes(keyOf(bad));
    for (let i = 0; i < 40; i += 1) {
      fleet.send([[turn(i, 8), bad]], isCause);
      fleet.send(
        [[turn(i, 8), requestFor(`/good/${i}`, "first", "adapter")]],
        isCause,
      );
      fleet.pass(300);
    }
    expect(fleet.isHeldEverywhere(keyOf(bad))).toBe(true);
    expect(fleet.isHeldEverywhere("adapter")).toBe(false);
    expect(fleet.sentAt.length).toBeLessThanOrEqual(CRASHES_BEFORE);
    expect(fleet.refusedSound).toBe(0);
  });

  test("does not hide a part that it shares with others and that is the cause", () => {
    const fleet = new QuarantineFleet(8);
    const hasCause = (request: Suspects) => request.includes("cause");
    const repeated = requestFor("/0", "first", "cause");
    for (let k = 0; k < 2; k += 1) fleet.send([["i0", repeated]], hasCause);
    for (let i = 0; i < 40; i += 1) {
      fleet.pass(300);
      fleet.send(
        [[turn(i, 8), requestFor(`/${i}`, "first", "cause")]],
        hasCause,
      );
      fleet.send([[turn(i, 8), requestFor("/good", "first")]], hasCause);
    }
    expect(fleet.isHeldEverywhere("cause")).toBe(true);
    expect(fleet.sentAt.length).toBeLessThanOrEqual(CRASHES_BEFORE);
    expect(fleet.refusedSound).toBe(0);
  });

  test("costs an instance that was cut off two more crashes, the others none", () => {
    const fleet = new QuarantineFleet(8);
    fleet.cutOff.add("i7");
    for (let i = 0; i < 20; i += 1) {
      fleet.send([[turn(i, 7), BAD]], isBad);
      fleet.pass(300);
    }
    expect(fleet.sentAt.length).toBeLessThanOrEqual(CRASHES_BEFORE);
    for (let i = 0; i < 20; i += 1) {
      fleet.send([["i7", BAD]], isBad);
      fleet.pass(300);
    }
    expect(fleet.sentAt.length).toBeLessThanOrEqual(CRASHES_BEFORE + 2);
  });

  test("is known to an instance that is started anew", () => {
    const fleet = new QuarantineFleet(8);
    for (let i = 0; i < 5; i += 1) {
      fleet.send([[turn(i, 8), BAD]], isBad);
      fleet.pass(500);
    }
    const before = fleet.sentAt.length;
    fleet.start("i3");
    fleet.start("i8");
    fleet.pass(DIGEST_MS);
    for (const name of ["i3", "i8"]) fleet.send([[name, BAD]], isBad);
    expect(fleet.sentAt.length).toBe(before);
  });

  test("is found among 10,000 others that were cut off", () => {
    const fleet = new QuarantineFleet(4);
    for (let i = 0; i < 3; i += 1) {
      fleet.crash([
        ["i0", BAD],
        ...Array.from(
          { length: 3333 },
          (_, k) => ["i0", requestFor(`/${i}/${k}`)] as const,
        ),
      ]);
      fleet.pass(500);
    }
    expect(fleet.isHeldEverywhere(keyOf(BAD))).toBe(true);
  });
});

// Guards against sound requests that pay for long for those which were on the same
// engines: they get no answers while they are held.
test("a request that was held beside others is tried soon", () => {
  const fleet = new QuarantineFleet(4);
  const sound = requestFor("/sound");
  for (let i = 0; i < 4; i += 1) {
    fleet.send([[turn(i, 4), BAD], [turn(i + 1, 4), sound]], isBad);
  }
  fleet.pass(1000);
  expect(fleet.isHeldEverywhere(keyOf(BAD))).toBe(true);
  for (let i = 0; i < 100; i += 1) {
    fleet.send([[turn(i, 4), sound]], isBad);
    fleet.send([[turn(i, 4), BAD]], isBad);
    fleet.pass(100);
  }
  const before = fleet.refusedSound;
  for (let i = 0; i < 4; i += 1) fleet.send([[`i${i}`, sound]], isBad);
  expect(fleet.refusedSound).toBe(before);
  expect(lateSends(fleet).length).toBeLessThanOrEqual(SENDS_AFTER_MAX);
});

// Guards against sound requests that are held because engines end by themselves.
test("no request is held because an engine ends by itself ten times", () => {
  const fleet = new QuarantineFleet(8);
  const popular = requestFor("/popular");
  fleet.send([["i0", popular]], isBad);
  for (let i = 0; i < 10; i += 1) {
    fleet.crash([
      [turn(i, 8), popular],
      [turn(i + 1, 8), requestFor(`/once/${i}`)],
    ]);
    fleet.send([[turn(i + 3, 8), requestFor(`/once/${i}`)]], isBad);
    for (let k = 0; k < 3; k += 1) fleet.send([[turn(k, 8), popular]], isBad);
    fleet.pass(1500);
  }
  expect(fleet.refusedSound).toBe(0);
});

// Guards against a request that ends an engine at each of its rare repeats, since
// its crashes are forgotten sooner than it comes again.
test("a request that comes again each 61 s is stopped", () => {
  const fleet = new QuarantineFleet(8);
  for (let i = 0; i < 12; i += 1) {
    fleet.send([[turn(i, 8), BAD]], isBad);
    fleet.pass(61_000);
  }
  expect(lateSends(fleet).length).toBeLessThanOrEqual(SENDS_AFTER_MAX);
});

// Guards against a request that was found late and then ends engines in its trials,
// as many as if it had been found at once.
test("a request that was sound before is not sent too often once it crashes engines", () => {
  const fleet = new QuarantineFleet(8);
  for (let i = 0; i < 10; i += 1) {
    fleet.send([[turn(i, 8), BAD]], () => false);
    fleet.pass(500);
  }
  for (let i = 0; i < 60; i += 1) {
    fleet.send([[turn(i, 8), BAD]], isBad);
    fleet.pass(3500);
  }
  expect(lateSends(fleet).length).toBeLessThanOrEqual(SENDS_AFTER_MAX);
});

// Guards against a guilty request whose companion is held in its place, so that it
// ends engines as often again, and then in its trials. Which of the two is held first
// depends on their keys.
test.each(["/a", "/b", "/c", "/d", "/e"])(
  "a request with a companion %s at the same engine is not sent too often",
  (path) => {
    const fleet = new QuarantineFleet(8);
    const companion = requestFor(path);
    for (let i = 0; i < 60; i += 1) {
      fleet.send([[turn(i, 8), BAD], [turn(i, 8), companion]], isBad);
      fleet.pass(3500);
    }
    expect(lateSends(fleet).length).toBeLessThanOrEqual(SENDS_AFTER_MAX);
  },
);
