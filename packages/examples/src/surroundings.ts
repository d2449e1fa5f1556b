/** What every part needs: a store, a clock, a log and metrics.
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

/** Takes one line of an example's output. */
export type Print = (line: string) => void;

/** Shared by all parts of one process. */
export interface ExampleContext {
  readonly store: MemoryObjectStore;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly print: Print;
}

const POLL_INTERVAL_MS = 20;
const WAIT_LIMIT_MS = 30_000;

/** Makes a store in memory and silent logs. */
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

/** Resolves once `isTrue` holds. */
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

/** The value of a result that an example expects. */
export function orThrow<T>(
  result: Result<T, { readonly message: string }>,
): T {
  if (result.isErr()) throw new Error(result.error.message);
  return result.value;
}

/** The kind of the error of a result; `none` if there is none. */
export function errorKind(
  result: Result<unknown, { readonly kind: string }>,
): string {
  return result.isErr() ? result.error.kind : "none";
}
