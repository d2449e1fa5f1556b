import { ManualClock, MemoryObjectStore, type Session } from "@banyanlb/core";
import { expect, test } from "vitest";
import { retireSession } from "./retire_session.ts";

const TERM_MS = 1_000;
const KEY = { kind: "session", name: "s1" } as const;

const session: Session = {
  id: "s1",
  seq: 3,
  term_ms: TERM_MS,
  successors: [],
  state: "live",
  write_id: "w1",
};

async function setUp() {
  const clock = new ManualClock();
  const store = new MemoryObjectStore();
  const version = (await store.create(KEY, session))._unsafeUnwrap();
  const retired = retireSession({ store, clock }, "s1");
  const pass = async () => {
    for (let i = 0; i < 20; i++) {
      await new Promise((resolve) => setImmediate(resolve));
      clock.advance(TERM_MS / 10);
    }
  };
  return { store, version, retired, pass };
}

test("a session that is not renewed for a term is ended", async () => {
  const { store, retired, pass } = await setUp();
  await pass();
  expect((await retired).isOk()).toBe(true);
  const stored = await store.get<Session>(KEY);
  expect(stored._unsafeUnwrap().value.state).toBe("ended");
});

test("a session that is renewed meanwhile is not ended", async () => {
  const { store, version, retired, pass } = await setUp();
  await new Promise((resolve) => setImmediate(resolve));
  await store.update(KEY, { version, value: { ...session, seq: 4 } });
  await pass();
  expect((await retired)._unsafeUnwrapErr().kind).toBe("alive");
  const stored = await store.get<Session>(KEY);
  expect(stored._unsafeUnwrap().value.state).toBe("live");
});
