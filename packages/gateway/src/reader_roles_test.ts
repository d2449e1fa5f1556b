import { type Member, MemberTable } from "@banyanlb/serving";
import { hearOf, memberOf } from "@banyanlb/serving/testing";
import { expect, test } from "vitest";
import { SHARED_KINDS } from "./peer_messages.ts";
import { ReaderRoles } from "./reader_roles.ts";

const NEAR_ROUND_TRIP_MS = 5;
const FAR_ROUND_TRIP_MS = 21;

function regionMember(i: number): Member {
  const region = i % 2 === 0 ? "far" : "near";
  const name = `${region}${String(i).padStart(2, "0")}`;
  return memberOf(name, { zone: region, region });
}

/** The roles of each instance of a fleet in two regions, by name. */
function rolesOf(size: number, isReachable = (_: string) => true) {
  const members = Array.from({ length: size }, (_, i) => regionMember(i));
  return new Map(members.map((self) => {
    const table = new MemberTable(self.name, 0);
    for (const member of members) {
      table.add(member);
      hearOf(table, member.name, {
        now: 0,
        reachesStore: isReachable(member.name),
        storeRoundTripMs: roundTripOf(member),
      });
    }
    const roles = new ReaderRoles({
      self,
      members: table,
      reachesStore: () => isReachable(self.name),
      storeRoundTripMs: () => roundTripOf(self),
      onBecomeReader: () => undefined,
    });
    roles.update(100);
    return [self.name, roles] as const;
  }));
}

function roundTripOf({ region }: Member): number {
  return region === "near" ? NEAR_ROUND_TRIP_MS : FAR_ROUND_TRIP_MS;
}

function namesOf(roles: ReaderRoles | undefined) {
  return roles?.leads.map(({ name }) => name);
}

// Guards against a lead that fetches each list over the link between regions,
// since its name comes first.
test("the lead is in the region that is nearest to the store", () => {
  const roles = rolesOf(8);
  expect(roles.get("near01")?.role).toBe("lead");
  expect(namesOf(roles.get("far00"))).toEqual(["near01", "near03"]);
  expect(roles.get("far00")?.role).toBe("member");
});

// Guards against every instance of a far region using the link.
test("in a large fleet two instances of a far region ask on its behalf", () => {
  const roles = rolesOf(60);
  expect(roles.get("near01")?.role).toBe("relayed_lead");
  const asking = [...roles].filter(([name, { leads }]) =>
    name.startsWith("far") && leads.some((m) => m.region === "near")
  );
  expect(asking.map(([name]) => name)).toEqual(["far00", "far02"]);
  expect(roles.get("far00")?.role).toBe("relay");
  expect(roles.get("far02")?.role).toBe("second_relay");
  expect(namesOf(roles.get("far02"))).toEqual(["near01", "near03", "far00"]);
  expect(roles.get("far58")?.role).toBe("last");
  expect(namesOf(roles.get("far58"))).toEqual(
    ["far00", "far02", "far04", "far06"],
  );
  expect(namesOf(roles.get("near59"))).toEqual(
    ["near01", "near03", "near05", "near07"],
  );
});

// Guards against a region whose instances all read lists once its leads are
// lost.
test("a few instances read lists before the rest does", () => {
  const roles = rolesOf(60);
  expect(roles.get("far04")?.role).toBe("backup");
  expect(namesOf(roles.get("far06"))).toEqual(["far00", "far02", "far04"]);
  expect(roles.get("far08")?.role).toBe("last");
});

// Guards against a region that hears of nothing while its readers are cut off
// from the store.
test("instances that the store turns away are no leads", () => {
  const roles = rolesOf(60, (name) => !["far00", "near01"].includes(name));
  expect(roles.get("near03")?.role).toBe("relayed_lead");
  expect(namesOf(roles.get("near01"))?.slice(0, 2)).toEqual(
    ["near03", "near05"],
  );
  expect(namesOf(roles.get("far58"))?.slice(0, 2)).toEqual(["far02", "far04"]);
  expect(namesOf(roles.get("far00"))?.slice(0, 2)).toEqual(["far02", "far04"]);
});

// Guards against copies of a new configuration that cross the link since a peer
// in another region was the first to announce it.
test("records are expected from the own region first", () => {
  const roles = rolesOf(60).get("far58");
  for (const kind of SHARED_KINDS) {
    const options = { kind, now: 100 };
    expect(roles?.expectsRecordsBefore(regionMember(1), options)).toBe(true);
    expect(roles?.expectsRecordsBefore(regionMember(0), options)).toBe(false);
  }
});
