import type { Member } from "@banyanlb/core";
import { expect, test } from "vitest";
import { chooseAllSuccessors } from "./choose_successors.ts";

function createMembers(count: number, domains: number): Member[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `session-${i}`,
    instance: `i${i}`,
    peer_url: "ws://127.0.0.1:1",
    caller_url: "http://127.0.0.1:1",
    region: `r${(i % domains) % 5}`,
    failure_domain: `d${i % domains}`,
    state: "live" as const,
  }));
}

function countSessionsPerSuccessor(
  chosen: ReadonlyMap<string, readonly string[]>,
) {
  const counts = new Map<string, number>();
  for (const id of [...chosen.values()].flat()) {
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

test("successors are in two other failure domains and evenly spread", () => {
  for (const [count, domains] of [[9, 3], [350, 11]] as const) {
    const members = createMembers(count, domains);
    const chosen = chooseAllSuccessors(members);
    for (const member of members) {
      const successorDomains = (chosen.get(member.id) ?? []).map((id) =>
        members.find((other) => other.id === id)?.failure_domain
      );
      expect(new Set([...successorDomains, member.failure_domain]).size).toBe(
        3,
      );
    }
    expect(Math.max(...countSessionsPerSuccessor(chosen).values()))
      .toBeLessThan(5);
  }
});

test("the loss of a member changes few other members' successors", () => {
  const members = createMembers(350, 11);
  const before = chooseAllSuccessors(members);
  const after = chooseAllSuccessors(members.slice(0, -1));
  const changed = [...after].filter(([id, successors]) =>
    String(successors) !== String(before.get(id))
  );
  expect(changed.length).toBeLessThan(20);
});

test("leaving members are not chosen; a member of the same domain is the last resort", () => {
  const [a, b, c] = createMembers(3, 1) as [Member, Member, Member];
  const chosen = chooseAllSuccessors([a, b, { ...c, state: "leaving" }]);
  expect(chosen.get(a.id)).toEqual([b.id]);
  expect(chosen.get(c.id)?.toSorted()).toEqual([a.id, b.id]);
});
