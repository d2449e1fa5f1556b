/** Sends one request of a soak's caller and waits for its response.
 *
 * @module
 */
import { type Agent, request } from "node:http";
import { requestHeaders } from "@banyanlb/platform/stand_in";
import type { Attempt, RequestKind } from "./checks.ts";

/** Deadline that a caller sends with a request, and the caller's own
 * timeout, in milliseconds. */
const REQUEST_DEADLINE_MS = 3000;
const REQUEST_TIMEOUT_MS = 5000;

/** A request to send. */
export interface OutgoingRequest {
  readonly agent: Agent;
  readonly id: string;
  readonly kind: RequestKind;
  readonly path: string;
  /** The body; a read has none. */
  readonly body: string;
  readonly key: string;
  readonly model: string | undefined;
  /** Ids of the prompt's parts. */
  readonly parts: readonly string[] | undefined;
  readonly lastEventId?: string | undefined;
  readonly resumes?: string | undefined;
  /** When the caller gives up, if it does not wait. */
  readonly leaveAfterMs?: number | undefined;
}

/** What a caller saw of a response. */
export type ReceivedResponse = Pick<
  Attempt,
  "status" | "responseId" | "body" | "complete" | "leftAt" | "retryAfter"
>;

/** Method of the requests of a kind. */
export function methodOf(kind: RequestKind): "GET" | "POST" {
  return kind === "read" ? "GET" : "POST";
}

/** Sends a request to `address`, a host and port. */
export function sendRequest(
  address: string,
  req: OutgoingRequest,
): Promise<ReceivedResponse> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    let status = 0;
    let responseId: string | undefined;
    let retryAfter: string | undefined;
    let body = "";
    let leftAt: number | undefined;
    const finish = (complete: boolean) => {
      clearTimeout(timer);
      resolve({ status, responseId, body, complete, leftAt, retryAfter });
    };
    const clientRequest = request({
      agent: req.agent,
      host,
      port: Number(port),
      method: methodOf(req.kind),
      path: req.path,
      setHost: false,
      headers: requestHeaders({
        id: req.id,
        key: req.key,
        deadlineMs: REQUEST_DEADLINE_MS,
        ...(req.model === undefined ? {} : { model: req.model }),
        ...(req.parts === undefined ? {} : { parts: req.parts }),
        ...(req.lastEventId === undefined
          ? {}
          : { lastEventId: req.lastEventId }),
        ...(req.resumes === undefined ? {} : { resumes: req.resumes }),
      }),
    });
    const timer = setTimeout(() => {
      if (req.leaveAfterMs !== undefined) leftAt = Date.now();
      clientRequest.destroy();
    }, req.leaveAfterMs ?? REQUEST_TIMEOUT_MS);
    clientRequest.on("error", () => finish(false));
    clientRequest.on("response", (res) => {
      status = res.statusCode ?? 0;
      responseId = res.headers["request-id"]?.toString();
      retryAfter = res.headers["retry-after"];
      res.setEncoding("utf8");
      res.on("data", (text: string) => (body += text));
      res.on("error", () => finish(false));
      res.on("end", () => finish(res.complete));
    });
    clientRequest.end(req.kind === "read" ? undefined : req.body);
  });
}
