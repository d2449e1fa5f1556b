/** Command-line entry point of the gateway.
 *
 * The program is loaded only when signals are taken: a change of the settings
 * file may be announced at any time after the start.
 *
 * @module
 */
import { ProcessSignals } from "./process_signals.ts";

const signals = new ProcessSignals();
const { runProgram } = await import("./program.ts");
runProgram(signals);
