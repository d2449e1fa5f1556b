/** Objects with versions, conditional writes and watches.
 *
 * @module
 */
import { type Timestamp, timestamp } from "./timestamp.ts";

/** A stored object. */
export interface StoredObject {
  readonly version: string;
  /** JSON text. */
  readonly text: string;
}

/** One write that was applied. */
export interface HistoryRow extends Timestamp {
  readonly op: "create" | "update" | "remove";
  readonly kind: string;
  readonly name: string;
  readonly version: string;
  /** JSON text; empty for a removal. */
  readonly text: string;
  /** IP address of the writer. */
  readonly source: string;
}

/** One conditional write. */
export interface ConditionalWrite {
  readonly kind: string;
  readonly name: string;
  /** Version that the object must have; `undefined`: it must not exist. */
  readonly base_version: string | undefined;
  /** JSON text; `undefined` removes the object. */
  readonly text: string | undefined;
  readonly source: string;
}

/** HTTP status of a write, with the new version if the write was applied. */
export type WriteResult =
  | { readonly status: 404 | 409 }
  | { readonly status: 200 | 201 | 204; readonly version: string };

function toWatchKey(kind: string, name: string): string {
  return `${kind}/${name}`;
}

/** The objects of a store, in memory. */
export class ObjectTable {
  readonly #kinds = new Map<string, Map<string, StoredObject>>();
  readonly #watches = new Map<string, Set<() => void>>();
  #history: HistoryRow[] = [];
  #last_version = 0;

  /** Every write that was applied, oldest first. */
  get history(): readonly HistoryRow[] {
    return this.#history;
  }

  get(kind: string, name: string): StoredObject | undefined {
    return this.#kinds.get(kind)?.get(name);
  }

  /** Returns the names of all objects of a kind. */
  names(kind: string): readonly string[] {
    return [...(this.#kinds.get(kind)?.keys() ?? [])];
  }

  /** Applies a write if its condition holds, and notifies the watches of the
   * object. */
  write(write: ConditionalWrite): WriteResult {
    const current = this.get(write.kind, write.name);
    if (write.base_version === undefined) {
      if (current !== undefined) return { status: 409 };
      return this.#apply(write, { op: "create", status: 201 });
    }
    if (current === undefined) return { status: 404 };
    if (current.version !== write.base_version) return { status: 409 };
    return write.text === undefined
      ? this.#apply(write, { op: "remove", status: 204 })
      : this.#apply(write, { op: "update", status: 200 });
  }

  /** Calls `notify` at the next write to an object. Returns a function that
   * cancels the watch. */
  watch(kind: string, name: string, notify: () => void): () => void {
    const key = toWatchKey(kind, name);
    const watches = this.#watches.get(key) ?? new Set();
    this.#watches.set(key, watches);
    watches.add(notify);
    return () => {
      watches.delete(notify);
      if (watches.size === 0) this.#watches.delete(key);
    };
  }

  /** Clears the history. */
  clearHistory(): void {
    this.#history = [];
  }

  #apply(
    write: ConditionalWrite,
    operation: {
      readonly op: HistoryRow["op"];
      readonly status: 200 | 201 | 204;
    },
  ): WriteResult {
    const { kind, name, text, source } = write;
    this.#last_version += 1;
    const version = String(this.#last_version);
    const objects = this.#kinds.get(kind) ?? new Map<string, StoredObject>();
    this.#kinds.set(kind, objects);
    if (text === undefined) objects.delete(name);
    else objects.set(name, { version, text });
    this.#history.push({
      ...timestamp(),
      op: operation.op,
      kind,
      name,
      version,
      text: text ?? "",
      source,
    });
    this.#notifyWatches(toWatchKey(kind, name));
    return { status: operation.status, version };
  }

  #notifyWatches(key: string): void {
    const watches = this.#watches.get(key);
    this.#watches.delete(key);
    for (const notify of watches ?? []) notify();
  }
}
