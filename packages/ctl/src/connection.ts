/** WebSocket connection to an instance.
 *
 * @module
 */
import type { OperatorRouter } from "@banyanlb/daemon";
import {
  createTRPCClient,
  createWSClient,
  TRPCClientError,
  wsLink,
} from "@trpc/client";
import { WebSocket } from "ws";
import { CONNECT_TIMEOUT_MS, EXIT } from "./constants.ts";
import { CtlError } from "./ctl_error.ts";
import type { ResolvedSettings } from "./settings.ts";

type OperatorClient = ReturnType<typeof createTRPCClient<OperatorRouter>>;

/** The operator calls of an instance. */
export type OperatorCalls = OperatorClient["operator"];

/** A connection to the first server that responds. A call whose response is
 * lost is not retried. */
export class Connection {
  readonly url: string;
  readonly #calls: OperatorCalls;
  readonly #lost: AbortSignal;
  readonly #timeout_ms: number;
  readonly #end: () => Promise<void>;

  private constructor(fields: {
    readonly url: string;
    readonly calls: OperatorCalls;
    readonly lost: AbortSignal;
    readonly timeout_ms: number;
    readonly end: () => Promise<void>;
  }) {
    this.url = fields.url;
    this.#calls = fields.calls;
    this.#lost = fields.lost;
    this.#timeout_ms = fields.timeout_ms;
    this.#end = fields.end;
  }

  /** Tries the servers in their configured order. Calls `onFailed` with a
   * message for each server that fails. */
  static async open(
    settings: ResolvedSettings,
    onFailed: (message: string) => void = () => undefined,
  ): Promise<Connection> {
    for (const url of settings.servers) {
      try {
        const connection = await Connection.#connect(url, settings);
        // This read-only call detects a wrong token before the first command.
        await connection.read((calls) => calls.status.query());
        return connection;
      } catch (cause) {
        if (isRefusal(cause)) throw cause;
        onFailed(`${url}: ${describeCause(cause)}; trying the next server`);
      }
    }
    throw new CtlError(
      EXIT.unreachable,
      `none of ${settings.servers.length} servers answered; ` +
        "check --server and that the instances run",
    );
  }

  static #connect(
    url: string,
    settings: ResolvedSettings,
  ): Promise<Connection> {
    const { token, timeout_ms } = settings;
    const lost = new AbortController();
    return new Promise((resolve, reject) => {
      const limit_ms = Math.min(CONNECT_TIMEOUT_MS, timeout_ms);
      const ws = createWSClient({
        url,
        WebSocket: WebSocket as unknown as typeof globalThis.WebSocket,
        connectionParams: { token },
        onOpen: () => {
          clearTimeout(timer);
          const links = [wsLink<OperatorRouter>({ client: ws })];
          const calls = createTRPCClient<OperatorRouter>({ links }).operator;
          const end = () => ws.close();
          const fields = { url, calls, timeout_ms, end };
          resolve(new Connection({ ...fields, lost: lost.signal }));
        },
        // Without this, the client would reconnect and resend pending calls.
        onError: () => fail(new Error("no connection")),
        onClose: () => fail(new Error("the connection was lost")),
      });
      const fail = (cause: Error) => {
        clearTimeout(timer);
        ws.close();
        lost.abort(cause);
        reject(cause);
      };
      const timer = setTimeout(() => fail(new Error("no answer")), limit_ms);
    });
  }

  /** Makes a read-only call. Throws a {@linkcode CtlError}: `refused` if the
   * instance rejects the call, else `unreachable`. */
  async read<T>(call: (calls: OperatorCalls) => Promise<T>): Promise<T> {
    try {
      return await this.#callWithTimeout(call);
    } catch (cause) {
      const detail = `${this.url}: ${describeCause(cause)}`;
      if (cause instanceof TRPCClientError && cause.data) {
        throw new CtlError(EXIT.refused, detail);
      }
      throw new CtlError(
        EXIT.unreachable,
        `${detail}; repeat, or name another server`,
      );
    }
  }

  /** Makes a call that changes something. If it fails, the change may still
   * have taken effect, so every error has the exit code `outcome_unknown`. */
  async write<T>(call: (calls: OperatorCalls) => Promise<T>): Promise<T> {
    try {
      return await this.#callWithTimeout(call);
    } catch (cause) {
      throw new CtlError(
        EXIT.outcome_unknown,
        `${this.url}: ${describeCause(cause)}; the change may have taken ` +
          "effect: compare with diff or get before you repeat it",
      );
    }
  }

  /** Closes the connection. */
  async close(): Promise<void> {
    await this.#end();
  }

  async #callWithTimeout<T>(
    call: (calls: OperatorCalls) => Promise<T>,
  ): Promise<T> {
    const timeout = AbortSignal.timeout(this.#timeout_ms);
    const aborted = AbortSignal.any([this.#lost, timeout]);
    return await Promise.race([call(this.#calls), rejectOn(aborted)]);
  }
}

function rejectOn(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    if (signal.aborted) reject(signal.reason);
    signal.addEventListener("abort", () => reject(signal.reason));
  });
}

function isRefusal(cause: unknown): boolean {
  return cause instanceof CtlError && cause.exit_code === EXIT.refused;
}

function describeCause(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
