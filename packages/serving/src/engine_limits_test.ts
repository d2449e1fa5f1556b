import { describe, expect, test } from "vitest";
import { EngineLimits, type LimitRecord } from "./engine_limits.ts";

const KEY = "e1@1";
const DIGEST_MS = 200;
const STEP_MS = 40;

/** The deployments' bound on the sum of all instances, from the time after
 * which a limit that was named must be heeded. */
const WINDOW_MS = 4000;
const HEEDED_AFTER_MS = 3000;
const allowedIn = (limit: number) => 1.5 * limit * WINDOW_MS / 1000 + 5;

interface Instance {
  readonly limits: EngineLimits;
  isAlive: boolean;
  isCutOff: boolean;
}

/** Instances that exchange reports, and engines that name limits. */
class Fleet {
  now = 0;
  /** Limits that the engines name, by key. */
  readonly named = new Map<string, number | undefined>();
  readonly arrivals: { readonly at: number; readonly key: string }[] = [];
  readonly #instances = new Map<string, Instance>();

  constructor(count: number) {
    for (let i = 0; i < count; i += 1) this.join(`i${i}`);
  }

  join(name: string): void {
    this.#instances.set(name, {
      isAlive: true,
      isCutOff: false,
      limits: new EngineLimits(name, () => this.#instancesOf(name)),
    });
  }

  instance(name: string): Instance {
    const instance = this.#instances.get(name);
    if (instance === undefined) throw new Error(`no instance ${name}`);
    return instance;
  }

  /** Lets time pass in which each instance wants to send a request to each of
   * these engines at every step. */
  press(ms: number, keys: readonly string[] = [KEY]): void {
    const until = this.now + ms;
    while (this.now < until) {
      this.now += STEP_MS;
      for (const { limits, isAlive } of this.#instances.values()) {
        if (isAlive) { for (const key of keys) this.#send(limits, key); }
      }
      if (this.now % DIGEST_MS === 0) this.#exchange();
    }
  }

  /** The most requests that reached an engine in one window after `from`. */
  mostIn(from: number, key = KEY): number {
    const times = this.arrivals.filter((a) => a.key === key && a.at >= from)
      .map(({ at }) => at);
    const counts = times.map((start) =>
      times.filter((at) => at >= start && at < start + WINDOW_MS).length
    );
    return Math.max(0, ...counts);
  }

  countSince(from: number): number {
    return this.arrivals.filter(({ at }) => at > from).length;
  }

  #send(limits: EngineLimits, key: string): void {
    if (!limits.tryTake(key, this.now)) return;
    this.arrivals.push({ at: this.now, key });
    limits.record(key, this.named.get(key), this.now);
  }

  /** A dead or cut off instance is noticed at the next digest here. */
  #instancesOf(name: string) {
    const all = [...this.#instances.entries()];
    const isCutOff = this.instance(name).isCutOff;
    const reached = all.filter(([other, { isAlive, isCutOff: cut }]) =>
      other === name || (isAlive && !cut && !isCutOff)
    );
    return {
      names: reached.map(([other]) => other),
      isCutOff: 1 - reached.length / all.length > 0.5,
    };
  }

  #exchange(): void {
    const connected = [...this.#instances.values()].filter((i) =>
      i.isAlive && !i.isCutOff
    );
    for (const from of connected) {
      const report: Record<string, LimitRecord> = {};
      for (const [key, , record] of from.limits.report(this.now)) {
        report[key] = record;
      }
      for (const to of connected) {
        if (to !== from) to.limits.receive(report, this.now);
      }
    }
  }
}

describe("the sum of all instances", () => {
  test.each([
    [8, 1.5],
    [8, 0.2],
    [8, 20],
    [60, 2.2],
    [60, 0.2],
    [60, 50],
  ])("of %i heeds a limit of %f, and uses it", (count, limit) => {
    const fleet = new Fleet(count);
    fleet.named.set(KEY, limit);
    fleet.press(HEEDED_AFTER_MS);
    const from = fleet.now;
    fleet.press(20_000);
    expect(fleet.mostIn(from)).toBeLessThanOrEqual(allowedIn(limit));
    expect(fleet.countSince(from)).toBeGreaterThan(limit * 20 * 0.8 - 1);
  });

  test.each([8, 60])("of %i heeds it while instances join and die", (count) => {
    const fleet = new Fleet(count);
    fleet.named.set(KEY, 2);
    fleet.press(HEEDED_AFTER_MS);
    const from = fleet.now;
    for (let i = 0; i < 12; i += 1) {
      fleet.instance(`i${i % 8}`).isAlive = i % 3 === 0;
      fleet.join(`n${i}`);
      fleet.press(700);
    }
    expect(fleet.mostIn(from)).toBeLessThanOrEqual(allowedIn(2));
    expect(fleet.countSince(from)).toBeGreaterThan(8);
  });

  test("heeds it while one instance is cut off from the others", () => {
    const fleet = new Fleet(8);
    fleet.named.set(KEY, 1.5);
    fleet.press(HEEDED_AFTER_MS);
    const from = fleet.now;
    for (let i = 0; i < 8; i += 1) {
      fleet.instance(`i${i}`).isCutOff = true;
      fleet.press(3000);
      fleet.instance(`i${i}`).isCutOff = false;
    }
    expect(fleet.mostIn(from)).toBeLessThanOrEqual(allowedIn(1.5));
    expect(fleet.countSince(from)).toBeGreaterThan(20);
  });

  test("heeds the limits of all engines of a service at once", () => {
    const fleet = new Fleet(8);
    const keys = Array.from({ length: 13 }, (_, i) => `e${i}@1`);
    for (const key of keys) fleet.named.set(key, 2);
    fleet.press(HEEDED_AFTER_MS, keys);
    const from = fleet.now;
    fleet.press(8000, keys);
    for (const key of keys) {
      expect(fleet.mostIn(from, key)).toBeLessThanOrEqual(allowedIn(2));
    }
    expect(fleet.countSince(from)).toBeGreaterThan(13 * 2 * 8 * 0.8);
  });
});

