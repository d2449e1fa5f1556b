import { expect, test } from "vitest";
import { type ReadyMember, Steering } from "./steering.ts";

function member(
  name: string,
  zone: string,
  rest: Partial<ReadyMember> = {},
): ReadyMember {
  return {
    name,
    zone,
    region: zone === "c" ? "south" : "north",
    peerAddress: `${name}:1`,
    callerAddress: name,
    incarnation: "i",
    cores: 1,
    busy: 0,
    ...rest,
  };
}

const evenFleet = [
  member("a1", "a"),
  member("a2", "a"),
  member("b1", "b"),
  member("c1", "c"),
];

/** Two machines with many cores and three with few. */
function unevenFleet(busy: number): readonly ReadyMember[] {
  return [
    member("a1", "a", { busy }),
    member("a2", "a", { cores: 0.9, busy }),
    member("a3", "a", { cores: 0.3 }),
    member("a4", "a", { cores: 0.3 }),
    member("a5", "a", { cores: 0.3 }),
  ];
}

const location = { zone: "a", region: "north" };

// With one instance left in its region a caller was sent to all others, also in
// regions where its requests may not be received.
test("instances lost in the caller's region: callers of a bound host stay in their homes", () => {
  const steering = new Steering();
  const ready = [
    member("a1", "a"),
    member("c1", "c"),
    member("c2", "c"),
    member("d1", "d", { region: "west" }),
  ];
  const select = (homes: ReadonlySet<string> | undefined) =>
    steering.selectAddresses(ready, { ...location, homes }, 0);
  expect(select(new Set(["north"]))).toEqual(["a1"]);
  expect(select(new Set(["south"]))).toEqual(["a1", "c1", "c2"]);
  expect(select(undefined)).toHaveLength(4);
  const elsewhere = ready.slice(3);
  expect(
    steering.selectAddresses(elsewhere, {
      ...location,
      homes: new Set(["south"]),
    }, 0),
  ).toEqual(["d1"]);
});

function addressesFor(ready: readonly ReadyMember[], zone: string) {
  const region = zone === "c" ? "south" : "north";
  return new Steering().selectAddresses(ready, { zone, region }, 0);
}

test("callers get the addresses of their zone while it has two instances", () => {
  expect(addressesFor(evenFleet, "a")).toEqual(["a1", "a2"]);
});

test("zone with one instance left: callers get the addresses of the region", () => {
  expect(addressesFor(evenFleet, "b")).toHaveLength(3);
});

test("whole region lost: callers get the addresses of all instances", () => {
  expect(addressesFor(evenFleet.slice(0, 3), "c")).toHaveLength(3);
});

test("uneven machines: callers get the strong ones while these have capacity left", () => {
  expect(addressesFor(unevenFleet(0.2), "a")).toEqual(["a1", "a2"]);
});

test("burst on uneven machines: the weak ones are used too, and for a while after it", () => {
  const steering = new Steering();
  expect(steering.selectAddresses(unevenFleet(0.8), location, 0)).toHaveLength(
    5,
  );
  expect(steering.selectAddresses(unevenFleet(0.1), location, 5000))
    .toHaveLength(5);
  expect(steering.selectAddresses(unevenFleet(0.1), location, 60_000))
    .toHaveLength(2);
});

test("one strong machine left: callers get the weak ones too", () => {
  expect(addressesFor(unevenFleet(0.2).slice(1), "a")).toHaveLength(4);
});
