/** A client with one resumable stream, as the pages describe it: it takes the
 * stream up on a new connection if its connection breaks, and again after a
 * promise, when it was told to come back.
 *
 * @module
 */
import { MODEL, pause } from "./world.mjs";

/** Plays one stream. `choose` gives the machine of an attempt by its number, and
 * `route` how to reach it. Resolves to the events by number, each with the
 * software version that its engine wrote into it, and how the attempts went. */
export async function playStream(world, options) {
  const { name, choose, deadlineMs, takeUpsMax, route = () => ({}) } = options;
  const startedMs = world.nowMs;
  const state = {
    name,
    versions: new Map(),
    last: 0,
    first: undefined,
    takeUps: 0,
    hasGoneOn: false,
    isWhole: false,
  };
  for (let n = 0;; n += 1) {
    const id = `${name}-${n}`;
    const before = state.last;
    const machine = choose(n);
    const leftMs = deadlineMs - (world.nowMs - startedMs);
    if (leftMs <= 0) return state;
    let text = "";
    const answer = await world.send(machine, {
      id,
      path: "/draft/1",
      ...route(n, machine),
      headers: {
        Model: MODEL,
        "Token-Count": "826,300",
        "Prompt-Prefix": `5c1e07a2:198,${hexOf(name)}:628`,
        Deadline: String(leftMs),
        ...(state.last === 0 ? {} : { "Last-Event-Id": String(state.last) }),
        ...(state.first === undefined ? {} : { Resumes: state.first }),
      },
      body: "{}",
      note: state.first && { resumes: state.first, after: state.last },
      onChunk: (chunk, { status }) => {
        if (status !== 200) return;
        text += chunk;
        const end = text.lastIndexOf("\n\n") + 1;
        const events = text.slice(0, end);
        text = text.slice(end);
        for (const [, number, version] of events.matchAll(EVENT)) {
          state.versions.set(Number(number), version);
          state.last = Number(number);
          state.first ??= id;
        }
      },
    });
    if (n > 0 && state.last > before) state.hasGoneOn = true;
    state.isWhole = answer.status === 200 && answer.isComplete;
    if (state.isWhole || state.last === 0) return state;
    if (state.takeUps >= takeUpsMax) return state;
    state.takeUps += 1;
    await pause(Number(answer.headers?.["retry-after"] ?? 0) * 1000);
  }
}

const EVENT = /id: (\d+)\ndata: (\S+) /g;

/** The software versions that a client's stream has events of. */
export function versionsOf({ versions }) {
  return [...new Set(versions.values())];
}

function hexOf(text) {
  return Buffer.from(text).toString("hex");
}
