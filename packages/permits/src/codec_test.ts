import { expect, test } from "vitest";
import {
  decodeAcquireRequest,
  decodeHandoff,
  decodeReleaseBatch,
  decodeReply,
  encodeAcquireRequest,
  encodeHandoff,
  encodeReleaseBatch,
  encodeReply,
} from "./codec.ts";

const request = {
  id: "3f",
  session: "0123456789abcdef",
  target: "engine-1",
  version: "toll-adapter-17@v3",
  workspace: "bells",
  weight: 2,
  class: "batch",
  tokens: 450,
  deadline_ms: 30_000,
  wait_ms: 2_000,
  epoch: 12,
  releases: [{ id: "3e", target: "engine-1", outcome: "done", tokens: 90 }],
} as const;

const reply = {
  kind: "granted",
  permit_id: "3f",
  epoch: 12,
  deadline_ms: 30_000,
  use_within_ms: 2_000,
  hint: {
    running: 3,
    max_running: 32,
    waiting: 0,
    loaded: true,
    has_available_slot: false,
  },
} as const;

const held = {
  id: "3f",
  session: "s",
  version: undefined,
  workspace: "w",
  tokens: 5,
  remaining_ms: 10,
};

test("messages are unchanged by encoding and decoding", () => {
  const wire = <T>(value: T): unknown => JSON.parse(JSON.stringify(value));
  expect(
    decodeAcquireRequest(wire(encodeAcquireRequest(request)))._unsafeUnwrap(),
  ).toEqual(request);
  const read = decodeReply(wire(encodeReply(reply)), "3f");
  expect(read._unsafeUnwrap()).toEqual(reply);
  const kinds = ["busy", "not_owner", "leaving", "load_failed", "unavailable"];
  for (const kind of kinds) {
    const refused = { kind, retry_after_ms: 500, epoch: 1, untaken: ["a"] };
    const sent = wire(encodeReply(refused as never));
    expect(decodeReply(sent, "3f")._unsafeUnwrap()).toEqual(refused);
  }
  const outcomes = ["done", "canceled", "failed", "not_loaded", "unused"];
  const releases = outcomes.map((outcome) => ({
    id: "a",
    target: "t",
    outcome,
  }));
  const batch = { session: "s", releases: releases as never };
  const sent = wire(encodeReleaseBatch(batch));
  expect(decodeReleaseBatch(sent)._unsafeUnwrap()).toEqual(batch);
  const handoff = {
    target: "t",
    epoch: 3,
    permits: [held],
    loaded: ["a@1"],
    versions_in_doubt: ["b@1"],
    unreported_sessions: ["s2"],
  };
  expect(decodeHandoff(wire(encodeHandoff(handoff)))._unsafeUnwrap())
    .toEqual(handoff);
});

test("a message with a missing or an unknown field is rejected", () => {
  expect(
    decodeAcquireRequest({ ...encodeAcquireRequest(request), z: 1 }).isErr(),
  ).toBe(true);
  expect(decodeReply({ e: 1 }, "3f").isErr()).toBe(true);
});
