/** HTTP calls to targets.
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

/** A call to a target. */
export interface TargetCall {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | string | undefined;
  readonly signal: AbortSignal;
  /** Called when a connection is open, in the turn in which the request is
   * written. What it throws ends the call, and nothing is sent. */
  readonly checkBeforeSend: () => void;
  /** True to use a connection of its own, so that a kept connection that the
   * target is closing cannot leave the outcome unknown. */
  readonly needs_new_connection?: boolean;
}

/** A call that got no answer. */
export interface TargetFailure {
  /** `false` only if no byte of the request can have left. */
  readonly may_have_run: boolean;
  readonly message: string;
}

/** The start of a target's answer. */
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

/** Why a call was not started. */
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

/** The methods of undici's class that its types leave out. */
interface RequestStartHandler extends Dispatcher.DispatchHandler {
  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void;
}

type HandlerClass = new (
  handler: Dispatcher.DispatchHandler,
) => RequestStartHandler;

/** Checks the request's rights when its connection is open: a process that
 * was paused while it connected must not send with old rights. */
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

/** Keeps connections to targets. Never repeats a call. */
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

  /** Sends a call once. The answer's body must be read or destroyed. Throws
   * what `checkBeforeSend` threw. */
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
      // Whoever reads the body gets its error from the reading. A body that is
      // destroyed unread emits it all the same, and without a listener that
      // would end the process.
      response.body.on("error", () => undefined);
      return ok(response);
    } catch (cause) {
      if (cause instanceof NotSentError) throw cause.reason;
      return err(describeFailure(cause));
    }
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await Promise.all([
      this.#pooled_agent.destroy(),
      this.#unpooled_agent.destroy(),
    ]);
  }
}
