/** Describes a request to its guard.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type {
  CallerRequest,
  EngineChooser,
  Workspace,
} from "@banyanlb/serving";
import type { GuardedRequest } from "./request_guard.ts";

/** What a request consists of, as far as it may crash engines, and the engines
 * that it may be sent to. */
export function guardedRequest(
  { req, caller, workspace, body, service }: {
    readonly req: IncomingMessage;
    readonly caller: CallerRequest;
    readonly workspace: Workspace | undefined;
    readonly body: Buffer | undefined;
    readonly service: string;
  },
  chooser: Pick<EngineChooser, "enginesOf">,
): GuardedRequest {
  const { id, sharedParts, model, adapter, prompt } = caller;
  return {
    id,
    sharedParts,
    engines: () => chooser.enginesOf(service),
    identity: {
      method: req.method ?? "GET",
      host: req.headers.host ?? "",
      path: req.url ?? "/",
      workspace: workspace?.name,
      model,
      adapter,
      prompt,
      body,
    },
  };
}
