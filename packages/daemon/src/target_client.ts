/** HTTP calls to targets.
 *
 * @module
 */
import type { Target } from "@banyanlb/core";
import { err, ok, type Result } from "neverthrow";
import { Agent, DecoratorHandler, type Dispatcher } from "undici";
import { TARGET_CONNECT_TIMEOUT_MS, TARGET_SILENCE_MS } from "./constants.ts";

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
  readonly checkStart: () => void;
  /** True to use a connection of its own, so that a kept connection that the
   * target is closing cannot leave the outcome unknown. */
  readonly fresh_connection?: boolean;
}

/** A call that got no answer. */
export interface TargetFailure {
  /** `false` only if no byte of the request can have left. */
  readonly may_have_run: boolean;
  readonly message: string;
}

/** The start of a target's answer. */
export type TargetAnswer = Dispatcher.ResponseData;

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
class NotStartedError extends Error {
  readonly reason: unknown;

  constructor(reason: unknown) {
    super("a right lapsed before the request was written");
    this.reason = reason;
  }
}

interface StartOptions extends Dispatcher.DispatchOptions {
  readonly checkStart?: () => void;
}

/** The methods of undici's class that its types leave out. */
interface StartHandler extends Dispatcher.DispatchHandler {
  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void;
}

type HandlerClass = new (handler: Dispatcher.DispatchHandler) => StartHandler;

/** Checks the request's rights when its connection is open: a process that
 * was paused while it connected must not send with old rights. */
class StartCheckHandler extends (DecoratorHandler as HandlerClass) {
  readonly #checkStart: () => void;

  constructor(handler: Dispatcher.DispatchHandler, checkStart: () => void) {
    super(handler);
    this.#checkStart = checkStart;
  }

  override onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    super.onRequestStart(controller, context);
    try {
      this.#checkStart();
    } catch (reason) {
      throw new NotStartedError(reason);
    }
  }
}

function interceptStart(
  dispatch: Dispatcher.Dispatch,
): Dispatcher.Dispatch {
  return (options: StartOptions, handler) => {
    const { checkStart } = options;
    if (checkStart === undefined) return dispatch(options, handler);
    return dispatch(options, new StartCheckHandler(handler, checkStart));
  };
}

/** Keeps connections to targets. Never repeats a call. */
export class TargetClient {
  readonly #kept: Dispatcher;
  readonly #fresh: Dispatcher;

  constructor(source_address: string | undefined) {
    const options = {
      connect: { timeout: TARGET_CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: TARGET_SILENCE_MS,
      ...(source_address === undefined ? {} : { localAddress: source_address }),
    };
    this.#kept = new Agent({ ...options, pipelining: 1 })
      .compose(interceptStart);
    this.#fresh = new Agent({ ...options, pipelining: 0 })
      .compose(interceptStart);
  }

  /** Sends a call once. The answer's body must be read or destroyed. Throws
   * what `checkStart` threw. */
  async send(
    target: Target,
    call: TargetCall,
  ): Promise<Result<TargetAnswer, TargetFailure>> {
    const agent = call.fresh_connection ? this.#fresh : this.#kept;
    try {
      const options = {
        origin: target.url,
        path: call.path,
        method: call.method as Dispatcher.HttpMethod,
        headers: { ...call.headers },
        body: call.body ?? null,
        signal: call.signal,
        checkStart: call.checkStart,
      };
      const answer = await agent.request(options);
      // Whoever reads the body gets its error from the reading. A body that is
      // destroyed unread emits it all the same, and without a listener that
      // would end the process.
      answer.body.on("error", () => undefined);
      return ok(answer);
    } catch (cause) {
      if (cause instanceof NotStartedError) throw cause.reason;
      return err(describeFailure(cause));
    }
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await Promise.all([this.#kept.destroy(), this.#fresh.destroy()]);
  }
}
