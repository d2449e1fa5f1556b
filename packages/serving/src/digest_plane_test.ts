import { expect, test } from "vitest";
import { DigestFleet, type FleetNode } from "./testing/digest_fleet.ts";

/** The age that what decides may have, in milliseconds: 99 of 100. */
const AGE_MAX_MS = 800;

/** Within this time of its end a lost instance is in no answer to callers, in
 * milliseconds. */
const LOST_WITHIN_MS = 1500;

/** Longest time without news of any instance while collectors are lost, in
 * milliseconds. */
const GAP_MAX_MS = 1000;

const WARM_UP_MS = 3000;

/** The simulation of the largest fleet takes long. */
const TEST_TIMEOUT_MS = 180_000;

/** Fleet sizes: number of instances and zones, and of instances a zone that
 * serve callers or order at engines. */
const SIZES = [
  { size: 9, zones: 3, activePerZone: 3 },
  { size: 60, zones: 6, activePerZone: 5 },
  { size: 195, zones: 6, activePerZone: 6 },
  { size: 1000, zones: 11, activePerZone: 6 },
] as const;

function startFleet(options: (typeof SIZES)[number]): DigestFleet {
  const fleet = new DigestFleet(options);
  fleet.advance(WARM_UP_MS);
  return fleet;
}

function mediumFleet(): DigestFleet {
  return startFleet(SIZES[1]);
}

function living(fleet: DigestFleet): readonly FleetNode[] {
  return [...fleet.nodes.values()].filter(({ isDead, frozenUntil }) =>
    !isDead && frozenUntil < fleet.now
  );
}

function active(fleet: DigestFleet): readonly FleetNode[] {
  return living(fleet).filter(({ state }) => state.serves);
}

/** The ages of what every active instance knows of every other. */
function agesNow(fleet: DigestFleet): readonly number[] {
  const nodes = active(fleet);
  return nodes.flatMap((node) =>
    nodes.filter((other) => other !== node).map((other) => {
      const stamp = node.stamps.get(other.member.name);
      return stamp === undefined ? Infinity : fleet.now - stamp.value.madeAt;
    })
  );
}

function percentile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}

/** Pairs of instances of which one counts a living one as lost. */
function wronglyLost(fleet: DigestFleet): readonly string[] {
  const nodes = living(fleet);
  return nodes.flatMap((node) =>
    nodes.filter(({ member }) =>
      member !== node.member && !node.members.isAlive(member.name, node.clock)
    ).map(({ member }) => `${member.name} at ${node.member.name}`)
  );
}

// Guards against ages and prices that grow with the fleet: at 195 instances that
// all sent digests to all, ages were 3.2 to 12.8 s.
test.each(SIZES)(
  "what $size instances know of each other is at most 0.8 s old",
  (options) => {
    const fleet = startFleet(options);
    for (const node of fleet.nodes.values()) node.messagesReceived = 0;
    const ages: number[] = [];
    for (let i = 0; i < 10; i += 1) {
      fleet.advance(200);
      ages.push(...agesNow(fleet));
    }
    expect(percentile(ages, 0.99)).toBeLessThanOrEqual(AGE_MAX_MS);
    expect(wronglyLost(fleet)).toEqual([]);
    const seconds = 2;
    const nodes = [...fleet.nodes.values()];
    const idle = nodes.filter(({ state, plane }) =>
      !state.serves && !plane.isCollector
    );
    for (const { messagesReceived } of idle) {
      expect(messagesReceived / seconds).toBeLessThanOrEqual(4);
    }
    const received = nodes.reduce((sum, n) => sum + n.messagesReceived, 0);
    expect(received / nodes.length / seconds).toBeLessThanOrEqual(40);
  },
  TEST_TIMEOUT_MS,
);

// Guards against sockets that grow with the fleet.
test.each(SIZES.slice(1, 3))(
  "an instance of $size has two connections, a collector one for each zone and its group",
  (options) => {
    const fleet = startFleet(options);
    for (const { plane, connections } of fleet.nodes.values()) {
      const groupSize = Math.ceil(options.size / options.zones);
      expect(connections.size).toBeLessThanOrEqual(
        plane.isCollector ? groupSize + options.zones * 2 : 2,
      );
    }
  },
);

