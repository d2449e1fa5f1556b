import {
  EventLog,
  ManualClock,
  MemoryObjectStore,
  NoopMetrics,
  type Session,
  type StoreFault,
} from "@banyanlb/core";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { pino } from "pino";
import { expect, test } from "vitest";
import type { PromiseAsk, PromiseReply } from "./generated/lease_messages.ts";
import { LeasePeers, type PeerError } from "./lease_peers.ts";
import { SessionLease } from "./session_lease.ts";
import { SuccessorWatch } from "./successor_watch.ts";

const TERM_MS = 3_000;
const DRIFT_MARGIN_MS = 60;
const POLL_MS = TERM_MS / 3;
const KEY = { kind: "session", name: "h" } as const;
const SESSION: Session = {
  id: "h",
  seq: 1,
  term_ms: TERM_MS,
  successors: ["me"],
  state: "live",
  write_id: "w1",
};
const PROMISE_REQUEST: PromiseAsk = { to: "me", id: "h", seq: 1, ms: TERM_MS };
const OUTAGE: StoreFault = { kind: "unavailable" };
const flush = () => new Promise((resolve) => setImmediate(resolve));

function createDeps() {
  return {
    store: new MemoryObjectStore(),
    clock: new ManualClock(),
    log: new EventLog(pino({ level: "silent" })),
    metrics: new NoopMetrics(),
  };
}

/** Starts a watch that has read session `h` once. */
async function startWatch(own_lease_ms = 1_000) {
  const deps = createDeps();
  await deps.store.create(KEY, SESSION);
  const lease = { remaining: () => own_lease_ms };
  const options = { id: "me", term_ms: TERM_MS, last_term_ms: 4 * TERM_MS };
  const watch = new SuccessorWatch({ ...deps, lease }, options);
  watch.setWatchedSessions(["h"]);
  await flush();
  const advance = async (ms: number) => {
    deps.clock.advance(ms);
    await flush();
  };
  const state = async () =>
    (await deps.store.get<Session>(KEY))._unsafeUnwrap().value.state;
  return { ...deps, watch, advance, state };
}

test("a take-over waits for one term and the drift margin", async () => {
  const { watch, advance, state } = await startWatch();
  await advance(TERM_MS);
  expect(await state()).toBe("live");
  await advance(POLL_MS);
  expect(await state()).toBe("ended");
  await watch.close();
});

test("a promise defers a take-over by its length and the drift margin", async () => {
  const { watch, advance, state } = await startWatch();
  await advance(TERM_MS - POLL_MS);
  expect(watch.handlePromiseRequest(PROMISE_REQUEST)).toEqual({ ok: true });
  for (let i = 0; i < 3; i++) await advance(POLL_MS);
  expect(await state()).toBe("live");
  await advance(POLL_MS);
  expect(await state()).toBe("ended");
  await watch.close();
});

test("a successor with an unconfirmed take-over makes no promise", async () => {
  const { watch, advance, state, store } = await startWatch();
  let completeWrite = () => {};
  const until = new Promise<void>((resolve) => completeWrite = resolve);
  store.setFaults((call): StoreFault =>
    call.method === "update" ? { kind: "late", until } : { kind: "none" }
  );
  await advance(TERM_MS + DRIFT_MARGIN_MS);
  expect(watch.handlePromiseRequest(PROMISE_REQUEST)).toEqual({
    ok: false,
    why: "doubt",
  });
  await advance(POLL_MS);
  expect(watch.handlePromiseRequest(PROMISE_REQUEST)).toEqual({
    ok: false,
    why: "doubt",
  });
  const ended: string[] = [];
  watch.onEnded((id) => ended.push(id));
  completeWrite();
  await flush();
  expect(await state()).toBe("ended");
  await advance(POLL_MS);
  expect(ended).toEqual(["h"]);
  expect(watch.handlePromiseRequest(PROMISE_REQUEST).ok).toBe(false);
  await watch.close();
});

test("promises are refused for another session id, an unread and an unnamed session", async () => {
  const { watch, advance, store } = await startWatch();
  const reply = watch.handlePromiseRequest({
    ...PROMISE_REQUEST,
    to: "an-earlier-start",
  });
  expect(reply).toEqual({ ok: false, why: "other" });
  expect(watch.handlePromiseRequest({ ...PROMISE_REQUEST, id: "x" }).why).toBe(
    "unseen",
  );
  const { version } = (await store.get(KEY))._unsafeUnwrap();
  await store.update(KEY, { version, value: { ...SESSION, successors: [] } });
  await advance(POLL_MS);
  expect(watch.handlePromiseRequest({ ...PROMISE_REQUEST, seq: 0 }).why).toBe(
    "unnamed",
  );
  await watch.close();
});

