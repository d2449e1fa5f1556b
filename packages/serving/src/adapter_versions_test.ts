import { expect, test } from "vitest";
import { AdapterVersions } from "./adapter_versions.ts";

const ADAPTER = "m/a1";

// VERSION: when a third version was announced, the first was used again
// although its successor had been announced long before.
test("a later version does not bring back one that was replaced before", () => {
  const versions = new AdapterVersions();
  versions.announce(ADAPTER, { version: 1, receivedAt: 0 });
  versions.announce(ADAPTER, { version: 2, receivedAt: 10_000 });
  expect(versions.oldestUsable(ADAPTER, 12_000)).toBe(1);
  expect(versions.oldestUsable(ADAPTER, 13_000)).toBe(2);
  versions.announce(ADAPTER, { version: 3, receivedAt: 18_000 });
  expect(versions.oldestUsable(ADAPTER, 18_000)).toBe(2);
  expect(versions.oldestUsable(ADAPTER, 21_000)).toBe(3);
});

test("versions in quick succession: each is replaced by its own successor", () => {
  const versions = new AdapterVersions();
  versions.announce(ADAPTER, { version: 1, receivedAt: -Infinity });
  for (const version of [2, 3, 4]) {
    versions.announce(ADAPTER, { version, receivedAt: version * 1000 });
  }
  const oldestAt = [4000, 4500, 5500, 6500].map((now) =>
    versions.oldestUsable(ADAPTER, now)
  );
  expect(oldestAt).toEqual([1, 2, 3, 4]);
  expect(versions.newestOf(ADAPTER)).toBe(4);
});

test("versions that come late or twice change nothing", () => {
  const versions = new AdapterVersions();
  expect(versions.announce(ADAPTER, { version: 3, receivedAt: 0 })).toBe(true);
  expect(versions.announce(ADAPTER, { version: 3, receivedAt: 9000 }))
    .toBe(false);
  expect(versions.announce(ADAPTER, { version: 2, receivedAt: 9000 }))
    .toBe(false);
  expect(versions.oldestUsable(ADAPTER, 9000)).toBe(3);
});

test("an adapter without announced versions may be used in any version", () => {
  const versions = new AdapterVersions();
  expect(versions.newestOf(ADAPTER)).toBe(0);
  expect(versions.oldestUsable(ADAPTER, 0)).toBe(0);
});
