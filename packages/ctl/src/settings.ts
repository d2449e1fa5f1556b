/** Connection settings of banyanctl.
 *
 * @module
 */
import { createValidator } from "@banyanlb/core";
import { existsSync } from "node:fs";
import {
  DEFAULT_SETTINGS_FILE,
  DEFAULT_TIMEOUT_MS,
  EXIT,
} from "./constants.ts";
import { CtlError } from "./ctl_error.ts";
import {
  ctl_settings_schema,
  type CtlSettings,
} from "./generated/ctl_settings.ts";
import { formatFaults, readJsonc } from "./jsonc_file.ts";

const checkSettings = createValidator<CtlSettings>(ctl_settings_schema);

/** Command-line flags that select the connection. */
export interface ConnectionFlags {
  readonly settings?: string | undefined;
  readonly server?: string | readonly string[] | undefined;
}

/** Connection settings with all defaults applied. */
export interface ResolvedSettings {
  readonly servers: readonly string[];
  readonly token: string;
  readonly timeout_ms: number;
}

function loadSettings(file: string): CtlSettings {
  const read = readJsonc(file);
  if (read.isErr()) throw new CtlError(EXIT.invalid, formatFaults(read.error));
  const checked = checkSettings(read.value.value);
  if (checked.isOk()) return checked.value;
  const faults = checked.error.map((v) =>
    read.value.faultAt(v.path, `${v.message}; see docs/CTL.md`)
  );
  throw new CtlError(EXIT.invalid, formatFaults(faults));
}

function serversOf(flags: ConnectionFlags): readonly string[] {
  if (flags.server === undefined) return [];
  return typeof flags.server === "string" ? [flags.server] : flags.server;
}

/** Resolves the settings. Servers are taken from the flags, else from the
 * settings file; the token from the settings file, else from the environment
 * variable BANYANCTL_TOKEN. Throws a {@linkcode CtlError} that names the
 * remedy. */
export function resolveSettings(
  flags: ConnectionFlags,
  env: Readonly<Record<string, string | undefined>>,
): ResolvedSettings {
  const has_default_file = existsSync(DEFAULT_SETTINGS_FILE);
  const file = flags.settings ??
    (has_default_file ? DEFAULT_SETTINGS_FILE : undefined);
  const loaded = file === undefined ? undefined : loadSettings(file);
  const flag_servers = serversOf(flags);
  const servers = flag_servers.length > 0
    ? flag_servers
    : loaded?.servers ?? [];
  const token = loaded?.token ?? env["BANYANCTL_TOKEN"];
  if (servers.length === 0 || token === undefined) {
    throw new CtlError(
      EXIT.usage,
      "no server or no token is set; name a file with --settings, or give " +
        "--server ws://ADDRESS:PORT and the variable BANYANCTL_TOKEN",
    );
  }
  const timeout_ms = loaded?.timeout_ms ?? DEFAULT_TIMEOUT_MS;
  return { servers, token, timeout_ms };
}
