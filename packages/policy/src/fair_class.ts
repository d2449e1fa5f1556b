/** Start-time fair queuing between the workspaces of one class.
 *
 * @module
 */
import type { QueuedRequest, QueueView, TokenCharge } from "@banyanlb/core";
import {
  MAX_GROUPING_WAIT_MS,
  MAX_LAG_TOKENS_PER_WEIGHT,
} from "./constants.ts";

/** The asks of one workspace in order of arrival. */
interface Flow {
  readonly requests: Map<string, QueuedRequest>;
  weight: number;
  /** Tokens per weight served so far, in virtual time. */
  end_tag: number;
  /** Version of the last ask served. */
  last_version: string | undefined;
}

/** Serves the workspace that was served the fewest tokens per weight. */
export class FairClass {
  readonly #flows = new Map<string, Flow>();
  readonly #workspace_by_id = new Map<string, string>();
  /** Virtual time: what the last workspace chosen had been served. */
  #virtual_time = 0;

  /** Number of asks that wait. */
  get size(): number {
    return this.#workspace_by_id.size;
  }

  /** Asks of one workspace that wait. */
  countOf(workspace: string): number {
    return this.#flows.get(workspace)?.requests.size ?? 0;
  }

  /** Adds an ask. A workspace that had none starts at the virtual time, so
   * that it saves up nothing while idle. */
  add(request: QueuedRequest): void {
    const flow = this.#flowFor(request.workspace);
    if (flow.requests.size === 0) {
      flow.end_tag = Math.max(flow.end_tag, this.#virtual_time);
    }
    flow.weight = request.weight;
    flow.requests.set(request.id, request);
    this.#workspace_by_id.set(request.id, request.workspace);
  }

  /** Removes an ask without charge. False: it was not there. */
  remove(id: string): boolean {
    const workspace = this.#workspace_by_id.get(id);
    if (workspace === undefined) return false;
    this.#workspace_by_id.delete(id);
    this.#flows.get(workspace)?.requests.delete(id);
    this.#removeIdle();
    return true;
  }

  /** The next ask that `view` accepts. */
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

  /** Removes an ask and charges its workspace. */
  take(request: QueuedRequest): void {
    const flow = this.#flowFor(request.workspace);
    const start_tag = this.#startTagOf(flow);
    this.#virtual_time = Math.max(this.#virtual_time, start_tag);
    flow.end_tag = start_tag + request.tokens / flow.weight;
    flow.last_version = request.version;
    this.remove(request.id);
  }

  /** Corrects a charge. */
  settle(charge: TokenCharge): void {
    const flow = this.#flows.get(charge.workspace);
    if (flow === undefined) return;
    flow.end_tag += charge.tokens / flow.weight;
  }

  /** A workspace whose asks could not be served keeps its lag, within a
   * bound, so that it catches up without shutting others out for long. */
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

  /** Forgets idle workspaces that virtual time has caught up with. */
  #removeIdle(): void {
    for (const [workspace, flow] of this.#flows) {
      if (flow.requests.size > 0 || flow.end_tag > this.#virtual_time) continue;
      this.#flows.delete(workspace);
    }
  }
}

/** Prefers the version served last, until the oldest ask waited too long. */
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
