import { expect, test } from "vitest";
import { target, World } from "./testing/world.ts";

test("a plain service gets permits again after three failures", async () => {
  const world = new World();
  world.target = { ...target, type: "service" };
  const entry = world.addEntry("e1");
  world.takeOver();
  for (let i = 0; i < 3; i++) {
    const reply = await world.resultWithin(2_000, world.ask(entry, undefined));
    expect(reply).toMatchObject({ kind: "granted" });
    if (reply === "pending" || reply?.kind !== "granted") return;
    entry.ledger.use(reply.permit_id);
    entry.ledger.release(reply.permit_id, "failed");
    await world.advance(1_000);
  }
  await world.advance(120_000);
  const later = await world.resultWithin(2_000, world.ask(entry, undefined));
  expect(later).toMatchObject({ kind: "granted" });
});
