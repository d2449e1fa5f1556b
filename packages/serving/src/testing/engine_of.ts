import type { Engine } from "../types.ts";

/** An engine with this key for tests; `fields` are those that matter to them.
 *
 * @example
 * ```ts
 * const large = engineOf("e1@7", { slots: 64 });
 * ```
 */
export function engineOf(key: string, fields: Partial<Engine> = {}): Engine {
  return {
    key,
    id: key,
    service: "svc",
    host: "127.0.0.1",
    port: 1,
    zone: "z",
    slots: 1,
    leaving: false,
    remainingMs: undefined,
    models: [],
    ...fields,
  };
}
