/** Commands on keys: `keys issue` and `keys withdraw`.
 *
 * @module
 */
import { hashKey } from "@banyanlb/core";
import { randomBytes } from "node:crypto";
import { EXIT, type ExitCode, KEY_BYTES } from "./constants.ts";
import { publishError } from "./ctl_error.ts";
import type { Session } from "./session.ts";

const NAME_BYTES = 4;

/** `keys issue WORKSPACE`: creates a key and publishes only its hash. The key
 * itself is printed once and stored nowhere. */
export async function runIssueKey(
  session: Session,
  workspace: string,
  name: string | undefined,
): Promise<ExitCode> {
  const key = `bk-${randomBytes(KEY_BYTES).toString("base64url")}`;
  const object = {
    kind: "key",
    name: name ?? `${workspace}-${randomBytes(NAME_BYTES).toString("hex")}`,
    workspace,
    sha256: hashKey(key),
  };
  const connection = await session.connect();
  const edits = { put: [{ object, base: null }], remove: [] };
  const reply = await connection.write((calls) => calls.publish.mutate(edits));
  if (reply.error !== undefined) throw publishError(reply.error);
  session.result({ name: object.name, key, generation: reply.generation });
  return EXIT.ok;
}

/** `keys withdraw NAME`: withdraws a key, so that it is no longer accepted. */
export async function runWithdrawKey(
  session: Session,
  name: string,
): Promise<ExitCode> {
  const connection = await session.connect();
  const reply = await connection.write((calls) =>
    calls.withdraw_key.mutate({ name })
  );
  if (reply.error !== undefined) throw publishError(reply.error);
  session.result({ withdrawn: name, generation: reply.generation });
  return EXIT.ok;
}
