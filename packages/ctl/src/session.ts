/** Connection and output of one command run.
 *
 * @module
 */
import { Connection } from "./connection.ts";
import {
  type CtlIo,
  formatResult,
  formatRows,
  type OutputFormat,
  type Row,
} from "./output.ts";
import { Progress } from "./progress.ts";
import { type ConnectionFlags, resolveSettings } from "./settings.ts";

/** Provides one command run with its connection and its output. */
export class Session {
  readonly io: CtlIo;
  readonly format: OutputFormat;
  readonly #flags: ConnectionFlags;
  #connection: Connection | undefined;

  constructor(
    io: CtlIo,
    options: { readonly format: OutputFormat; readonly flags: ConnectionFlags },
  ) {
    this.io = io;
    this.format = options.format;
    this.#flags = options.flags;
  }

  /** Connects to the first server that responds. Later calls return the same
   * connection. */
  async connect(): Promise<Connection> {
    const settings = resolveSettings(this.#flags, this.io.env);
    this.#connection ??= await Connection.open(settings, this.io.err);
    return this.#connection;
  }

  /** Returns a progress reporter that writes to the error stream. */
  createProgress(label: string): Progress {
    return new Progress(label, this.io.err);
  }

  /** Writes rows in the output format. */
  rows(rows: readonly Row[]): void {
    this.io.out(formatRows(rows, this.format));
  }

  /** Writes one result in the output format. */
  result(row: Row): void {
    this.io.out(formatResult(row, this.format));
  }

  /** Closes the connection if it was opened. */
  async close(): Promise<void> {
    await this.#connection?.close();
  }
}