test("a process without a valid lease of its own ends no session", async () => {
  const { watch, advance, state } = await startWatch(0);
  expect(watch.handlePromiseRequest(PROMISE_REQUEST)).toEqual({
    ok: false,
    why: "lapsed",
  });
  for (let i = 0; i < 6; i++) await advance(TERM_MS);
  expect(await state()).toBe("live");
  await watch.close();
});

test("after an outage holders have time to renew before a take-over", async () => {
  const { watch, advance, state, store } = await startWatch();
  store.setFaults(() => OUTAGE);
  for (let i = 0; i < 12; i++) await advance(POLL_MS);
  store.setFaults();
  await advance(POLL_MS);
  expect(await state()).toBe("live");
  for (let i = 0; i < 2; i++) await advance(POLL_MS);
  expect(await state()).toBe("ended");
  await watch.close();
});

test("a missing session counts as ended after the last term", async () => {
  const { watch, advance, state, store } = await startWatch();
  const ended: string[] = [];
  watch.onEnded((id) => ended.push(id));
  const { version } = (await store.get(KEY))._unsafeUnwrap();
  await store.remove(KEY, version);
  for (let i = 0; i < 12; i++) await advance(POLL_MS);
  expect(ended).toEqual([]);
  for (let i = 0; i < 2; i++) await advance(POLL_MS);
  expect(ended).toEqual(["h"]);
  expect(await state()).toBe("ended");
  await watch.close();
});

class ScriptedPeers extends LeasePeers {
  readonly asked: string[] = [];
  answer: (id: string) => ResultAsync<PromiseReply, PeerError> = () =>
    errAsync({ kind: "unreachable", message: "lost" });

  override requestPromise(id: string) {
    this.asked.push(id);
    return this.answer(id);
  }
}

async function startLease(successors: readonly string[]) {
  const deps = { ...createDeps(), peers: new ScriptedPeers() };
  const started = await SessionLease.start(deps, {
    id: "h",
    term_ms: TERM_MS,
    last_term_ms: 4 * TERM_MS,
    successors,
  });
  return { ...deps, lease: started._unsafeUnwrap() };
}

test("without successors the remaining validity is at most one term", async () => {
  const { lease, clock, store } = await startLease([]);
  store.setFaults(() => OUTAGE);
  for (let i = 0; i < 11; i++) {
    clock.advance(POLL_MS);
    await flush();
    const until_last_term_ms = 4 * TERM_MS - clock.now();
    const expected_ms = Math.min(TERM_MS, until_last_term_ms);
    expect(lease.remaining()).toBe(expected_ms);
  }
  await lease.close();
});

test("the term is counted from before the renewal was sent", async () => {
  const { lease, clock, store } = await startLease([]);
  store.setFaults(async (): Promise<StoreFault> => {
    await clock.sleep(POLL_MS / 2);
    return { kind: "none" };
  });
  lease.setSuccessors(["a"]);
  for (let i = 0; i < 3; i++) {
    clock.advance(POLL_MS / 2);
    await flush();
  }
  expect(lease.remaining()).toBe(TERM_MS - POLL_MS / 2);
  await lease.close();
});

test("a promise is counted from before the request, however late its reply", async () => {
  const { lease, peers, clock, store } = await startLease(["a"]);
  store.setFaults(() => OUTAGE);
  let sendReply = () => {};
  const replySent = new Promise<void>((resolve) => sendReply = resolve);
  peers.answer = () =>
    ResultAsync.fromSafePromise(replySent).map(() => ({ ok: true }));
  clock.advance(POLL_MS);
  await flush();
  clock.advance(POLL_MS / 2);
  sendReply();
  await flush();
  expect(lease.remaining()).toBe(TERM_MS - POLL_MS / 2);
  await lease.close();
});

test("successors of an unconfirmed renewal must promise too", async () => {
  const { lease, peers, clock, store } = await startLease(["a"]);
  lease.setSuccessors(["b"]);
  store.setFaults(() => OUTAGE);
  for (const promising of ["a", "b"]) {
    peers.answer = (id) => okAsync({ ok: id === promising });
    for (let i = 0; i < 4; i++) {
      clock.advance(POLL_MS);
      await flush();
    }
    expect(lease.remaining()).toBe(0);
  }
  expect(new Set(peers.asked)).toEqual(new Set(["a", "b"]));
  await lease.close();
});

test("the lease is invalid once end is called; the next start needs another id", async () => {
  const { lease, store, ...deps } = await startLease([]);
  const ended = lease.end();
  expect(lease.remaining()).toBe(0);
  expect((await ended).isOk()).toBe(true);
  const options = { id: "h", term_ms: 10, last_term_ms: 10, successors: [] };
  const again = await SessionLease.start({ ...deps, store }, options);
  expect(again._unsafeUnwrapErr().kind).toBe("id_in_use");
});
