import { EngineChooser, EngineTable, RouteTable } from "@banyanlb/serving";
import { expect, test } from "vitest";
import { explainUrl } from "./explain_command.ts";
import {
  type ExplainDependencies,
  explainRequest,
} from "./explain_endpoint.ts";

const routeTable = new RouteTable({
  version: 7,
  routes: [{
    name: "chat",
    host: "api.example",
    pathPrefix: "/chat/",
    kind: "safe",
    timeoutMs: 2000,
    targetLatencyMs: 100,
    priority: 0,
    services: [{ service: "llm", weight: 1 }],
    maxAttempts: 1,
    isPublic: false,
    resumable: false,
    homeRegions: ["north", "south"],
  }],
  services: [],
  workspaces: [{
    name: "w",
    keys: ["secret"],
    priority: undefined,
    countsTokens: false,
    defaultTokens: 1,
    ratePerSecond: 0,
    burst: 0,
    homeRegions: ["south"],
  }],
  limits: {
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
  },
});

const deps: ExplainDependencies = {
  routeTable: () => routeTable,
  chooser: new EngineChooser(new EngineTable()),
  selectionContextAt: (now) => ({
    zone: "z",
    regionOf: () => "north",
    canOrder: () => true,
    roomOf: () => "open",
    linkMs: () => 0,
    now,
  }),
  versionOf: () => 0,
  oldestVersionOf: () => 0,
  crashProtection: {
    guard: () => {
      throw new Error("nothing is sent");
    },
    held: () => [{ request: "req-5f", crashes: 2, trialInMs: 9000 }],
  },
};

function ask(request: Parameters<typeof explainUrl>[0]) {
  const url = explainUrl({ at: "http://127.0.0.1:7600", ...request });
  return explainRequest(deps, `${url.pathname}${url.search}`);
}

test("a question names the request as a caller would, with the workspace's name", () => {
  expect(
    ask({ host: "api.example", path: "/chat/1", workspace: "w", model: "m" }),
  ).toMatchObject({
    configuration: 7,
    route: "chat",
    workspace: "w",
    homes: ["south"],
    services: [{
      service: "llm",
      weight: 1,
      choice: { decision: "refuse", reason: "no_engine" },
    }],
  });
});

// Guards against an operator who is told that a request would be sent although it is
// held.
test("an answer names what is held", () => {
  expect(ask({ host: "api.example", path: "/chat/1", workspace: "w" }))
    .toMatchObject({ held: [{ request: "req-5f", trialInMs: 9000 }] });
});

test("a question that fits nothing is answered with the remedy", () => {
  expect(ask({ host: "api.example", path: "/x" })).toMatchObject({
    error: expect.stringContaining("/x"),
    remedy: expect.any(String),
  });
  expect(
    ask({ host: "api.example", path: "/chat/", workspace: "secret" }),
  ).toMatchObject({ remedy: expect.stringContaining("not a key") });
  expect(() => explainUrl({ host: "api.example" })).toThrow(/--at/);
});
