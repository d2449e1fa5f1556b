/** HTTP client for targets.
 *
 * @module
 */
import type { Target } from "@banyanlb/core";
import { err, ok, type Result } from "neverthrow";
import { Agent, DecoratorHandler, type Dispatcher } from "undici";
import {
  TARGET_BODY_IDLE_TIMEOUT_MS,
  TARGET_CONNECT_TIMEOUT_MS,
} from "./constants.ts";

/** A request to a target. */
export interface TargetCall {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | string | undefined;
  readonly signal: AbortSignal;
  /** Called when a connection is open, in the turn of the event loop in which the
   * request is written. If it throws, nothing is sent and
   * {@linkcode TargetClient.send} throws the same error. */
  readonly checkBeforeSend: () => void;
  /** True to open a new connection for the request. On a reused connection that
   * the target is closing, the outcome would be unknown. */
  readonly needs_new_connection?: boolean;
}

/** Why a request got no response. */
export interface TargetFailure {
  /** False only if certainly no byte of the request was sent. */
  readonly may_have_run: boolean;
  readonly message: string;
}

/** Status and headers of a target's response, with its body as a stream. */
export type TargetResponse = Dispatcher.ResponseData;

const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
  "UND_ERR_INVALID_ARG",
]);

function describeFailure(cause: unknown): TargetFailure {
  const error = cause as { readonly code?: string; readonly message?: string };
  return {
    may_have_run: !NOT_SENT_CODES.has(error.code ?? ""),
    message: error.message ?? String(cause),
  };
}

/** Carries the error of `checkBeforeSend` through undici. */
class NotSentError extends Error {
  readonly reason: unknown;

  constructor(reason: unknown) {
    super("a right lapsed before the request was written");
    this.reason = reason;
  }
}

interface CheckedDispatchOptions extends Dispatcher.DispatchOptions {
  readonly checkBeforeSend?: () => void;
}

/** The method of undici's `DecoratorHandler` that its types omit. */
interface RequestStartHandler extends Dispatcher.DispatchHandler {
  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void;
}

type HandlerClass = new (
  handler: Dispatcher.DispatchHandler,
) => RequestStartHandler;

/** Runs `checkBeforeSend` once the connection is open. Rights can expire while
 * connecting, e.g. if the process is paused. */
class SendCheckHandler extends (DecoratorHandler as HandlerClass) {
  readonly #checkBeforeSend: () => void;

  constructor(
    handler: Dispatcher.DispatchHandler,
    checkBeforeSend: () => void,
  ) {
    super(handler);
    this.#checkBeforeSend = checkBeforeSend;
  }

  override onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    super.onRequestStart(controller, context);
    try {
      this.#checkBeforeSend();
    } catch (reason) {
      throw new NotSentError(reason);
    }
  }
}

function interceptSend(
  dispatch: Dispatcher.Dispatch,
): Dispatcher.Dispatch {
  return (options: CheckedDispatchOptions, handler) => {
    const { checkBeforeSend } = options;
    if (checkBeforeSend === undefined) return dispatch(options, handler);
    return dispatch(options, new SendCheckHandler(handler, checkBeforeSend));
  };
}

/** Sends requests to targets over pooled or new connections. Never retries. */
export class TargetClient {
  readonly #pooled_agent: Dispatcher;
  readonly #unpooled_agent: Dispatcher;

  constructor(source_address: string | undefined) {
    const options = {
      connect: { timeout: TARGET_CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: TARGET_BODY_IDLE_TIMEOUT_MS,
      ...(source_address === undefined ? {} : { localAddress: source_address }),
    };
    this.#pooled_agent = new Agent({ ...options, pipelining: 1 })
      .compose(interceptSend);
    this.#unpooled_agent = new Agent({ ...options, pipelining: 0 })
      .compose(interceptSend);
  }

  /** Sends a request once. The response body must be read or destroyed by the
   * caller of this method. Throws the error of `checkBeforeSend`. */
  async send(
    target: Target,
    call: TargetCall,
  ): Promise<Result<TargetResponse, TargetFailure>> {
    const agent = call.needs_new_connection
      ? this.#unpooled_agent
      : this.#pooled_agent;
    try {
      const options = {
        origin: target.url,
        path: call.path,
        method: call.method as Dispatcher.HttpMethod,
        headers: { ...call.headers },
        body: call.body ?? null,
        signal: call.signal,
        checkBeforeSend: call.checkBeforeSend,
      };
      const response = await agent.request(options);
      // A reader of the body gets its error from the read. A body that is
      // destroyed unread also emits the error, which would end the process
      // without a listener.
      response.body.on("error", () => undefined);
      return ok(response);
    } catch (cause) {
      if (cause instanceof NotSentError) throw cause.reason;
      return err(describeFailure(cause));
    }
  }

  /** Destroys all connections. */
  async close(): Promise<void> {
    await Promise.all([
      this.#pooled_agent.destroy(),
      this.#unpooled_agent.destroy(),
    ]);
  }
}
