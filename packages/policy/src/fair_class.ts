/** Start-time fair queuing between the workspaces of one class.
 *
 * @module
 */
import type { QueuedRequest, QueueView, TokenCharge } from "@banyanlb/core";
import { MAX_GROUPING_WAIT_MS, MAX_LAG_TOKENS } from "./constants.ts";

/** The asks of one workspace in order of arrival. */
interface Backlog {
  readonly asks: Map<string, QueuedRequest>;
  weight: number;
  /** Tokens per weight served so far, in virtual time. */
  served: number;
  /** Version of the last ask served. */
  last_version: string | undefined;
}

/** Serves the workspace that was served the fewest tokens per weight. */
export class FairClass {
  readonly #backlogs = new Map<string, Backlog>();
  readonly #workspace_of = new Map<string, string>();
  /** Virtual time: what the last workspace chosen had been served. */
  #virtual = 0;

  /** Number of asks that wait. */
  get size(): number {
    return this.#workspace_of.size;
  }

  /** Asks of one workspace that wait. */
  countOf(workspace: string): number {
    return this.#backlogs.get(workspace)?.asks.size ?? 0;
  }

  /** Adds an ask. A workspace that had none starts at the virtual time, so
   * that it saves up nothing while idle. */
  add(ask: QueuedRequest): void {
    const backlog = this.#backlogFor(ask.workspace);
    if (backlog.asks.size === 0) {
      backlog.served = Math.max(backlog.served, this.#virtual);
    }
    backlog.weight = ask.weight;
    backlog.asks.set(ask.id, ask);
    this.#workspace_of.set(ask.id, ask.workspace);
  }

  /** Removes an ask without charge. False: it was not there. */
  remove(id: string): boolean {
    const workspace = this.#workspace_of.get(id);
    if (workspace === undefined) return false;
    this.#workspace_of.delete(id);
    this.#backlogs.get(workspace)?.asks.delete(id);
    this.#forgetIdle();
    return true;
  }

  /** The next ask that `view` accepts. */
  peek(view: QueueView): QueuedRequest | undefined {
    const backlogs = [...this.#backlogs.values()]
      .filter((backlog) => backlog.asks.size > 0)
      .sort((a, b) => this.#startOf(a) - this.#startOf(b));
    for (const backlog of backlogs) {
      const ask = chooseAsk(backlog, view);
      if (ask !== undefined) return ask;
    }
    return undefined;
  }

  /** Removes an ask and charges its workspace. */
  take(ask: QueuedRequest): void {
    const backlog = this.#backlogFor(ask.workspace);
    const start = this.#startOf(backlog);
    this.#virtual = Math.max(this.#virtual, start);
    backlog.served = start + ask.tokens / backlog.weight;
    backlog.last_version = ask.version;
    this.remove(ask.id);
  }

  /** Corrects a charge. */
  settle(charge: TokenCharge): void {
    const backlog = this.#backlogs.get(charge.workspace);
    if (backlog === undefined) return;
    backlog.served += charge.tokens / backlog.weight;
  }

  /** A workspace whose asks could not be served keeps its lag, within a
   * bound, so that it catches up without shutting others out for long. */
  #startOf(backlog: Backlog): number {
    return Math.max(backlog.served, this.#virtual - MAX_LAG_TOKENS);
  }

  #backlogFor(workspace: string): Backlog {
    const known = this.#backlogs.get(workspace);
    if (known !== undefined) return known;
    const backlog: Backlog = {
      asks: new Map(),
      weight: 1,
      served: this.#virtual,
      last_version: undefined,
    };
    this.#backlogs.set(workspace, backlog);
    return backlog;
  }

  /** Forgets idle workspaces that virtual time has caught up with. */
  #forgetIdle(): void {
    for (const [workspace, backlog] of this.#backlogs) {
      if (backlog.asks.size > 0 || backlog.served > this.#virtual) continue;
      this.#backlogs.delete(workspace);
    }
  }
}

/** Prefers the version served last, until the oldest ask waited too long. */
function chooseAsk(
  backlog: Backlog,
  view: QueueView,
): QueuedRequest | undefined {
  const accepted = [...backlog.asks.values()].filter(view.accepts);
  const oldest = accepted[0];
  if (oldest === undefined) return undefined;
  if (view.now - oldest.queued_at >= MAX_GROUPING_WAIT_MS) return oldest;
  const same = accepted.find((ask) => ask.version === backlog.last_version);
  return same ?? oldest;
}