// Guards against a fleet that knows nothing while those who pass digests on are
// lost: one of a zone, both, and all of a region.
test.each([["one collector", 1], ["both collectors", 2]])(
  "the loss of %s of a zone leaves no gap longer than a second",
  (_, count) => {
    const fleet = mediumFleet();
    for (const node of fleet.collectors(0).slice(0, count)) fleet.kill(node);
    let oldest = 0;
    for (let i = 0; i < 60; i += 1) {
      fleet.advance(100);
      oldest = Math.max(oldest, percentile(agesNow(fleet), 1));
    }
    expect(oldest).toBeLessThanOrEqual(AGE_MAX_MS + GAP_MAX_MS);
    expect(percentile(agesNow(fleet), 0.99)).toBeLessThanOrEqual(AGE_MAX_MS);
    expect(wronglyLost(fleet)).toEqual([]);
    expect(active(fleet).some(({ wentBack }) => wentBack)).toBe(false);
  },
);

test.each(SIZES.slice(0, 3))(
  "a lost instance of $size is noticed everywhere within 1.5 s",
  (options) => {
    const fleet = startFleet(options);
    const lost = fleet.zone(0).find(({ plane, state }) =>
      state.serves && (options.size < 21 || !plane.isCollector)
    );
    if (lost === undefined) throw new Error("no instance to lose");
    fleet.kill(lost);
    fleet.advance(LOST_WITHIN_MS);
    const believers = living(fleet).filter(({ members, clock }) =>
      members.ready(clock).some(({ name }) => name === lost.member.name)
    );
    expect(believers.map(({ member }) => member.name)).toEqual([]);
  },
);

// Guards against a collector that was suspended and passes on, as fresh, what it
// had heard before: its clock did not count the time.
test("a suspended collector brings nothing back", () => {
  const fleet = mediumFleet();
  const [collector] = fleet.collectors(0);
  const lost = fleet.zone(0).find(({ plane, state }) =>
    state.serves && !plane.isCollector
  );
  if (collector === undefined || lost === undefined) throw new Error("no zone");
  fleet.suspend(collector, 5000);
  fleet.advance(1000);
  fleet.kill(lost);
  fleet.advance(3000);
  const believers = () =>
    living(fleet).filter((node) =>
      node !== collector &&
      node.members.isAlive(lost.member.name, node.clock)
    ).length;
  expect(believers()).toBe(0);
  let most = 0;
  for (let i = 0; i < 80; i += 1) {
    fleet.advance(50);
    most = Math.max(most, believers());
  }
  expect(most).toBe(0);
  expect(wronglyLost(fleet)).toEqual([]);
  expect(active(fleet).some(({ wentBack }) => wentBack)).toBe(false);
  expect(percentile(agesNow(fleet), 0.99)).toBeLessThanOrEqual(AGE_MAX_MS);
});

test("an instance that was suspended is back within a second", () => {
  for (const fleet of [mediumFleet(), startFleet(SIZES[0])]) {
    const node = fleet.zone(0).at(-1);
    if (node === undefined) throw new Error("no instance");
    fleet.suspend(node, 4000);
    fleet.advance(4000);
    // The next digests of idle instances are a second away.
    fleet.advance(2500);
    expect(wronglyLost(fleet)).toEqual([]);
  }
});

test("a restarted collector serves its zone again", () => {
  const fleet = mediumFleet();
  const [collector] = fleet.collectors(0);
  if (collector === undefined) throw new Error("no collector");
  const restarted = fleet.restart(collector);
  fleet.advance(5000);
  expect(restarted.plane.isCollector).toBe(true);
  expect(wronglyLost(fleet)).toEqual([]);
  expect(percentile(agesNow(fleet), 0.99)).toBeLessThanOrEqual(AGE_MAX_MS);
  const known = new Set(
    living(fleet).filter(({ member }) => member.name !== restarted.member.name)
      .map(({ members }) => members.get(restarted.member.name)?.incarnation),
  );
  expect([...known]).toEqual([restarted.member.incarnation]);
});

test(
  "a fleet that restarts at once knows itself again within two seconds",
  () => {
    const fleet = mediumFleet();
    for (const node of [...fleet.nodes.values()]) fleet.restart(node);
    fleet.advance(2000);
    expect(wronglyLost(fleet)).toEqual([]);
    expect(percentile(agesNow(fleet), 0.99)).toBeLessThanOrEqual(AGE_MAX_MS);
  },
  20_000,
);

