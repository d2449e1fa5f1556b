/** Records what engines say of themselves beside their answers.
 *
 * @module
 */
import type { EngineView, ResponseHead } from "@banyanlb/serving";
import * as events from "./events.ts";
import type { RelayDependencies } from "./relay_dependencies.ts";

/** Records what an engine says of itself beside its answer to the request `id`,
 * which was sent at `startedAt`.
 *
 * @example
 * ```ts
 * recordNotices(deps, { id, view, startedAt }, { head, wasTurnedAway });
 * ```
 */
export function recordNotices(
  { limits, metrics, log }: Pick<
    RelayDependencies,
    "limits" | "metrics" | "log"
  >,
  { id, view, startedAt }: {
    readonly id: string | undefined;
    readonly view: EngineView;
    readonly startedAt: number;
  },
  { head: { isLeaving, pauseMs, coldMs, brittleLimit }, wasTurnedAway }: {
    readonly head: ResponseHead;
    readonly wasTurnedAway: boolean;
  },
): void {
  const engine = view.engine.key;
  limits.recordBrittle(engine, brittleLimit, { wasTurnedAway, requestId: id });
  if (wasTurnedAway && pauseMs !== undefined) {
    metrics.add("engine_pauses_total", "");
    limits.recordPause(engine, pauseMs, id);
  }
  if (coldMs !== undefined) limits.recordColdTime(engine, coldMs);
  const now = performance.now();
  if (!view.recordLeaving(isLeaving, startedAt, now)) return;
  metrics.add("engine_leaving_notices_total", `leaving="${isLeaving}"`);
  log.write(events.ENGINE_LEAVING_SAID, { id, engine, leaving: isLeaving });
}
