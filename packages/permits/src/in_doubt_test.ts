import { expect, test } from "vitest";
import { type EvictionFacts, SafetyRules } from "./safety_rules.ts";
import { acquire, fillSlots, startWorld } from "./testing/world.ts";

class EvictBeforeReports extends SafetyRules {
  override mayEvict(facts: EvictionFacts) {
    return super.mayEvict({ ...facts, unreported_count: 0 });
  }
}

/** Violations when an entry loses its connection while it holds unused permits,
 * just before another owner takes over. */
async function violationsWithUnusedPermits(rules?: SafetyRules) {
  const { world, entry } = await startWorld(rules);
  const other = world.addEntry("e2");
  await fillSlots(world, entry, 10);
  await world.advance(100);
  world.endLeaseIn(3_000);
  await world.advance(2_900);
  for (const version of ["a@1", "b@1"]) {
    const permit = await acquire(world, entry, version);
    void world.holdUnused(version, 1_900).then(() =>
      world.run(entry, permit, 500)
    );
  }
  entry.is_reachable = false;
  await world.advance(200);
  world.takeOver().memberEnded("e1");
  await world.resultWithin(6_000, world.ask(other, "c@1"));
  return world.engine.violations;
}

test("a member whose session has ended may still use its permits", async () => {
  expect(await violationsWithUnusedPermits()).toEqual([]);
  expect(await violationsWithUnusedPermits(new EvictBeforeReports())).not
    .toEqual([]);
});

test("an engine report shows a request of an unknown entry", async () => {
  const { world, entry } = await startWorld();
  await fillSlots(world, entry, 15_000);
  world.entries.delete("e1");
  const other = world.addEntry("e2");
  await world.expireLease(3_000);
  world.takeOver();
  const cold = world.ask(other, "c@1", 18_000);
  await world.advance(9_000);
  expect(world.engine.orders).not.toContain("evict a@1");
  expect(await world.resultWithin(9_000, cold)).toMatchObject({
    kind: "granted",
  });
});

test("a lost release blocks an eviction until the deadline", async () => {
  const { world, entry } = await startWorld();
  const other = world.addEntry("e2");
  for (const version of ["a@1", "b@1"]) await acquire(world, entry, version);
  entry.is_reachable = false;
  const early = await world.resultWithin(
    15_000,
    world.ask(other, "c@1", 12_000),
  );
  expect(early).toMatchObject({ kind: "busy" });
  await world.advance(9_000);
  await acquire(world, other, "c@1");
});

test("an eviction without a reply may take effect late", async () => {
  const { world, entry } = await startWorld();
  await fillSlots(world, entry, 10);
  await world.advance(2_000);
  world.engine.next_outcomes = ["late"];
  void world.ask(entry, "c@1", 1_000);
  await world.advance(100);
  const victim = world.engine.orders.at(-1)!.split(" ")[1]!;
  const again = world.ask(entry, victim, 15_000);
  const reply = await world.resultWithin(15_000, again);
  expect(reply).toMatchObject({ kind: "granted" });
  const { permit_id } = reply as { readonly permit_id: string };
  void world.run(entry, { permit_id, version: victim }, 5_000);
  await world.advance(5_000);
  expect(world.engine.violations).toEqual([]);
});

test("an adapter in constant use is drained for a waiter", async () => {
  const { world, entry } = await startWorld();
  const keepBusy = async (version: string) => {
    while (world.clock.now() < 30_000) {
      const reply = await world.ask(entry, version, 20_000);
      if (reply?.kind !== "granted") return;
      const { permit_id } = reply;
      await world.run(entry, { permit_id, version }, 300);
    }
  };
  for (const version of ["a@1", "a@1", "b@1", "b@1"]) void keepBusy(version);
  await world.advance(2_000);
  await acquire(world, entry, "c@1");
});

test("releases are resent after a lost reply and connection", async () => {
  const { world, entry } = await startWorld();
  const { permit_id } = await acquire(world, entry, "a@1");
  entry.is_reachable = false;
  await world.resultWithin(100, world.ask(entry, "a@1"));
  entry.ledger.release(permit_id, "done");
  await world.advance(1_000);
  expect(world.owners!.running("engine-1")).toBe(2);
  entry.is_reachable = true;
  await world.advance(1_000);
  expect(world.owners!.running("engine-1")).toBe(0);
});

test("a handoff names the members that have not reported", async () => {
  const { world, entry } = await startWorld();
  entry.is_reachable = false;
  await world.expireLease(3_000);
  const owners = world.takeOver();
  await world.advance(500);
  const handoff = await owners.quiesce("engine-1");
  expect(handoff).toMatchObject({ unreported_sessions: ["e1"] });
  const next = world.takeOver(handoff);
  const release = { id: "x", target: "engine-1", outcome: "done" } as const;
  expect(next.release("e1", [release])).toEqual(["x"]);
  entry.is_reachable = true;
  await world.advance(500);
  expect(next.release("e1", [release])).toEqual([]);
});
