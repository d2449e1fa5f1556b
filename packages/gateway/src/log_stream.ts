/** A destination for log lines that limits their rate and never blocks.
 *
 * @module
 */

/** Maximum number of lines written in one second. One instance serves some tens
 * of requests a second, each with one line. */
const LINES_PER_SECOND = 300;

/** Maximum number of lines below the level of a warning written in one second.
 * The rest of `LINES_PER_SECOND` is reserved for warnings and errors. */
const BELOW_WARNING_LINES_PER_SECOND = 150;

/** Number of buffered bytes above which lines are dropped: a slow reader of the
 * output must not exhaust the memory. */
const BACKLOG_MAX_BYTES = 256 * 1024;

/** The numeric level of warnings in pino. */
const WARNING_LEVEL = 40;

/** A pino destination that drops lines above the limits and counts them. */
export class LogStream {
  readonly #out: NodeJS.WriteStream;
  #currentSecond = 0;
  #belowWarningCount = 0;
  #lineCount = 0;
  #droppedCount = 0;
  /** Level of the next line, set by pino. */
  lastLevel = 0;
  constructor(out: NodeJS.WriteStream) {
    this.#out = out;
    // With this property, pino sets `lastLevel` before each write.
    Object.assign(this, { [Symbol.for("pino.metadata")]: true });
  }

  /** Number of lines dropped since the start. */
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
