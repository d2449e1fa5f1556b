/** Simple target policies, baselines for comparison with the affinity policy.
 *
 * @module
 */
import {
  rankByRendezvous,
  type Target,
  type TargetFeedback,
  TargetPolicy,
  type TargetRequest,
} from "@banyanlb/core";

/** Ranks targets in random order.
 *
 * @example
 * ```ts
 * new RandomPolicy().rank(request, targets);
 * ```
 */
export class RandomPolicy extends TargetPolicy {
  readonly #random: () => number;

  constructor(random: () => number = Math.random) {
    super();
    this.#random = random;
  }

  override rank(
    _request: TargetRequest,
    targets: readonly Target[],
  ): readonly Target[] {
    return excludeLeaving(targets)
      .map((target) => ({ target, key: this.#random() }))
      .sort((a, b) => a.key - b.key)
      .map((row) => row.target);
  }

  override recordFeedback(): void {}
}

/** Ranks targets by the number of requests that this entry instance has in
 * flight there, lowest first. */
export class LeastConnectionsPolicy extends TargetPolicy {
  readonly #in_flight = new Map<string, number>();

  override rank(
    _request: TargetRequest,
    targets: readonly Target[],
  ): readonly Target[] {
    return excludeLeaving(targets)
      .toSorted((a, b) => this.#inFlightOf(a.name) - this.#inFlightOf(b.name));
  }

  override recordFeedback(feedback: TargetFeedback): void {
    if (feedback.kind === "granted") return;
    const delta = feedback.kind === "sent" ? 1 : -1;
    const count = Math.max(0, this.#inFlightOf(feedback.target) + delta);
    this.#in_flight.set(feedback.target, count);
  }

  #inFlightOf(target: string): number {
    return this.#in_flight.get(target) ?? 0;
  }
}

/** Ranks targets by rendezvous hashing of the version or, for a service without
 * adapters, of the workspace. */
export class ConsistentHashPolicy extends TargetPolicy {
  override rank(
    request: TargetRequest,
    targets: readonly Target[],
  ): readonly Target[] {
    const key = request.version ?? request.workspace;
    return rankByRendezvous(excludeLeaving(targets), {
      key,
      name: (t) => t.name,
    });
  }

  override recordFeedback(): void {}
}

function excludeLeaving(targets: readonly Target[]): readonly Target[] {
  return targets.filter((target) => target.leaving !== true);
}