describe("a limit", () => {
  test("that changes is heeded by all instances", () => {
    const fleet = new Fleet(8);
    fleet.named.set(KEY, 20);
    fleet.press(6000);
    fleet.named.set(KEY, 1);
    fleet.press(HEEDED_AFTER_MS);
    const from = fleet.now;
    fleet.press(8000);
    expect(fleet.mostIn(from)).toBeLessThanOrEqual(allowedIn(1));
    expect(fleet.instance("i3").limits.stateOf(KEY, fleet.now)).toMatchObject({
      limit: 1,
    });
  });

  test("ends for all instances when the engine names none any more", () => {
    const fleet = new Fleet(8);
    fleet.named.set(KEY, 1);
    fleet.press(HEEDED_AFTER_MS);
    fleet.named.delete(KEY);
    fleet.press(3000);
    for (let i = 0; i < 8; i += 1) {
      expect(fleet.instance(`i${i}`).limits.roomOf(KEY, fleet.now)).toBe(
        "open",
      );
    }
  });

  // An engine of which nobody knows whether it is still limited must not get a
  // request from every instance at once.
  test.each([0, 0.01])("of %f is tried again without a flood", (limit) => {
    const fleet = new Fleet(60);
    fleet.named.set(KEY, limit);
    fleet.press(HEEDED_AFTER_MS);
    const from = fleet.now;
    fleet.press(60_000);
    expect(fleet.mostIn(from)).toBeLessThanOrEqual(allowedIn(limit));
    fleet.named.delete(KEY);
    fleet.press(40_000);
    expect(fleet.instance("i7").limits.roomOf(KEY, fleet.now)).toBe("open");
  });

  test("that nobody uses stays, and is heeded when requests return", () => {
    const fleet = new Fleet(60);
    fleet.named.set(KEY, 2);
    fleet.press(HEEDED_AFTER_MS);
    fleet.press(120_000, []);
    const from = fleet.now;
    fleet.press(8000);
    expect(fleet.mostIn(from)).toBeLessThanOrEqual(allowedIn(2));
  });

  test("is that of one start of an engine", () => {
    const fleet = new Fleet(8);
    fleet.named.set(KEY, 1);
    fleet.press(HEEDED_AFTER_MS);
    const { limits } = fleet.instance("i0");
    expect(limits.roomOf("e1@2", fleet.now)).toBe("open");
    limits.keepOnly((key) => key === "e1@2");
    expect(limits.size).toBe(0);
  });

  test("is known to an instance that joins, before its first request", () => {
    const fleet = new Fleet(8);
    fleet.named.set(KEY, 1);
    fleet.press(HEEDED_AFTER_MS);
    fleet.join("i9");
    fleet.press(DIGEST_MS, []);
    expect(fleet.instance("i9").limits.roomOf(KEY, fleet.now)).not.toBe("open");
  });

  test("gives the time until this instance may send again", () => {
    const limits = new EngineLimits("i0", () => ({
      names: ["i0"],
      isCutOff: false,
    }));
    expect(limits.waitMs([KEY], 0)).toBeUndefined();
    limits.record(KEY, 0.5, 0);
    expect(limits.roomOf(KEY, 0)).toBe("closed");
    expect(limits.waitMs([KEY], 0)).toBe(2000);
    expect(limits.waitMs([KEY], 1500)).toBe(500);
    expect(limits.roomOf(KEY, 2000)).toBe("limited");
  });
});

test("a pause ends, is bounded, and is forgotten with its engine", () => {
  const limits = new EngineLimits("self", () => ({
    names: ["self"],
    isCutOff: false,
  }));
  expect(limits.recordPause("e", 2000, 0)).toBe(true);
  expect(limits.recordPause("e", 500, 100)).toBe(false);
  expect(limits.roomOf("e", 1999)).toBe("closed");
  expect(limits.tryTake("e", 1999)).toBe(false);
  expect(limits.waitMs(["e"], 500)).toBe(1500);
  expect(limits.roomOf("e", 2000)).toBe("open");
  limits.recordPause("e", 1e12, 3000);
  expect(limits.roomOf("e", 62_999)).toBe("closed");
  expect(limits.roomOf("e", 63_000)).toBe("open");
  limits.recordPause("e", 5000, 70_000);
  limits.keepOnly(() => false);
  expect(limits.roomOf("e", 70_001)).toBe("open");
});
