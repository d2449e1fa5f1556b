import type { QueuedRequest } from "@banyanlb/core";
import { expect, test } from "vitest";
import { FairQueue } from "./fair_queue.ts";
import { FifoQueue } from "./fifo_queue.ts";

const TOKENS = 100;

let next_id = 0;

function request(
  workspace: string,
  fields: Partial<QueuedRequest> = {},
): QueuedRequest {
  next_id += 1;
  return {
    id: String(next_id),
    version: undefined,
    workspace,
    weight: 1,
    class: "interactive",
    tokens: TOKENS,
    queued_at: 0,
    ...fields,
  };
}

const accept_all = { now: 0, accepts: () => true };

/** Returns the share of the served tokens that goes to workspace `small`. It
 * offers half of the tokens served per turn. Workspace `flood` offers five
 * times that, in requests with a tenth of the tokens. */
function serveSmallShare(queue: FairQueue | FifoQueue, turns: number) {
  const served = new Map<string, number>();
  for (let turn = 0; turn < turns; turn++) {
    for (let i = 0; i < 25; i++) queue.add(request("flood", { tokens: 10 }));
    if (turn % 2 === 0) queue.add(request("small"));
    for (let budget = TOKENS; budget > 0;) {
      const taken = queue.take(accept_all);
      if (taken === undefined) break;
      budget -= taken.tokens;
      const sum = served.get(taken.workspace) ?? 0;
      served.set(taken.workspace, sum + taken.tokens);
    }
  }
  return (served.get("small") ?? 0) / (turns * TOKENS);
}

test("a workspace that offers five times its share gets only its share", () => {
  expect(serveSmallShare(new FairQueue(), 2_000)).toBeGreaterThan(0.95 * 0.5);
  expect(serveSmallShare(new FifoQueue(), 2_000)).toBeLessThan(0.95 * 0.5);
});

test("workspaces share the tokens by weight, as settled", () => {
  const queue = new FairQueue(10_000);
  for (let i = 0; i < 600; i++) {
    queue.add(request("one"));
    queue.add(request("two", { weight: 2 }));
    queue.add(request("frugal"));
  }
  const served: Record<string, number> = { one: 0, two: 0, frugal: 0 };
  for (let i = 0; i < 500; i++) {
    const { workspace, class: request_class } = queue.take(accept_all)!;
    served[workspace]! += 1;
    if (workspace !== "frugal") continue;
    // Requests of this workspace use half of their charged tokens.
    queue.settle({ workspace, class: request_class, tokens: -TOKENS / 2 });
  }
  expect(served.one).toBeCloseTo(100, -1);
  expect(served.two).toBeCloseTo(200, -1);
  expect(served.frugal).toBeCloseTo(200, -1);
});

test("interactive requests go first, aged batch requests get a tenth", () => {
  const queue = new FairQueue(10_000);
  for (let i = 0; i < 500; i++) queue.add(request("night", { class: "batch" }));
  let batch = 0;
  const count = (now: number) => {
    queue.add(request("day", { queued_at: now }));
    const taken = queue.take({ now, accepts: () => true });
    if (taken?.class === "batch") batch += 1;
  };
  for (let i = 0; i < 100; i++) count(0);
  expect(batch).toBe(0);
  for (let i = 0; i < 1_000; i++) count(60_000);
  expect(batch).toBeGreaterThan(90);
  expect(batch).toBeLessThan(130);
});

test("one workspace cannot fill the queue, and the queue is bounded", () => {
  const queue = new FairQueue(100);
  for (let i = 0; i < 500; i++) queue.add(request("flood"));
  expect(queue.size).toBe(50);
  expect(queue.add(request("small"))).toBe(true);
  for (let i = 0; i < 500; i++) queue.add(request(`w${i}`));
  expect(queue.size).toBe(100);
});

test("requests are grouped by version until the oldest waited too long", () => {
  const createFilledQueue = () => {
    const queue = new FairQueue();
    for (const version of ["a", "b", "a", "b"]) {
      queue.add(request("w", { version }));
    }
    return queue;
  };
  const takeVersions = (queue: FairQueue, now: number) =>
    [1, 2, 3, 4].map(() => queue.take({ now, accepts: () => true })?.version);
  expect(takeVersions(createFilledQueue(), 10)).toEqual(["a", "a", "b", "b"]);
  expect(takeVersions(createFilledQueue(), 1_000)).toEqual([
    "a",
    "b",
    "a",
    "b",
  ]);
});

test("a workspace that could not be served catches up later", () => {
  const queue = new FairQueue();
  for (let i = 0; i < 40; i++) {
    queue.add(request("warm"));
    queue.add(request("cold", { version: "c" }));
  }
  const loading = { now: 0, accepts: (a: QueuedRequest) => a.version !== "c" };
  for (let i = 0; i < 10; i++) queue.take(loading);
  const next = [...Array(10)].map(() => queue.take(accept_all)?.workspace);
  expect(next).toEqual(Array(10).fill("cold"));
});
