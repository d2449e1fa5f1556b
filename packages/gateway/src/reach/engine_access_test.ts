import { EventLog } from "@banyanlb/core";
import { PlatformCallerProtocol } from "@banyanlb/platform";
import {
  type EngineControl,
  EngineTable,
  MemberTable,
} from "@banyanlb/serving";
import { hearOf, memberOf } from "@banyanlb/serving/testing";
import pino from "pino";
import { expect, test } from "vitest";
import { GatewayMetrics } from "../metrics.ts";
import { EngineAccess } from "./engine_access.ts";

const ENGINE = { id: "e0", host: "127.0.0.1", port: 1 };

/** An instance without a path, whose engines refuse connections. */
function createAccess(isPeerCutOff: boolean): EngineAccess {
  const members = new MemberTable("a", performance.now());
  members.add(memberOf("b"));
  hearOf(members, "b", {
    now: performance.now(),
    takesPassed: true,
    cutOff: isPeerCutOff,
  });
  const access = new EngineAccess({
    self: memberOf("a"),
    members,
    engineTable: new EngineTable(),
    control: {
      probe: () => Promise.resolve("ended"),
    } as unknown as EngineControl,
    protocol: new PlatformCallerProtocol(),
    routeTable: () => undefined,
    orderGapMs: 1000,
    assignmentAgeMs: () => 0,
    onChange: () => undefined,
    servePassed: () => undefined,
    log: new EventLog(pino({ level: "silent" })),
    metrics: new GatewayMetrics(),
  });
  const now = performance.now();
  for (const engine of ["e0", "e1"]) {
    access.reach.expect(engine, "svc", now);
    access.reach.recordConnection(engine, false, now);
  }
  access.reach.update(now);
  expect(access.reach.isCutOff).toBe(true);
  return access;
}

// Guards against requests that are held since a cut looks like engines that end,
// and against crashes that nobody believes since all engines have ended.
test("a refused connection shows no end of an engine that others reach", async () => {
  expect(await createAccess(false).probe(ENGINE)).toBe("unknown");
  expect(await createAccess(true).probe(ENGINE)).toBe("ended");
});

test("callers are sent to instances with a path, unless there is none", () => {
  const ready = [
    { ...memberOf("a"), busy: 0 },
    { ...memberOf("b"), busy: 0 },
  ];
  const namesOf = (access: EngineAccess) =>
    access.preferReaching(ready).map(({ name }) => name);
  expect(namesOf(createAccess(false))).toEqual(["b"]);
  expect(namesOf(createAccess(true))).toEqual(["a", "b"]);
});
