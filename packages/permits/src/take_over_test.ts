import { expect, test } from "vitest";
import { fillSlots, startWorld } from "./testing/world.ts";

const MAX_WAIT_MS = 8_000;

test("evictions resume soon after an owner is lost while idle", async () => {
  const { world, entry } = await startWorld();
  const other = world.addEntry("e2");
  await fillSlots(world, entry, 10);
  await world.advance(1_000);
  entry.is_reachable = false;
  await world.expireLease(3_000);
  world.takeOver().memberEnded("e1");
  const cold = await world.resultWithin(
    MAX_WAIT_MS,
    world.ask(other, "c@1", MAX_WAIT_MS),
  );
  expect(cold).toMatchObject({ kind: "granted" });
  expect(world.engine.violations).toEqual([]);
});
