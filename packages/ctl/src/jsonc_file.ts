/** Parsing of JSON files with comments, with the line of each value for error
 * messages.
 *
 * @module
 */
import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";

/** A fault in a file. */
export interface FileFault {
  readonly file: string;
  /** Line number, starting at 1. */
  readonly line: number;
  /** Path of the faulty value, such as `/0/burst_tokens`. */
  readonly path: string;
  /** Description of the fault and its remedy. */
  readonly message: string;
}

/** A parsed JSONC file. */
export class JsoncFile {
  readonly file: string;
  readonly value: unknown;
  readonly #text: string;
  readonly #tree: Node;

  constructor(file: string, text: string, tree: Node) {
    this.file = file;
    this.value = getNodeValue(tree);
    this.#text = text;
    this.#tree = tree;
  }

  /** Returns a fault at a path. If the path does not exist, the line is that of
   * its nearest existing ancestor. */
  faultAt(path: string, message: string): FileFault {
    const { offset } = this.#nodeAt(path);
    const line = lineOf(this.#text, offset);
    const shown_path = path.replace(/\/$/, "") || "/";
    return { file: this.file, line, path: shown_path, message };
  }

  #nodeAt(path: string): Node {
    const segments = path.split("/").filter((part) => part !== "")
      .map((part) => /^\d+$/.test(part) ? Number(part) : part);
    for (let length = segments.length; length > 0; length--) {
      const node = findNodeAtLocation(this.#tree, segments.slice(0, length));
      if (node !== undefined) return node;
    }
    return this.#tree;
  }
}

function lineOf(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}

/** Parses JSON with comments. `file` is the name used in faults.
 *
 * @example
 * ```ts
 * const file = parseJsonc("[] // nothing yet", "objects.jsonc");
 * file.isOk(); // true
 * ```
 */
export function parseJsonc(
  text: string,
  file: string,
): Result<JsoncFile, readonly FileFault[]> {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  if (tree !== undefined && errors.length === 0) {
    return ok(new JsoncFile(file, text, tree));
  }
  const faults = errors.map(({ error, offset }) => ({
    file,
    line: lineOf(text, offset),
    path: "/",
    message: `${printParseErrorCode(error)}; correct the JSON, ` +
      "comments and trailing commas are allowed",
  }));
  const empty_fault = {
    file,
    line: 1,
    path: "/",
    message: "is empty; fill it",
  };
  return err(faults.length > 0 ? faults : [empty_fault]);
}

/** Reads and parses a file. */
export function readJsonc(
  file: string,
): Result<JsoncFile, readonly FileFault[]> {
  try {
    return parseJsonc(readFileSync(file, "utf8"), file);
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    const message = `${detail}; name a readable file`;
    return err([{ file, line: 1, path: "/", message }]);
  }
}

/** Formats one line per fault: file, line, path and message. */
export function formatFaults(faults: readonly FileFault[]): string {
  return faults.map((f) => `${f.file}:${f.line}: ${f.path}: ${f.message}`)
    .join("\n");
}
