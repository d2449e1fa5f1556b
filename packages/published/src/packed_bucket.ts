/** One bucket of packed entries: a buffer of records, found by the hash of
 * their name.
 *
 * @module
 */
import { packEntry, unpackEntry } from "./packed_record.ts";
import type { Entry } from "./snapshot_edit.ts";

const ROW_FIELDS = 2;
const MINUS = 0x2d;
const ZERO = 0x30;
const NINE = 0x39;

/** Hash of a whole name. Independent of the hash that selects the bucket. */
export function hashName(name: string): number {
  let hash = name.length;
  for (let i = 0; i < name.length; i++) {
    hash = Math.imul(hash ^ name.charCodeAt(i), 0x5bd1e995);
    hash ^= hash >>> 15;
  }
  return hash >>> 0;
}

/** Index of the first of the sorted pairs whose hash is at least `hash`. */
export function lowerBound(pairs: Uint32Array, hash: number): number {
  let low = 0;
  let high = pairs.length / ROW_FIELDS;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((pairs[middle * ROW_FIELDS] as number) < hash) low = middle + 1;
    else high = middle;
  }
  return low;
}

interface LocatedEdit {
  readonly hash: number;
  /** Row to replace, or the row before which to insert. */
  readonly row: number;
  readonly is_replacement: boolean;
  readonly text: string | undefined;
}

/** An immutable bucket of packed entries. */
export class PackedBucket {
  readonly #bytes: Buffer;
  /** For each record, its hash and the offset of its end in the bytes; sorted
   * by hash. */
  readonly #rows: Uint32Array;

  private constructor(bytes: Buffer, rows: Uint32Array) {
    this.#bytes = bytes;
    this.#rows = rows;
  }

  /** A bucket without entries. */
  static empty(): PackedBucket {
    return new PackedBucket(Buffer.alloc(0), new Uint32Array(0));
  }

  /** Number of entries. */
  get size(): number {
    return this.#rows.length / ROW_FIELDS;
  }

  /** The entry with this name, if any. */
  get(name: string): Entry | undefined {
    return this.#find(name, hashName(name)).entry;
  }

  /** All entries. */
  *entries(): IterableIterator<Entry> {
    for (let row = 0; row < this.size; row++) yield this.#entryAt(row);
  }

  /** Entries whose shape id passes. For entries stored whole, the id is -1. */
  *entriesOfShapes(
    passes: (shape: number) => boolean,
  ): IterableIterator<Entry> {
    for (let row = 0; row < this.size; row++) {
      if (passes(this.#shapeAt(row))) yield this.#entryAt(row);
    }
  }

  /** Entries whose record contains at least one of the texts. */
  *entriesContaining(texts: readonly string[]): IterableIterator<Entry> {
    const rows = new Set<number>();
    for (const text of texts) {
      let offset = this.#bytes.indexOf(text);
      while (offset >= 0) {
        const row = this.#rowAt(offset);
        rows.add(row);
        offset = this.#bytes.indexOf(text, this.#startOf(row + 1));
      }
    }
    for (const row of rows) yield this.#entryAt(row);
  }

  /** The bucket after edits; a value of `undefined` removes the entry. */
  with(edits: ReadonlyMap<string, Entry | undefined>): PackedBucket {
    const located = [...edits].map(([name, entry]) => this.#locate(name, entry))
      .filter((edit) => edit.is_replacement || edit.text !== undefined);
    located.sort((a, b) => a.row - b.row || a.hash - b.hash);
    return this.#merge(located);
  }

  #locate(name: string, entry: Entry | undefined): LocatedEdit {
    const hash = hashName(name);
    const { row, entry: before } = this.#find(name, hash);
    const text = entry && packEntry(entry);
    return { hash, row, is_replacement: before !== undefined, text };
  }

  #find(
    name: string,
    hash: number,
  ): { readonly row: number; readonly entry?: Entry } {
    const first = lowerBound(this.#rows, hash);
    for (let row = first; row < this.size; row++) {
      if (this.#rows[row * ROW_FIELDS] !== hash) break;
      const entry = this.#entryAt(row);
      if (entry.object.name === name) return { row, entry };
    }
    return { row: first };
  }

  #startOf(row: number): number {
    return row === 0 ? 0 : this.#rows[row * ROW_FIELDS - 1] as number;
  }

  /** The row whose record contains the byte at `offset`. */
  #rowAt(offset: number): number {
    let low = 0;
    let high = this.size;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#startOf(middle + 1) <= offset) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  #entryAt(row: number): Entry {
    const start = this.#startOf(row);
    const end = this.#startOf(row + 1);
    return unpackEntry(this.#bytes.toString("utf8", start, end));
  }

  #shapeAt(row: number): number {
    // A record begins with `[` and its shape id.
    let offset = this.#startOf(row) + 1;
    if (this.#bytes[offset] === MINUS) return -1;
    let shape = 0;
    for (;;) {
      const byte = this.#bytes[offset++] as number;
      if (byte < ZERO || byte > NINE) return shape;
      shape = shape * 10 + byte - ZERO;
    }
  }

  #merge(edits: readonly LocatedEdit[]): PackedBucket {
    let length = this.#bytes.length;
    let size = this.size;
    for (const { text, is_replacement: replaces, row } of edits) {
      if (replaces) length -= this.#startOf(row + 1) - this.#startOf(row);
      if (replaces) size--;
      if (text !== undefined) length += Buffer.byteLength(text);
      if (text !== undefined) size++;
    }
    const bytes = Buffer.allocUnsafeSlow(length);
    const rows = new Uint32Array(size * ROW_FIELDS);
    let end = 0;
    let count = 0;
    let copied = 0;
    const append = (hash: number) => {
      rows[count++] = hash;
      rows[count++] = end;
    };
    const copyUntil = (row: number) => {
      const start = this.#startOf(copied);
      const shift = end - start;
      this.#bytes.copy(bytes, end, start, this.#startOf(row));
      for (; copied < row; copied++) {
        end = this.#startOf(copied + 1) + shift;
        append(this.#rows[copied * ROW_FIELDS] as number);
      }
    };
    for (const { hash, row, is_replacement: replaces, text } of edits) {
      copyUntil(row);
      if (text !== undefined) {
        end += bytes.write(text, end);
        append(hash);
      }
      if (replaces) copied = row + 1;
    }
    copyUntil(this.size);
    return new PackedBucket(bytes, rows);
  }
}
