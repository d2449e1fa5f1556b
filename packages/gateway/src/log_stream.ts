/** Where log lines go: standard output, bounded and never blocking.
 *
 * @module
 */

/** Lines a second that are written at most, in a quiet and in a busy second.
 * One instance serves some tens of requests a second, with a line each. */
const LINES_PER_SECOND = 300;

/** Of these, lines below a warning: failures keep the rest. */
const BELOW_WARNING_LINES_PER_SECOND = 150;

/** Unwritten bytes beyond which lines are dropped: a slow reader of the output
 * must not fill the memory. */
const BACKLOG_MAX_BYTES = 256 * 1024;

/** The level that pino writes for warnings. */
const WARNING_LEVEL = 40;

/** A destination for pino. */
export class LogStream {
  readonly #out: NodeJS.WriteStream;
  #currentSecond = 0;
  #belowWarningCount = 0;
  #lineCount = 0;
  #droppedCount = 0;
  /** Set by pino before each write. */
  lastLevel = 0;
  constructor(out: NodeJS.WriteStream) {
    this.#out = out;
    // Tells pino to set `lastLevel`.
    Object.assign(this, { [Symbol.for("pino.metadata")]: true });
  }

  /** Lines left out since the start. */
  get dropped(): number {
    return this.#droppedCount;
  }

  /** Writes a line, or counts it as dropped. */
  write(line: string): void {
    const second = Math.floor(performance.now() / 1000);
    if (second !== this.#currentSecond) {
      this.#currentSecond = second;
      this.#belowWarningCount = 0;
      this.#lineCount = 0;
    }
    const isBelowWarning = this.lastLevel < WARNING_LEVEL;
    if (
      this.#lineCount >= LINES_PER_SECOND ||
      (isBelowWarning &&
        this.#belowWarningCount >= BELOW_WARNING_LINES_PER_SECOND) ||
      this.#out.writableLength > BACKLOG_MAX_BYTES
    ) {
      this.#droppedCount += 1;
      return;
    }
    this.#lineCount += 1;
    if (isBelowWarning) this.#belowWarningCount += 1;
    this.#out.write(line);
  }
}
