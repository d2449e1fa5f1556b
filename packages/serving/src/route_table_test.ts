import { expect, test } from "vitest";
import { pickService, RouteTable } from "./route_table.ts";
import type { Configuration, Route } from "./types.ts";

function route(name: string, pathPrefix: string): Route {
  return {
    name,
    host: "shop.example",
    pathPrefix,
    kind: "safe",
    timeoutMs: 1000,
    targetLatencyMs: 100,
    priority: 0,
    services: [{ service: "s1", weight: 90 }, { service: "s2", weight: 10 }],
    maxAttempts: 1,
    isPublic: false,
    resumable: false,
  };
}

const configuration: Configuration = {
  version: 1,
  routes: [route("short", "/a/"), route("long", "/a/b/")],
  services: [],
  workspaces: [{
    name: "w",
    keys: ["k1", "k2"],
    priority: undefined,
    countsTokens: true,
    defaultTokens: 200,
    ratePerSecond: 1,
    burst: 1,
  }],
  limits: {
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
  },
};

test("the longest prefix wins; the query is not part of the path", () => {
  const table = new RouteTable(configuration);
  expect(table.findRoute("SHOP.example:80", "/a/b/c")?.name).toBe("long");
  expect(table.findRoute("shop.example", "/a/x?y=/a/b/")?.name).toBe("short");
  expect(table.findRoute("shop.example", "/a")).toBeUndefined();
  expect(table.findRoute("other.example", "/a/b/c")).toBeUndefined();
});

test("a workspace is found by each of its keys", () => {
  const table = new RouteTable(configuration);
  expect(table.findWorkspace("k2")?.name).toBe("w");
  expect(table.findWorkspace("k3")).toBeUndefined();
});

test("a route with several services picks one by weight", () => {
  const split = route("r", "/");
  expect(pickService(split, 0.89)).toBe("s1");
  expect(pickService(split, 0.91)).toBe("s2");
});

test("homes change while a request runs: the newest count, of route and workspace", () => {
  const [short, long] = configuration.routes;
  const [workspace] = configuration.workspaces;
  if (short === undefined || long === undefined || workspace === undefined) {
    throw new Error("incomplete configuration");
  }
  const newer = new RouteTable({
    ...configuration,
    routes: [{ ...short, homeRegions: ["north", "south"] }, long],
    workspaces: [{ ...workspace, homeRegions: ["south", "west"] }],
  });
  expect([...newer.homeRegionsOf(short, workspace) ?? []]).toEqual(["south"]);
  expect([...newer.homeRegionsOf(long, workspace) ?? []]).toEqual([
    "south",
    "west",
  ]);
  expect(newer.homeRegionsOf(long, undefined)).toBeUndefined();
  // A route that is gone keeps the homes that it had.
  const gone = { ...route("gone", "/g/"), homeRegions: ["west"] };
  expect([...newer.homeRegionsOf(gone, undefined) ?? []]).toEqual(["west"]);
  expect([...newer.steeringRegionsOf("SHOP.example:80") ?? []]).toEqual([
    "north",
    "south",
  ]);
  expect(newer.steeringRegionsOf("other.example")).toBeUndefined();
});
