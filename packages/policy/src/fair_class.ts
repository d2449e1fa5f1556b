/** Start-time fair queuing between the workspaces of one class.
 *
 * @module
 */
import type { QueuedRequest, QueueView, TokenCharge } from "@banyanlb/core";
import {
  MAX_GROUPING_WAIT_MS,
  MAX_LAG_TOKENS_PER_WEIGHT,
} from "./constants.ts";

/** The requests of one workspace in order of arrival. */
interface Flow {
  readonly requests: Map<string, QueuedRequest>;
  weight: number;
  /** Finish tag of the last served request, in virtual time. */
  end_tag: number;
  /** Version of the last served request. */
  last_version: string | undefined;
}

/** Queue of one class. Serves the workspace with the lowest start tag, i.e. the
 * one with the fewest served tokens per unit of weight. */
export class FairClass {
  readonly #flows = new Map<string, Flow>();
  readonly #workspace_by_id = new Map<string, string>();
  /** Virtual time in tokens per unit of weight: the highest start tag of a
   * served request. */
  #virtual_time = 0;

  /** Number of waiting requests. */
  get size(): number {
    return this.#workspace_by_id.size;
  }

  /** Number of waiting requests of one workspace. */
  countOf(workspace: string): number {
    return this.#flows.get(workspace)?.requests.size ?? 0;
  }

  /** Adds a request. A workspace without waiting requests starts at the virtual
   * time, so that it accumulates no credit while idle. */
  add(request: QueuedRequest): void {
    const flow = this.#flowFor(request.workspace);
    if (flow.requests.size === 0) {
      flow.end_tag = Math.max(flow.end_tag, this.#virtual_time);
    }
    flow.weight = request.weight;
    flow.requests.set(request.id, request);
    this.#workspace_by_id.set(request.id, request.workspace);
  }

  /** Removes a request without charging its workspace. Returns false if it is
   * not in the queue. */
  remove(id: string): boolean {
    const workspace = this.#workspace_by_id.get(id);
    if (workspace === undefined) return false;
    this.#workspace_by_id.delete(id);
    this.#flows.get(workspace)?.requests.delete(id);
    this.#removeIdle();
    return true;
  }

  /** Returns the next request that `view` accepts, without removing it. */
  peek(view: QueueView): QueuedRequest | undefined {
    const flows = [...this.#flows.values()]
      .filter((flow) => flow.requests.size > 0)
      .sort((a, b) => this.#startTagOf(a) - this.#startTagOf(b));
    for (const flow of flows) {
      const request = chooseRequest(flow, view);
      if (request !== undefined) return request;
    }
    return undefined;
  }

  /** Removes a request and charges its tokens to its workspace. */
  take(request: QueuedRequest): void {
    const flow = this.#flowFor(request.workspace);
    const start_tag = this.#startTagOf(flow);
    this.#virtual_time = Math.max(this.#virtual_time, start_tag);
    flow.end_tag = start_tag + request.tokens / flow.weight;
    flow.last_version = request.version;
    this.remove(request.id);
  }

  /** Corrects the charge of a workspace. */
  settle(charge: TokenCharge): void {
    const flow = this.#flows.get(charge.workspace);
    if (flow === undefined) return;
    flow.end_tag += charge.tokens / flow.weight;
  }

  /** Start tag of the workspace's next request. A workspace whose requests
   * could not be served keeps its lag behind virtual time, up to a bound, so
   * that it catches up without starving other workspaces for long. */
  #startTagOf(flow: Flow): number {
    return Math.max(
      flow.end_tag,
      this.#virtual_time - MAX_LAG_TOKENS_PER_WEIGHT,
    );
  }

  #flowFor(workspace: string): Flow {
    const existing = this.#flows.get(workspace);
    if (existing !== undefined) return existing;
    const flow: Flow = {
      requests: new Map(),
      weight: 1,
      end_tag: this.#virtual_time,
      last_version: undefined,
    };
    this.#flows.set(workspace, flow);
    return flow;
  }

  /** Removes workspaces that have no waiting requests and whose finish tag is
   * not above virtual time. */
  #removeIdle(): void {
    for (const [workspace, flow] of this.#flows) {
      if (flow.requests.size > 0 || flow.end_tag > this.#virtual_time) continue;
      this.#flows.delete(workspace);
    }
  }
}

/** Prefers requests for the last served version until the workspace's oldest
 * request has waited too long. */
function chooseRequest(
  flow: Flow,
  view: QueueView,
): QueuedRequest | undefined {
  const accepted = [...flow.requests.values()].filter(view.accepts);
  const oldest = accepted[0];
  if (oldest === undefined) return undefined;
  if (view.now - oldest.queued_at >= MAX_GROUPING_WAIT_MS) return oldest;
  const same_version = accepted.find((request) =>
    request.version === flow.last_version
  );
  return same_version ?? oldest;
}
