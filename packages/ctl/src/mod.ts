/** `banyanctl`, the operators' command-line program.
 *
 * @module
 */
export { EXIT, type ExitCode } from "./constants.ts";
export { CtlError } from "./ctl_error.ts";
export type { CtlIo, OutputFormat } from "./output.ts";
export { runCtl, VERSION } from "./run.ts";
