import type { Member } from "@banyanlb/serving";
import { memberOf } from "@banyanlb/serving/testing";
import { expect, test } from "vitest";
import type { PeerMessage } from "../peer_messages.ts";
import { PeerConfirmation } from "./peer_confirmation.ts";

/** What each peer knows: the revision of the records that assign work; undefined
 * for one that does not reply. */
type Peers = Readonly<Record<string, number | undefined>>;

/** Asks the peers on behalf of an instance that knows the records of `revision`.
 * Resolves to the result and the names of the peers whose records were fetched. */
async function confirm(peers: Peers, revision: number) {
  const pulled: string[] = [];
  const members = Object.keys(peers).map((name) => memberOf(name, {}));
  let known = revision;
  const confirmation = new PeerConfirmation({
    members: { list: () => members },
    records: () => ({
      kinds: ["configuration", "assignment"],
      summary: () => ({ revision: known, fingerprint: 0 }),
      pull: ({ name }: Member) => {
        pulled.push(name);
        known = Math.max(known, peers[name] ?? 0);
        return Promise.resolve(true);
      },
    }),
    links: () => ({
      ask: (address, build): Promise<PeerMessage | undefined> => {
        const { n } = build(1) as { readonly n: number };
        const peer = members.find(({ peerAddress }) => peerAddress === address);
        const found = peers[peer?.name ?? ""];
        return Promise.resolve(
          found === undefined
            ? undefined
            : { t: "confirmed", n, kinds: [[1, 0, 0], [found, 0, 0]] },
        );
      },
    }),
  });
  return { isConfirmed: await confirmation.confirm(), pulled };
}

// Guards against an instance that is cut off and takes peers of which it heard a
// moment ago for ones that know nothing newer.
test("peers that do not reply confirm nothing", async () => {
  const cases: readonly [Peers, boolean][] = [
    [{}, false],
    [{ b: undefined }, false],
    [{ b: undefined, c: undefined, d: 5 }, false],
    [{ b: undefined, c: 5, d: 5 }, true],
    [{ b: 5, c: undefined }, true],
  ];
  for (const [peers, isConfirmed] of cases) {
    expect(await confirm(peers, 5)).toEqual({ isConfirmed, pulled: [] });
  }
});

test("newer records of a peer are fetched", async () => {
  const { isConfirmed, pulled } = await confirm({ b: 5, c: 7, d: 4 }, 5);
  expect(pulled).toEqual(["c"]);
  expect(isConfirmed).toBe(true);
});

test("a large fleet is not asked as a whole", async () => {
  const names = Array.from({ length: 200 }, (_, i) => [`i${i}`, 9] as const);
  const { pulled } = await confirm(Object.fromEntries(names), 1);
  expect(pulled.length).toBeGreaterThan(0);
  expect(pulled.length).toBeLessThanOrEqual(16);
});
