/** Answers callers that ask for the addresses of instances.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type CallerProtocol,
  type HomeRegions,
  type ReadyMember,
  Steering,
} from "@banyanlb/serving";
import { sendErrorResponse } from "./error_response.ts";

/** How long callers may cache the addresses of a steering response, in seconds:
 * short compared with the time after which a lost instance would be missed. */
const CACHE_SECONDS = 1;

/** What the endpoint needs to know. */
export interface SteeringEndpointOptions {
  readonly protocol: CallerProtocol;
  /** The longest time for which callers may cache addresses, in seconds. */
  readonly maxCacheSeconds: number;
  /** The instances that serve callers, this one included. */
  readonly readyMembers: (now: number) => readonly ReadyMember[];
  /** The regions whose instances may receive requests of callers of a host,
   * beside those of the caller's region; undefined for any. */
  readonly steeringRegionsOf: (host: string) => HomeRegions;
}

/** Selects addresses for each caller that asks. */
export class SteeringEndpoint {
  readonly #options: SteeringEndpointOptions;
  readonly #policy = new Steering();

  constructor(options: SteeringEndpointOptions) {
    this.#options = options;
  }

  /** Serves one request. */
  serve(req: IncomingMessage, res: ServerResponse): void {
    const { protocol, maxCacheSeconds, readyMembers, steeringRegionsOf } =
      this.#options;
    const asked = protocol.readSteeringRequest(req.url ?? "");
    if (asked === undefined) {
      return sendErrorResponse(res, 404, { id: undefined, reason: "no_route" });
    }
    const now = performance.now();
    const ready = readyMembers(now);
    if (ready.length === 0) {
      return sendErrorResponse(res, 503, {
        id: undefined,
        reason: "no_instance",
        waitSeconds: 0.5,
      });
    }
    const location = { ...asked, homes: steeringRegionsOf(asked.host) };
    const addresses = this.#policy.selectAddresses(ready, location, now);
    res.setHeader("content-type", "application/json");
    res.end(
      protocol.writeSteeringResponse(
        addresses,
        Math.min(CACHE_SECONDS, maxCacheSeconds),
      ),
    );
  }
}
