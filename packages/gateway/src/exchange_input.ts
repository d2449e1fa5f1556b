/** What an exchange is given.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerRequest, Route, Workspace } from "@banyanlb/serving";
import type { ConfigurationInUse } from "./relay_dependencies.ts";

/** A request whose route, workspace, service and body have been determined. */
export interface ExchangeInput {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly caller: CallerRequest;
  readonly route: Route;
  readonly workspace: Workspace | undefined;
  readonly service: string;
  readonly maxConnections: number;
  readonly body: Buffer | undefined;
  readonly arrivedAt: number;
  /** The version of the configuration that applies, and its age on arrival, for
   * the log. */
  readonly configuration: ConfigurationInUse;
  readonly refuse: (
    status: number,
    reason: string,
    waitSeconds?: number,
  ) => void;
}

/** When a request must have its answer, by the monotonic clock.
 *
 * @example
 * ```ts
 * const leftMs = deadlineOf(input) - performance.now();
 * ```
 */
export function deadlineOf(
  { caller, route, arrivedAt }: Pick<
    ExchangeInput,
    "caller" | "route" | "arrivedAt"
  >,
): number {
  return arrivedAt + Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
}
