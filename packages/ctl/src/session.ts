/** One run of a command: its connection and its output.
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

/** What a command works with. */
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

  /** Connects to the first server that answers. */
  async connect(): Promise<Connection> {
    const settings = resolveSettings(this.#flags, this.io.env);
    this.#connection ??= await Connection.open(settings, this.io.err);
    return this.#connection;
  }

  /** Progress on the error stream. */
  createProgress(label: string): Progress {
    return new Progress(label, this.io.err);
  }

  /** Writes rows. */
  rows(rows: readonly Row[]): void {
    this.io.out(formatRows(rows, this.format));
  }

  /** Writes one result. */
  result(row: Row): void {
    this.io.out(formatResult(row, this.format));
  }

  /** Closes the connection, if there is one. */
  async close(): Promise<void> {
    await this.#connection?.close();
  }
}
