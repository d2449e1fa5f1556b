import { buildObjects, loadDeployment } from "@banyanlb/standins";
import { expect, test } from "vitest";
import { WARM_UP_MS } from "./constants.ts";
import { floodingWorkspace, makeArrivals } from "./workload.ts";

const deployment = loadDeployment("kim_quy");
const { routes } = buildObjects(deployment, { urls: new Map() });
const options = {
  deployment,
  routes,
  engines: 11,
  duration_ms: WARM_UP_MS + 60_000,
  flood_at_ms: WARM_UP_MS + 40_000,
};

test("arrivals are the same for equal seeds only", () => {
  const first = makeArrivals({ ...options, seed: 1 });
  expect(makeArrivals({ ...options, seed: 1 })).toEqual(first);
  expect(makeArrivals({ ...options, seed: 2 })).not.toEqual(first);
});

test("only one workspace exceeds its rate, by a factor of five", () => {
  const arrivals = makeArrivals({ ...options, seed: 3 });
  const flood = arrivals.filter((row) => row.phase === "flood");
  const flooding = floodingWorkspace(deployment);
  for (const workspace of deployment.workspaces) {
    const rows = flood.filter((row) => row.workspace === workspace.name);
    const tokens = rows.reduce((sum, row) => sum + 135 + row.max_tokens, 0);
    const rate_ratio = tokens / 20 / workspace.rate_tokens_per_s;
    if (workspace.name === flooding) expect(rate_ratio).toBeGreaterThan(5);
    else expect(rate_ratio).toBeLessThan(1);
  }
});

test("few adapters get most requests, and many get some", () => {
  const arrivals = makeArrivals({ ...options, seed: 4 })
    .filter((row) => row.phase === "flood");
  const counts = new Map<string, number>();
  for (const { route } of arrivals) {
    counts.set(route, (counts.get(route) ?? 0) + 1);
  }
  const sorted = [...counts.values()].sort((a, b) => b - a);
  const top = sorted.slice(0, 20).reduce((sum, count) => sum + count, 0);
  expect(top / arrivals.length).toBeGreaterThan(0.5);
  expect(sorted.length).toBeGreaterThan(100);
});
