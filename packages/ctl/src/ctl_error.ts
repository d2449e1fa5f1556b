/** Errors that end the program with an exit code.
 *
 * @module
 */
import type { PublishFailure } from "@banyanlb/daemon";
import { EXIT, type ExitCode } from "./constants.ts";

/** An error that is printed to the operator. Its message names the remedy. */
export class CtlError extends Error {
  readonly exit_code: ExitCode;

  constructor(exit_code: ExitCode, message: string) {
    super(message);
    this.name = "CtlError";
    this.exit_code = exit_code;
  }
}

const EXIT_OF_FAILURE: Readonly<Record<PublishFailure["kind"], ExitCode>> = {
  conflict: EXIT.conflict,
  rejected: EXIT.invalid,
  not_published: EXIT.refused,
  outcome_unknown: EXIT.outcome_unknown,
  not_found: EXIT.not_found,
};

/** Returns the error for a change that an instance did not publish. */
export function publishError(failure: PublishFailure): CtlError {
  const rows = (failure.violations ?? []).map((v) => `${v.path}: ${v.message}`);
  const message = [failure.message, ...rows].join("\n");
  return new CtlError(EXIT_OF_FAILURE[failure.kind], message);
}
