/** Numbered log events. docs/EVENTS.md describes each one.
 *
 * @module
 */
import type { Logger } from "pino";

/** Severity of a log event. */
export type Severity = "debug" | "info" | "warn" | "error";

/** One kind of log event. */
export interface LogEvent {
  readonly id: number;
  readonly severity: Severity;
  readonly text: string;
}

/** Writes numbered events to a logger.
 *
 * @example
 * ```ts
 * const log = new EventLog(pino());
 * log.write({ id: 100, severity: "info", text: "started" }, { port: 80 });
 * ```
 */
export class EventLog {
  readonly #logger: Logger;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Writes one event. `fields` must not contain API keys of callers. */
  write(event: LogEvent, fields: Readonly<Record<string, unknown>> = {}): void {
    this.#logger[event.severity]({ event: event.id, ...fields }, event.text);
  }
}
