/** Kinds of objects that operators edit, and the references of each kind.
 *
 * @module
 */
import type { ConfigObject } from "@banyanlb/core";

/** Kind of an object that operators edit. */
export type ConfigKind = ConfigObject["kind"];

/** The type of the objects of one kind. */
export type ObjectOfKind<K extends ConfigKind> = Extract<
  ConfigObject,
  { readonly kind: K }
>;

/** All kinds. A kind comes after the kinds that its objects refer to. */
export const CONFIG_KINDS: readonly ConfigKind[] = [
  "workspace",
  "model",
  "key",
  "adapter",
  "version",
  "route",
  "target",
];

/** Whether `text` names a kind. */
export function isConfigKind(text: string): text is ConfigKind {
  return CONFIG_KINDS.some((kind) => kind === text);
}

/** A reference of an object to an object of another kind, or to a pool. A pool
 * exists as long as a target names it. */
export interface Reference {
  readonly kind: ConfigKind | "pool";
  readonly name: string;
  /** JSON path of the referring field. */
  readonly path: string;
}

/** All references of an object. */
export function referencesOf(object: ConfigObject): readonly Reference[] {
  switch (object.kind) {
    case "workspace":
    case "model":
      return [];
    case "key":
      return [
        { kind: "workspace", name: object.workspace, path: "/workspace" },
      ];
    case "adapter":
      return [
        { kind: "workspace", name: object.workspace, path: "/workspace" },
        { kind: "model", name: object.model, path: "/model" },
      ];
    case "version":
      return [{ kind: "adapter", name: object.adapter, path: "/adapter" }];
    case "route":
      return [
        { kind: "workspace", name: object.workspace, path: "/workspace" },
        object.serves.type === "version"
          ? {
            kind: "version",
            name: object.serves.version,
            path: "/serves/version",
          }
          : { kind: "pool", name: object.serves.pool, path: "/serves/pool" },
      ];
    case "target":
      return object.model === undefined
        ? []
        : [{ kind: "model", name: object.model, path: "/model" }];
  }
}