// One way of two is lost: news and signs of life still arrive by the other.
test("a link between two collectors that is cut is made up for", () => {
  const fleet = mediumFleet();
  const [first, second] = [fleet.collectors(0)[0], fleet.collectors(1)[0]];
  if (first === undefined || second === undefined) throw new Error("no zones");
  const undo = fleet.cut(first, second);
  fleet.advance(6000);
  expect(wronglyLost(fleet)).toEqual([]);
  expect(percentile(agesNow(fleet), 0.99)).toBeLessThanOrEqual(
    AGE_MAX_MS,
  );
  undo();
  fleet.advance(4000);
  expect(wronglyLost(fleet)).toEqual([]);
});

test("a zone that is cut off is lost to the others and is back within two seconds", () => {
  const fleet = mediumFleet();
  const inside = fleet.zone(0);
  const outside = living(fleet).filter((node) => !inside.includes(node));
  const undos = inside.flatMap((a) => outside.map((b) => fleet.cut(a, b)));
  fleet.advance(4000);
  const [someone] = outside;
  const [isolated] = inside;
  expect(someone?.members.isAlive(isolated?.member.name ?? "", someone.clock))
    .toBe(false);
  expect(
    isolated?.members.isAlive(inside[1]?.member.name ?? "", isolated.clock),
  )
    .toBe(true);
  for (const undo of undos) undo();
  // Collectors that did not answer are passed over for 3 s.
  fleet.advance(5000);
  expect(wronglyLost(fleet)).toEqual([]);
});

// Repeated and malformed messages harm nobody: the stream goes on, and the rows
// of the others hold.
test("repeated, odd and malformed messages harm nobody else", () => {
  const fleet = mediumFleet();
  const [culprit] = active(fleet);
  let turn = 0;
  fleet.tamper = (digest, from) => {
    turn += 1;
    if (from !== culprit?.member.name) return [digest, digest];
    const odd = [
      { ...digest, rows: [["a"], null, 7, [0, "held", "x", -1, 0, 1]] },
      { ...digest, origins: [[0, null, 1, 1e9, "state"], "x"] },
      { ...digest, loads: { e: -4, f: "x" }, use: [[1, 2]] },
      { ...digest, ages: 4 },
      { t: "digest2" },
    ][turn % 5];
    return [odd as unknown as typeof digest, digest];
  };
  fleet.advance(5000);
  const others = active(fleet).filter((node) => node !== culprit);
  const ages = others.flatMap((node) =>
    others.filter((other) => other !== node).map((other) =>
      fleet.now - (node.stamps.get(other.member.name)?.value.madeAt ?? 0)
    )
  );
  expect(percentile(ages, 0.99)).toBeLessThanOrEqual(AGE_MAX_MS);
  const lost = wronglyLost(fleet).filter((text) =>
    !text.includes(culprit?.member.name ?? "")
  );
  expect(lost).toEqual([]);
});

test.each(SIZES.slice(0, 3))(
  "each of $size instances knows the requests of all others at an engine",
  (options) => {
    const fleet = startFleet(options);
    const nodes = active(fleet);
    nodes.forEach(({ plane }, i) => plane.setLoads(new Map([["e", i + 1]])));
    const total = nodes.length * (nodes.length + 1) / 2;
    fleet.advance(1500);
    nodes.forEach(({ loads }, i) => expect(loads.get("e")).toBe(total - i - 1));
    const [first] = nodes;
    first?.plane.setLoads(new Map());
    fleet.advance(1500);
    expect(nodes[1]?.loads.get("e")).toBe(total - 3);
  },
);

test.each(SIZES.slice(0, 3))(
  "use of adapters reaches the owner of an engine, in a fleet of $size",
  (options) => {
    const fleet = startFleet(options);
    const nodes = active(fleet);
    const owner = nodes.at(-1);
    if (owner === undefined) throw new Error("no owner");
    const users = nodes.filter((node) => node !== owner);
    for (const { plane, clock } of users) {
      plane.sendUse(owner.member.name, "e", { a1: [1, 1] }, clock);
    }
    fleet.advance(1500);
    expect(owner.used.map(([from]) => from).toSorted()).toEqual(
      users.map(({ member }) => member.name).toSorted(),
    );
  },
);

test("an instance that leaves is told to everybody at once", () => {
  const fleet = mediumFleet();
  const leaving = fleet.zone(0).find(({ plane, state }) =>
    state.serves && !plane.isCollector
  );
  if (leaving === undefined) throw new Error("no instance");
  leaving.state = { ...leaving.state, leaving: true };
  fleet.advance(600);
  const unaware = living(fleet).filter(({ members, clock }) =>
    members.ready(clock).some(({ name }) => name === leaving.member.name)
  );
  expect(unaware).toEqual([]);
});
