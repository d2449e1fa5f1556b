/** Dependencies that all examples share, and helpers.
 *
 * @module
 */
import {
  type Clock,
  EventLog,
  MemoryObjectStore,
  type Metrics,
  NoopMetrics,
  SystemClock,
} from "@banyanlb/core";
import type { Result } from "neverthrow";
import { pino } from "pino";

/** Prints one line of an example's output. */
export type Print = (line: string) => void;

/** Dependencies shared by all examples of one run. */
export interface ExampleContext {
  readonly store: MemoryObjectStore;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly print: Print;
}

const POLL_INTERVAL_MS = 20;
const WAIT_LIMIT_MS = 30_000;

/** Creates a context with an in-memory store and disabled logs and metrics. */
export function createExampleContext(
  print: Print,
  clock: Clock = new SystemClock(),
): ExampleContext {
  return {
    store: new MemoryObjectStore(),
    clock,
    log: new EventLog(pino({ level: "silent" })),
    metrics: new NoopMetrics(),
    print,
  };
}

/** Resolves once `isMet` returns true. Throws if that takes longer than
 * {@linkcode WAIT_LIMIT_MS}. */
export async function waitUntil(
  clock: Clock,
  isMet: () => boolean,
): Promise<void> {
  const until = clock.now() + WAIT_LIMIT_MS;
  while (!isMet()) {
    if (clock.now() > until) throw new Error("waited too long; run it again");
    await clock.sleep(POLL_INTERVAL_MS);
  }
}

/** Returns the value of a result. Throws if the result is an error. */
export function orThrow<T>(
  result: Result<T, { readonly message: string }>,
): T {
  if (result.isErr()) throw new Error(result.error.message);
  return result.value;
}

/** Returns the kind of a result's error; `none` if the result is not an
 * error. */
export function errorKind(
  result: Result<unknown, { readonly kind: string }>,
): string {
  return result.isErr() ? result.error.kind : "none";
}
