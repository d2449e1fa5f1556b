import { Refusal, SystemClock } from "@banyanlb/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { expect, test } from "vitest";
import { InFlightRegistry } from "./in_flight_registry.ts";
import { PauseWatch } from "./pause_watch.ts";
import { RequestScope } from "./request_scope.ts";

function openScope(in_flight = new InFlightRegistry()) {
  const scope = new RequestScope({
    call: {
      req: { headers: {} } as IncomingMessage,
      res: {} as ServerResponse,
      request_id: "r",
      params: {},
      disconnect_signal: new AbortController().signal,
    },
    caller: { key_sha256: "hash", workspace: undefined },
    workspace: "acme",
    timeout_ms: 10_000,
    clock: new SystemClock(),
    in_flight,
    pause_watch: new PauseWatch(new SystemClock()),
  });
  return { scope, in_flight };
}

function readNotRun(scope: RequestScope, not_run: boolean): boolean {
  const refusal = new Refusal("target_failed", { message: "", not_run });
  return (scope.toRefusal(refusal) as Refusal).not_run;
}

test("not_run is false if an earlier attempt may have run", () => {
  const { scope } = openScope();
  scope.startAttempt();
  scope.markSent();
  scope.startAttempt();
  scope.markSent();
  scope.markNotRun();
  expect(scope.is_sent).toBe(false);
  expect(readNotRun(scope, true)).toBe(false);
  scope.close();
});

test("a refusal keeps its own not_run if no attempt was sent", () => {
  const { scope } = openScope();
  expect([readNotRun(scope, true), readNotRun(scope, false)])
    .toEqual([true, false]);
  scope.close();
});

test("a request whose key is withdrawn before it is sent has not run", () => {
  const { scope, in_flight } = openScope();
  in_flight.endWithdrawn(() => true);
  const refusal = scope.toRefusal(new Error("aborted")) as Refusal;
  expect([refusal.kind, refusal.not_run]).toEqual(["key_withdrawn", true]);
  scope.close();
  expect(in_flight.size).toBe(0);
});
