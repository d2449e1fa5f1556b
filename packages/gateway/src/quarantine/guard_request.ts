/** Begins to guard a request.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type {
  CallerRequest,
  EngineChooser,
  Workspace,
} from "@banyanlb/serving";
import type { CrashProtection } from "./crash_protection.ts";
import type { RequestGuard } from "./request_guard.ts";

/** Creates the guard of a request: what it consists of, as far as it may crash
 * engines, and the engines that it may be sent to. */
export function guardRequest(
  { crashProtection, chooser }: {
    readonly crashProtection: Pick<CrashProtection, "guard">;
    readonly chooser: Pick<EngineChooser, "enginesOf">;
  },
  { req, caller, workspace, service, body }: {
    readonly req: IncomingMessage;
    readonly caller: CallerRequest;
    readonly workspace: Workspace | undefined;
    readonly service: string;
    readonly body: Buffer | undefined;
  },
): RequestGuard {
  const { id, sharedParts, model, adapter, prompt } = caller;
  return crashProtection.guard({
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
  });
}
