/** Takes the signals of the process from its first statement on. Imports nothing,
 * so that no signal finds the default action while modules are being loaded.
 *
 * @module
 */

/** Ask the process to stop. */
const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Would end the process, or open a debugger (SIGUSR1), without being asked
 * for. */
const IGNORED_SIGNALS = [
  "SIGUSR1",
  "SIGUSR2",
  "SIGALRM",
  "SIGVTALRM",
  "SIGIO",
] as const;

/** What the program does about signals. */
export interface SignalHandlers {
  /** Called each time the process is asked to stop. */
  readonly onStop: () => void;
  /** Called when the settings file has changed. */
  readonly onReload: () => void;
}

/** Passes signals to the program. Until it has registered its handlers nothing
 * is being served: a request to stop ends the process, and a change of the
 * settings file is kept for the handlers.
 *
 * @example
 * ```ts
 * const signals = new ProcessSignals();
 * const unregister = signals.register({ onStop, onReload });
 * ```
 */
export class ProcessSignals {
  #handlers: SignalHandlers | undefined;
  #isReloadPending = false;

  constructor() {
    for (const signal of STOP_SIGNALS) process.on(signal, () => this.#stop());
    process.on("SIGHUP", () => this.#reload());
    for (const signal of IGNORED_SIGNALS) process.on(signal, () => undefined);
  }

  /** Registers the program's handlers; returns the undo. */
  register(handlers: SignalHandlers): () => void {
    this.#handlers = handlers;
    if (this.#isReloadPending) this.#reload();
    return () => {
      if (this.#handlers === handlers) this.#handlers = undefined;
    };
  }

  #stop(): void {
    if (this.#handlers === undefined) process.exit(0);
    else this.#handlers.onStop();
  }

  #reload(): void {
    this.#isReloadPending = this.#handlers === undefined;
    this.#handlers?.onReload();
  }
}
