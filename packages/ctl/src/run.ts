/** Command-line parsing and dispatch.
 *
 * @module
 */
import sade from "sade";
import { runApply, runCheck, runDiff, runGet } from "./commands.ts";
import { EXIT, type ExitCode } from "./constants.ts";
import { CtlError } from "./ctl_error.ts";
import { runDrain, runRetire, runStatus, runTop } from "./fleet_commands.ts";
import { runIssueKey, runWithdrawKey } from "./key_commands.ts";
import type { CtlIo } from "./output.ts";
import { Session } from "./session.ts";

/** Version of banyanctl. */
export const VERSION = "0.1.0";

interface Flags {
  readonly _: readonly string[];
  readonly output?: string;
  readonly server?: string | readonly string[];
  readonly settings?: string;
  readonly base?: string;
  readonly name?: string;
  readonly whole?: boolean;
  readonly "dry-run"?: boolean;
  readonly count?: number | string;
}

type Command = (session: Session) => Promise<ExitCode>;
type Handler = (...args: unknown[]) => Command;

/** Declares the commands. Each handler returns the command to run. */
function declareCommands() {
  const program = sade("banyanctl").version(VERSION)
    .option("--output", "Output format: table or json", "table")
    .option("--server", "URL of an instance (ws://ADDRESS:PORT); repeatable")
    .option("--settings", "Settings file: JSON with comments");
  const declare = (usage: string, text: string, handler: Handler) =>
    program.command(usage, text).action(handler);

  declare("check [file]", "Check files of objects, offline", (first, flags) => {
    const { _, whole } = flags as Flags;
    return (s) => runCheck(s, filesOf(first, _), whole === true);
  }).option("--whole", "Also check that the files form a complete set", false);
  declare("diff [file]", "Show what apply would change", (first, flags) => {
    return (s) => runDiff(s, filesOf(first, (flags as Flags)._));
  });
  declare("apply [file]", "Publish files as one change", (first, flags) => {
    const { _, base, ...rest } = flags as Flags;
    const dry_run = rest["dry-run"] === true;
    return (s) => runApply(s, filesOf(first, _), { base, dry_run });
  }).option("--base", "Output of get --output json that the change is based on")
    .option("--dry-run", "Only check against the published set", false);
  declare("get <kind> [name]", "Show published objects", (kind, name) => {
    return (s) => runGet(s, String(kind), name as string | undefined);
  });
  declare("keys issue <workspace>", "Issue a key", (workspace, flags) => {
    return (s) => runIssueKey(s, String(workspace), (flags as Flags).name);
  }).option("--name", "Name of the key");
  declare("keys withdraw <name>", "Withdraw a key", (name) => {
    return (s) => runWithdrawKey(s, String(name));
  });
  declare(
    "status [view]",
    "Show an instance, or: instances, targets, ownership, workspaces, counters",
    (view) => (s) => runStatus(s, view as string | undefined),
  );
  declare("drain <name>", "Drain an instance or a target", (name) => {
    return (s) => runDrain(s, String(name));
  });
  declare("retire <session>", "End the session of a dead process", (id) => {
    return (s) => runRetire(s, String(id));
  });
  declare("top", "Show a live view", (flags) => {
    const count = Number((flags as Flags).count ?? Infinity);
    return (s) => runTop(s, count);
  }).option("--count", "Stop after this many refreshes");
  return program;
}

function filesOf(first: unknown, more: readonly string[]): readonly string[] {
  return first === undefined ? [] : [String(first), ...more];
}

/** Runs one command line and resolves to its exit code.
 *
 * @example
 * ```ts
 * process.exitCode = await runCtl(["check", "objects.jsonc"], io);
 * ```
 */
export async function runCtl(
  args: readonly string[],
  io: CtlIo,
): Promise<ExitCode> {
  const argv = ["node", "banyanctl", ...args];
  const parsed = declareCommands().parse(argv, { lazy: true });
  // `parse` has printed the help or the version.
  if (parsed === undefined) return EXIT.ok;
  const flags = parsed.args.at(-1) as unknown as Flags;
  const format = flags.output === "json" ? "json" : "table";
  const session = new Session(io, { format, flags });
  try {
    if (flags.output !== "json" && flags.output !== "table") {
      throw new CtlError(EXIT.usage, "--output is neither table nor json");
    }
    const handler = parsed.handler as unknown as Handler;
    return await handler(...parsed.args)(session);
  } catch (cause) {
    if (!(cause instanceof CtlError)) throw cause;
    io.err(cause.message);
    return cause.exit_code;
  } finally {
    await session.close();
  }
}
