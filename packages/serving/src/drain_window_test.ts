import { expect, test } from "vitest";
import { isAcceptedWhileDraining } from "./drain_window.ts";

const ENDS_AFTER_MS = 7750;

/** The last moment at which a request may be sent, after which the cut of a stream
 * by the end of the grace period is the instance's fault, in milliseconds. */
const LAST_STREAM_MS = 3000;

// Guards against requests that come late in the grace period of a planned stop,
// are passed on, and are cut without an answer when it ends, among them those
// that may not be repeated.
test.each([100, 1500, 3000, 7000, 9000])(
  "a request with a timeout of %s ms that is accepted while draining can end",
  (timeoutMs) => {
    for (const kind of ["unsafe", "safe"] as const) {
      for (let elapsedMs = 0; elapsedMs <= ENDS_AFTER_MS; elapsedMs += 50) {
        const times = { elapsedMs, endsAfterMs: ENDS_AFTER_MS };
        if (!isAcceptedWhileDraining({ kind, timeoutMs }, times)) continue;
        expect(elapsedMs + timeoutMs).toBeLessThan(ENDS_AFTER_MS);
      }
    }
  },
);

test("short requests are accepted for most of the grace period, streams only at its beginning", () => {
  const accepts = (kind: "unsafe" | "stream", elapsedMs: number) =>
    isAcceptedWhileDraining({ kind, timeoutMs: 1500 }, {
      elapsedMs,
      endsAfterMs: ENDS_AFTER_MS,
    });
  expect(accepts("unsafe", 6000)).toBe(true);
  expect(accepts("unsafe", 7000)).toBe(false);
  expect(accepts("stream", 2000)).toBe(true);
  expect(accepts("stream", LAST_STREAM_MS)).toBe(false);
});
