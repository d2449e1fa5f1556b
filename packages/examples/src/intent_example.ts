/** Example of intent records: a call that must not be repeated is sent once,
 * and its response is replayed afterwards.
 *
 * @module
 */
import { hashKey } from "@banyanlb/core";
import { IntentLog } from "@banyanlb/intent";
import { errorKind, type ExampleContext, orThrow } from "./example_context.ts";

const BODY = '{"bell":"east","strokes":3}';
const DEADLINE_MS = 5_000;

/** Two instances receive the same call. */
export async function showIntent(context: ExampleContext): Promise<void> {
  const { clock, print } = context;
  const a = new IntentLog(context);
  const b = new IntentLog(context);
  const request = {
    workspace: "acme",
    route: "strike",
    idempotency_key: "order-17",
    body_sha256: hashKey(BODY),
    deadline: clock.now() + DEADLINE_MS,
  };
  const first = orThrow(await a.take(request));
  print(`intent: first attempt: ${first.kind}`);
  const concurrent = orThrow(await b.take(request));
  print(`intent: at the same time elsewhere: ${concurrent.kind}`);
  if (first.kind === "taken" && first.isUsable()) {
    // The call is sent here, in the same event-loop turn as the check.
    const body = Buffer.from('{"struck":3}');
    first.finish({ status: 200, content_type: "application/json", body });
  }
  await a.flush();
  const repeat = orThrow(await b.take(request));
  print(`intent: repeated later: ${repeat.kind}`);
  const changed_request = { ...request, body_sha256: hashKey("{}") };
  const reused = await b.take(changed_request);
  print(`intent: the same key with another body: ${errorKind(reused)}`);
  await a.close();
  await b.close();
}
