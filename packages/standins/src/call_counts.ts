/** Counts of store calls and their bytes, by object kind and operation.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Calls of one operation on one object kind. */
export interface CallCount {
  readonly calls: number;
  /** Request bytes read from the connection, headers included. */
  readonly bytes_in: number;
  /** Response bytes written to the connection, headers included. */
  readonly bytes_out: number;
  /** Responses by status; `0` counts connections that closed before the
   * response was complete. */
  readonly statuses: Readonly<Record<string, number>>;
}

interface SocketBytes {
  readonly read: number;
  readonly written: number;
}

const NO_CALLS: CallCount = {
  calls: 0,
  bytes_in: 0,
  bytes_out: 0,
  statuses: {},
};

/** Counts each call when its response has ended. */
export class CallCounts {
  readonly #counted_bytes = new WeakMap<Socket, SocketBytes>();
  #counts: Readonly<Record<string, CallCount>> = {};

  /** Counts by `KIND OPERATION`. */
  get counts(): Readonly<Record<string, CallCount>> {
    return this.#counts;
  }

  /** Counts one call under `label` once its response has ended. */
  count(
    label: string,
    exchange: { readonly req: IncomingMessage; readonly res: ServerResponse },
  ): void {
    const { req, res } = exchange;
    const socket = req.socket;
    res.once("close", () => {
      const status = res.writableFinished ? res.statusCode : 0;
      this.#add(label, { status, bytes: this.#takeNewBytes(socket) });
    });
  }

  /** Clears all counts. */
  reset(): void {
    this.#counts = {};
  }

  #takeNewBytes(socket: Socket): SocketBytes {
    const counted = this.#counted_bytes.get(socket) ?? { read: 0, written: 0 };
    const total = { read: socket.bytesRead, written: socket.bytesWritten };
    this.#counted_bytes.set(socket, total);
    return {
      read: total.read - counted.read,
      written: total.written - counted.written,
    };
  }

  #add(
    label: string,
    call: { readonly status: number; readonly bytes: SocketBytes },
  ): void {
    const previous = this.#counts[label] ?? NO_CALLS;
    const { status, bytes } = call;
    const statuses = {
      ...previous.statuses,
      [status]: (previous.statuses[status] ?? 0) + 1,
    };
    this.#counts = {
      ...this.#counts,
      [label]: {
        calls: previous.calls + 1,
        bytes_in: previous.bytes_in + bytes.read,
        bytes_out: previous.bytes_out + bytes.written,
        statuses,
      },
    };
  }
}
