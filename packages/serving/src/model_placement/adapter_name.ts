/** Names of adapters among all adapters of an engine.
 *
 * @module
 */
import {
  adapterKey,
  type EngineClass,
  type EngineReport,
  type HeldAdapter,
  type HeldModel,
} from "../types.ts";

/** The name of an adapter in tables of engines and in messages between instances.
 * Adapters of two models may have the same name, so where a service has several
 * models theirs is put in front.
 *
 * @example
 * ```ts
 * adapterNameIn(engineClass, "m1", "a1"); // "a1", or "m1/a1"
 * ```
 */
export function adapterNameIn(
  engineClass: EngineClass | undefined,
  model: string,
  adapter: string,
): string {
  const hasSeveral = (engineClass?.models.length ?? 0) > 1;
  return hasSeveral ? adapterKey(model, adapter) : adapter;
}

/** The model and the adapter that a name stands for; undefined if it names no
 * model of the service.
 *
 * @example
 * ```ts
 * const { model, adapter } = adapterOf(engineClass, slot.adapter) ?? {};
 * ```
 */
export function adapterOf(
  { models }: EngineClass,
  name: string,
): { readonly model: string; readonly adapter: string } | undefined {
  const [only] = models;
  if (models.length === 1 && only !== undefined) {
    return { model: only.name, adapter: name };
  }
  const model = models.find((m) => name.startsWith(adapterKey(m.name, "")));
  if (model === undefined) return undefined;
  const adapter = name.slice(adapterKey(model.name, "").length);
  return { model: model.name, adapter };
}

/** The adapters of an engine's report, by their names among all of the engine.
 *
 * @example
 * ```ts
 * const { held, fetching } = namedAdapters(report, engineClass);
 * ```
 */
export function namedAdapters(
  { models, fetching }: Pick<EngineReport, "models" | "fetching">,
  engineClass: EngineClass,
): {
  readonly held: readonly HeldAdapter[];
  readonly fetching: readonly HeldAdapter[];
} {
  const nameOf = (model: string, adapter: HeldAdapter): HeldAdapter => ({
    name: adapterNameIn(engineClass, model, adapter.name),
    version: adapter.version,
  });
  const isListed = (model: HeldModel) =>
    engineClass.models.some(({ name }) => name === model.name);
  const [first] = engineClass.models;
  return {
    held: models.filter(isListed).flatMap(({ name, adapters }) =>
      adapters.map((adapter) => nameOf(name, adapter))
    ),
    fetching: fetching.map((adapter) =>
      nameOf(adapter.model ?? first?.name ?? "", adapter)
    ),
  };
}
