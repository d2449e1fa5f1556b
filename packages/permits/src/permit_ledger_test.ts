import { expect, test } from "vitest";
import type { PermitLedger } from "./permit_ledger.ts";
import { World } from "./testing/world.ts";

const target = "engine-1";

function start() {
  const world = new World();
  return { world, ledger: world.addEntry("e1").ledger };
}

function openRequest(ledger: PermitLedger): string {
  return ledger.open({
    target,
    version: "a@1",
    workspace: "w",
    class: "interactive",
    tokens: 10,
    deadline_ms: 5_000,
  }).id;
}

function grant(ledger: PermitLedger, id: string, epoch: number) {
  return ledger.accept(id, {
    kind: "granted",
    permit_id: id,
    epoch,
    deadline_ms: 5_000,
    use_within_ms: 2_000,
  });
}

test("a report lists only the permits of older epochs that are in use", () => {
  const { ledger } = start();
  const [used, unused] = [openRequest(ledger), openRequest(ledger)];
  for (const id of [used, unused]) grant(ledger, id, 1);
  expect(ledger.use(used)).toMatchObject({ usable: true });
  const report = ledger.report({ target, epoch: 2 });
  expect(report.map((permit) => permit.id)).toEqual([used]);
  expect(ledger.use(unused)).toMatchObject({ reason: "revoked" });
});

test("a grant of an older epoch that arrives after a report is revoked", () => {
  const { ledger } = start();
  const id = openRequest(ledger);
  ledger.report({ target, epoch: 2 });
  expect(grant(ledger, id, 1)).toBeUndefined();
  expect(ledger.use(id)).toMatchObject({ usable: false });
});

test("a permit cannot be used late, as after a suspension", () => {
  const { world, ledger } = start();
  const id = openRequest(ledger);
  world.clock.advance(1_500);
  grant(ledger, id, 1);
  world.clock.advance(501);
  expect(ledger.use(id)).toMatchObject({ reason: "late" });
});
