import { expect, test } from "vitest";
import {
  aggregatesLoads,
  type MemberRole,
  ticksBetweenDigests,
} from "./digest_interval.ts";

const self: MemberRole = {
  zone: "a",
  region: "north",
  serves: true,
  orders: false,
};
const peers: readonly MemberRole[] = [
  self,
  { ...self, zone: "b" },
  { ...self, zone: "c", region: "south" },
];

/** The slowest link of a machine, in bits a second. */
const LINK_BPS = 7_000_000;

/** Size of a usual digest: counts of one engine, a few workspaces, some
 * adapters. */
const DIGEST_BYTES = 300;

const TICKS_A_SECOND = 5;

/** Bits a second that one instance sends in a fleet of `zones` zones with
 * `perZone` instances each; half of the zones are in another region. */
function digestBps(zones: number, perZone: number): number {
  const others = zones * perZone - 1;
  let digests = 0;
  for (let z = 0; z < zones; z++) {
    const peer = {
      ...self,
      zone: z === 0 ? "a" : `z${z}`,
      region: z < zones / 2 ? "north" : "south",
    };
    digests += perZone * TICKS_A_SECOND /
      ticksBetweenDigests(self, peer, others);
  }
  return digests * DIGEST_BYTES * 8;
}

test("a small fleet sends digests every tick", () => {
  expect(aggregatesLoads(8)).toBe(false);
  for (const peer of peers) {
    expect(ticksBetweenDigests(self, peer, 8)).toBe(1);
  }
});

test("a large fleet sends digests to distant instances less often than to near ones", () => {
  const ticks = peers.map((p) => ticksBetweenDigests(self, p, 59));
  expect((ticks[0] ?? 0) / TICKS_A_SECOND).toBeLessThan(0.5);
  expect(ticks[1]).toBeGreaterThan(ticks[0] ?? 0);
  expect(ticks[2]).toBeGreaterThan(ticks[1] ?? 0);
});

test("digests take at most a tenth of a slow link, up to 300 instances", () => {
  expect(digestBps(6, 10)).toBeLessThan(LINK_BPS / 10);
  expect(digestBps(6, 50)).toBeLessThan(LINK_BPS / 10);
});

test("owners of engines and instances that serve callers exchange digests often", () => {
  const owner = { ...self, serves: false, orders: true };
  const idle = { ...self, serves: false };
  const often = ticksBetweenDigests(self, self, 59);
  expect(often / TICKS_A_SECOND).toBeLessThan(0.5);
  expect(ticksBetweenDigests(self, owner, 59)).toBe(often);
  expect(ticksBetweenDigests(owner, self, 59)).toBe(often);
  expect(ticksBetweenDigests(self, idle, 59)).toBeGreaterThan(often);
  expect(ticksBetweenDigests(idle, self, 59)).toBeGreaterThan(often);
  expect(ticksBetweenDigests(owner, owner, 59)).toBeGreaterThan(often);
});
