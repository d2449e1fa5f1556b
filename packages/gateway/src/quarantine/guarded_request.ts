/** Describes a request to its guard.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { CallerRequest, Workspace } from "@banyanlb/serving";
import type { GuardedRequest } from "./request_guard.ts";

/** What a request consists of, as far as it may crash engines. */
export function guardedRequest({ req, caller, workspace, body }: {
  readonly req: IncomingMessage;
  readonly caller: CallerRequest;
  readonly workspace: Workspace | undefined;
  readonly body: Buffer | undefined;
}): GuardedRequest {
  const { id, sharedParts, model, adapter, prompt } = caller;
  return {
    id,
    sharedParts,
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
