/** Reads settings files: JSON with comments, validated against the schema.
 *
 * @module
 */
import { createValidator } from "@banyanlb/core";
import {
  findNodeAtLocation,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { getNodeValue } from "jsonc-parser";
import { err, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { type Settings, settings_schema } from "./generated/settings.ts";

/** Settings with every default applied. */
export type FullSettings =
  & Settings
  & Required<Omit<Settings, "statsd" | "source_address">>;

/** One error in a settings file. */
export interface SettingsFault {
  readonly file: string;
  /** Line number in the file, starting at 1. */
  readonly line: number;
  /** Path of the value, e.g. `/listen/caller_port`. */
  readonly path: string;
  readonly message: string;
  readonly remedy: string;
}

type Properties = Readonly<
  Record<string, { readonly default?: unknown; readonly description?: string }>
>;

const PROPERTIES = settings_schema["properties"] as Properties;

const checkSettings = createValidator<Settings>(settings_schema);

/** Returns the line number of a character offset, starting at 1. */
function lineOf(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}

function segmentsOf(path: string): (string | number)[] {
  return path.split("/").slice(1).filter((part) => part !== "")
    .map((part) => /^\d+$/.test(part) ? Number(part) : part);
}

function describeRemedy(path: string): string {
  const name = String(segmentsOf(path)[0] ?? "");
  const description = PROPERTIES[name]?.description;
  if (description === undefined) return "see docs/SETTINGS.md";
  return `${name}: ${description} See docs/SETTINGS.md`;
}

function describeSyntaxFault(
  text: string,
  options: { readonly file: string; readonly error: ParseError },
): SettingsFault {
  return {
    file: options.file,
    line: lineOf(text, options.error.offset),
    path: "/",
    message: printParseErrorCode(options.error.error),
    remedy: "correct the JSON; comments and trailing commas are allowed",
  };
}

function fillDefaults(settings: Settings): FullSettings {
  const defaults = Object.entries(PROPERTIES)
    .filter(([, row]) => row.default !== undefined)
    .map(([name, row]) => [name, row.default]);
  return { ...Object.fromEntries(defaults), ...settings } as FullSettings;
}

/** Parses and validates the text of a settings file. `file` names it in the
 * errors. */
export function parseSettings(
  text: string,
  file: string,
): Result<FullSettings, readonly SettingsFault[]> {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || tree === undefined) {
    const list = errors.map((error) =>
      describeSyntaxFault(text, { file, error })
    );
    return err(list);
  }
  return checkSettings(getNodeValue(tree)).map(fillDefaults).mapErr((found) =>
    found.map(({ path, message }) => ({
      file,
      line: lineOf(text, findNearest(tree, path).offset),
      path,
      message,
      remedy: describeRemedy(path),
    }))
  );
}

/** Returns the node at `path`, or its nearest ancestor that exists. */
function findNearest(tree: Node, path: string): Node {
  const segments = segmentsOf(path);
  for (let length = segments.length; length > 0; length--) {
    const node = findNodeAtLocation(tree, segments.slice(0, length));
    if (node !== undefined) return node;
  }
  return tree;
}

/** Reads, parses and validates a settings file.
 *
 * @example
 * ```ts
 * const settings = loadSettings("/etc/banyanlb/settings.jsonc");
 * if (settings.isErr()) console.error(formatFaults(settings.error));
 * ```
 */
export function loadSettings(
  file: string,
): Result<FullSettings, readonly SettingsFault[]> {
  try {
    return parseSettings(readFileSync(file, "utf8"), file);
  } catch (cause) {
    return err([{
      file,
      line: 1,
      path: "/",
      message: cause instanceof Error ? cause.message : String(cause),
      remedy: "name a readable file with --settings",
    }]);
  }
}

/** Formats each error as one line with file, line, path, message and remedy. */
export function formatFaults(faults: readonly SettingsFault[]): string {
  return faults.map((f) =>
    `${f.file}:${f.line}: ${f.path}: ${f.message}; ${f.remedy}`
  ).join("\n");
}
