/** Compact text records for objects of kinds with very many objects.
 *
 * Fields that many objects have in common are stored once as a shape: all but
 * the object's own name, references to adapters and versions, and weights. A
 * record consists of the id of its shape and the remaining values. A value that
 * begins with the stem of the object's own name is stored without the stem.
 *
 * @module
 */
import type { Adapter, Route, Version } from "@banyanlb/core";
import { MAX_SHAPES } from "./constants.ts";
import type { Entry } from "./snapshot_edit.ts";

/** Objects of the kinds that are stored packed. */
export type PackedObject = Adapter | Version | Route;

/** `[shape id, generation, name, ...values]`, or, for an object stored whole,
 * `[-1, generation, name, object]`. */
type PackedRow = readonly [number, number, string, ...unknown[]];

const NO_SHAPE = -1;
const SHORTENED_PREFIX = "~";
const VERBATIM_PREFIX = "=";

const shapes: PackedObject[] = [];
const shape_ids = new Map<string, number>();

function shapeIdOf(shape: PackedObject): number {
  const text = JSON.stringify(shape);
  const existing_id = shape_ids.get(text);
  if (existing_id !== undefined) return existing_id;
  // Records refer to shapes by id for as long as they exist, so a shape is
  // never removed.
  if (shapes.length >= MAX_SHAPES) return NO_SHAPE;
  shape_ids.set(text, shapes.length);
  shapes.push(shape);
  return shapes.length - 1;
}

function toShape(object: PackedObject): PackedObject {
  switch (object.kind) {
    case "adapter":
      return { ...object, name: "" };
    case "version":
      return { ...object, name: "", adapter: "", weights: "" };
    case "route":
      if (object.serves.type !== "version") return { ...object, name: "" };
      return { ...object, name: "", serves: { ...object.serves, version: "" } };
  }
}

function unsharedValues(object: PackedObject): readonly string[] {
  switch (object.kind) {
    case "adapter":
      return [];
    case "version":
      return [object.adapter, object.weights];
    case "route":
      return object.serves.type === "version" ? [object.serves.version] : [];
  }
}

/** The part of a name that selects its bucket: for a version, the name of its
 * adapter. */
export function stemOf(name: string): string {
  const at = name.indexOf("@");
  return at < 0 ? name : name.slice(0, at);
}

// Only a stem followed by a name separator or the end is removed. A record with
// such a shortened reference therefore lies in the same bucket as the object
// that it refers to.
function shorten(value: string, stem: string): string {
  if (!value.startsWith(stem)) return VERBATIM_PREFIX + value;
  const rest = value.slice(stem.length);
  const is_name = rest === "" || rest[0] === "@" || rest[0] === "/";
  return is_name ? SHORTENED_PREFIX + rest : VERBATIM_PREFIX + value;
}

function expand(value: string, stem: string): string {
  const rest = value.slice(1);
  return value[0] === SHORTENED_PREFIX ? stem + rest : rest;
}

function restore(
  shape: PackedObject,
  name: string,
  values: readonly string[],
): PackedObject {
  const stem = stemOf(name);
  const [first = "", second = ""] = values.map((v) => expand(v, stem));
  switch (shape.kind) {
    case "adapter":
      return { ...shape, name };
    case "version":
      return { ...shape, name, adapter: first, weights: second };
    case "route":
      if (shape.serves.type !== "version") return { ...shape, name };
      return { ...shape, name, serves: { ...shape.serves, version: first } };
  }
}

/** Packs an entry into a text record.
 *
 * @example
 * ```ts
 * const object = { kind: "adapter", name: "a", workspace: "w", model: "m" };
 * unpackEntry(packEntry({ object, generation: 1 })).generation; // 1
 * ```
 */
export function packEntry(entry: Entry): string {
  const object = entry.object as PackedObject;
  const { name } = object;
  const shape = shapeIdOf(toShape(object));
  if (shape === NO_SHAPE) {
    return JSON.stringify([NO_SHAPE, entry.generation, name, object]);
  }
  const stem = stemOf(name);
  const values = unsharedValues(object).map((value) => shorten(value, stem));
  return JSON.stringify([shape, entry.generation, name, ...values]);
}

/** Unpacks the entry from a text record. */
export function unpackEntry(text: string): Entry {
  const [id, generation, name, ...values] = JSON.parse(text) as PackedRow;
  const shape = shapes[id];
  if (shape === undefined) {
    return { object: values[0] as PackedObject, generation };
  }
  const object = restore(shape, name, values as readonly string[]);
  return { object, generation };
}

/** The shape with this id, the first number of a record; `undefined` if the
 * record is stored whole. */
export function shapeOf(id: number): PackedObject | undefined {
  return shapes[id];
}
