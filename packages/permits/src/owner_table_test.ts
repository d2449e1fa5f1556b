import { expect, test } from "vitest";
import { SafetyRules } from "./safety_rules.ts";
import { acquire, fillSlots, startWorld, target } from "./testing/world.ts";

test("an adapter is loaded once for several permit requests", async () => {
  const { world, entry } = await startWorld(undefined, false);
  const requests = Promise.all([1, 2, 3].map(() => world.ask(entry, "a@1")));
  const replies = await world.resultWithin(1_000, requests);
  expect(replies).toMatchObject([1, 2, 3].map(() => ({ kind: "granted" })));
  expect(world.engine.orders).toEqual(["load a@1"]);
});

class EvictInUse extends SafetyRules {
  override mayEvict() {
    return true;
  }
}

async function violationsWhenFull(rules?: SafetyRules) {
  const { world, entry } = await startWorld(rules);
  await fillSlots(world, entry, 15_000);
  const third = world.ask(entry, "c@1", 20_000);
  await world.advance(10_000);
  const violations = [...world.engine.violations];
  expect(await world.resultWithin(10_000, third)).toMatchObject({
    kind: "granted",
  });
  return violations;
}

test("no adapter with an outstanding permit is evicted", async () => {
  expect(await violationsWhenFull()).toEqual([]);
  expect(await violationsWhenFull(new EvictInUse())).not.toEqual([]);
});

class GrantAfterExpiry extends SafetyRules {
  override mayGrant() {
    return true;
  }
}

async function lateGrants(rules?: SafetyRules) {
  const { world, entry } = await startWorld(rules);
  await fillSlots(world, entry, 10);
  const waiting = world.ask(entry, "c@1");
  await world.expireLease(3_000);
  await world.resultWithin(100, world.ask(entry, "a@1"));
  await world.resultWithin(5_000, waiting);
  return world.late_grants;
}

test("no permit is granted once the lease has expired", async () => {
  expect(await lateGrants()).toEqual([]);
  expect(await lateGrants(new GrantAfterExpiry())).not.toEqual([]);
});

class EvictBeforeReports extends SafetyRules {
  override mayEvict(facts: Parameters<SafetyRules["mayEvict"]>[0]) {
    return super.mayEvict({ ...facts, unreported_count: 0, in_doubt: false });
  }
}

async function violationsAtTakeOver(rules?: SafetyRules) {
  const { world, entry } = await startWorld(rules);
  const other = world.addEntry("e2");
  await fillSlots(world, entry, 15_000);
  entry.is_reachable = false;
  await world.expireLease(3_000);
  world.takeOver();
  const cold = world.ask(other, "c@1", 18_000);
  const warm = world.resultWithin(1_000, world.ask(other, "a@1"));
  expect(await warm).toMatchObject({ kind: "granted" });
  await world.advance(8_000);
  entry.is_reachable = true;
  await world.resultWithin(12_000, cold);
  return world.engine.violations;
}

test("a new owner evicts no adapter before the entries report", async () => {
  expect(await violationsAtTakeOver()).toEqual([]);
  expect(await violationsAtTakeOver(new EvictBeforeReports())).not.toEqual([]);
});

test("permits of an ended member count until the deadline", async () => {
  const { world, entry } = await startWorld();
  const other = world.addEntry("e2");
  await fillSlots(world, entry, 19_000);
  entry.is_reachable = false;
  await world.expireLease(3_000);
  const owners = world.takeOver();
  owners.memberEnded("e1");
  const early = await world.resultWithin(
    12_000,
    world.ask(other, "c@1", 10_000),
  );
  expect(early).toMatchObject({ kind: "busy" });
  await world.advance(10_000);
  const late = await world.resultWithin(6_000, world.ask(other, "c@1"));
  expect(late).toMatchObject({ kind: "granted" });
  expect(world.engine.violations).toEqual([]);
});

test("no permit is granted while a former order may take effect", async () => {
  for (const fencing of [true, false]) {
    const { world, entry } = await startWorld(undefined, fencing);
    await fillSlots(world, entry, 10);
    await world.advance(2_000);
    world.engine.next_outcomes = ["late"];
    void world.ask(entry, "c@1", 1_000);
    await world.expireLease(3_100);
    world.takeOver();
    const kept = await world.resultWithin(
      8_000,
      world.ask(entry, "a@1", 9_000),
    );
    expect(kept).toMatchObject({ kind: "granted" });
    const { permit_id } = kept as { readonly permit_id: string };
    void world.run(entry, { permit_id, version: "a@1" }, 5_000);
    await world.advance(6_000);
    expect(world.engine.violations).toEqual([]);
  }
});

test("adapters are loaded again after the engine restarts empty", async () => {
  const { world, entry } = await startWorld();
  const { permit_id } = await acquire(world, entry, "a@1");
  world.engine.restart();
  const version = "a@1";
  expect(await world.run(entry, { permit_id, version }, 10)).toBe("not_loaded");
  const again = await acquire(world, entry, version);
  const request = { permit_id: again.permit_id, version };
  expect(await world.resultWithin(100, world.run(entry, request, 10))).toBe(
    "done",
  );
});

test("failed loads and failing targets are refused by kind", async () => {
  const { world, entry } = await startWorld();
  world.engine.next_outcomes = ["failed", "failed"];
  const failed = await world.resultWithin(
    4_000,
    world.ask(entry, "a@1", 9_000),
  );
  expect(failed).toMatchObject({ kind: "load_failed" });
  for (const version of ["b@1", "b@1", "b@1"]) {
    const { permit_id } = await acquire(world, entry, version);
    entry.ledger.release(permit_id, "failed");
  }
  world.engine.down = true;
  await world.advance(100);
  const open = await world.resultWithin(100, world.ask(entry, "b@1"));
  expect(open).toMatchObject({ kind: "unavailable" });
  world.engine.down = false;
  await world.advance(3_000);
  await acquire(world, entry, "b@1");
});

test("a handoff keeps permits, a leaving target gets none", async () => {
  const { world, entry } = await startWorld();
  await fillSlots(world, entry, 9_000);
  const waiting = world.ask(entry, "c@1");
  const handoff = await world.owners!.quiesce(target.name);
  expect(await waiting).toMatchObject({ kind: "not_owner" });
  const next = world.takeOver(handoff);
  await world.advance(100);
  expect(next.running(target.name)).toBe(2);
  await world.advance(9_500);
  expect(next.running(target.name)).toBe(0);
  next.updateTarget({ ...world.target, leaving: true });
  const refused = await world.resultWithin(100, world.ask(entry, "a@1"));
  expect(refused).toMatchObject({ kind: "leaving" });
});

test("a report request of a newer owner revokes unused permits", async () => {
  const { world, entry } = await startWorld();
  const { permit_id } = await acquire(world, entry, "a@1");
  world.takeOver();
  await world.advance(100);
  expect(entry.ledger.use(permit_id)).toMatchObject({ reason: "revoked" });
});
