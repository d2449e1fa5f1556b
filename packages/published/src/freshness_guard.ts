/** Freshness guard: decides whether this instance may serve with the
 * configuration it holds.
 *
 * @module
 */
import type { Clock, EventLog, Member, Metrics } from "@banyanlb/core";
import {
  EVIDENCE_INTERVAL_MS,
  EVIDENCE_TIMEOUT_MS,
  GUARD_CHECK_INTERVAL_MS,
  MIN_EVIDENCE_INTERVAL_MS,
} from "./constants.ts";
import { CONFIGURATION_FRESH, CONFIGURATION_STALE } from "./events.ts";
import type { ConfigFollower } from "./follower.ts";
import { type FreshnessTimes, freshnessTimes } from "./freshness_times.ts";
import { requestEvidence, samplePeers } from "./peer_evidence.ts";
import type { ConfigPeers } from "./peers.ts";

/** Why an instance may serve or not. `contact`: its own poll of the store.
 * `relayed`: a peer's poll of the store. `outage`: peers in the store's region
 * replied and none of them reaches the store. `not_ready`: no configuration
 * yet, or not yet compared with peers. `stale_configuration`: no evidence is
 * recent enough. */
export type FreshnessReason =
  | "contact"
  | "relayed"
  | "outage"
  | "not_ready"
  | "stale_configuration";

/** Whether the instance may serve at the moment, and why. */
export interface FreshnessState {
  readonly serve: boolean;
  readonly reason: FreshnessReason;
}

/** Dependencies of a {@linkcode FreshnessGuard}. */
export interface FreshnessGuardDeps {
  readonly follower: ConfigFollower;
  readonly peers: ConfigPeers;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** Location of the instance, its view of the fleet and its time limits. */
export interface FreshnessGuardOptions {
  /** This instance's member id. */
  readonly self: string;
  /** This instance's region. */
  readonly region: string;
  /** Region in which the platform's store runs. */
  readonly store_region: string;
  /** Members of the fleet in this instance's current view. */
  readonly members: () => readonly Member[];
  /** Must equal the follower's times. Default: {@linkcode freshnessTimes} of
   * the default limit. */
  readonly times?: FreshnessTimes;
}

/** Decides whether the configuration is recent enough to serve with. Without
 * recent evidence the instance refuses, since it could have missed the
 * withdrawal of a key, route or version.
 *
 * @example
 * ```ts
 * const guard = new FreshnessGuard(deps, options);
 * guard.start();
 * // In the same event-loop turn as the request:
 * if (!guard.state().serve) refuse();
 * ```
 */
export class FreshnessGuard {
  readonly #deps: FreshnessGuardDeps;
  readonly #options: FreshnessGuardOptions;
  readonly #times: FreshnessTimes;
  readonly #stop = new AbortController();
  #relayed_at = -Infinity;
  #outage_at = -Infinity;
  #requested_at = -Infinity;
  #started_at = Infinity;
  #round = 0;
  /** Whether the last evidence request only renewed the evidence of an outage,
   * from a small sample of peers. */
  #is_renewal = false;
  #has_compared = false;
  #was_serving: boolean | undefined;
  #request_in_progress: Promise<void> | undefined;
  #task: Promise<void> | undefined;

  constructor(deps: FreshnessGuardDeps, options: FreshnessGuardOptions) {
    this.#deps = deps;
    this.#options = options;
    this.#times = options.times ?? freshnessTimes();
  }

  /** Starts checking the age of the evidence periodically. */
  start(): void {
    if (this.#task !== undefined) return;
    this.#started_at = this.#deps.clock.now();
    this.#task = this.#run();
  }

  /** Whether to serve now. Call it in the same event-loop turn as the request,
   * so that a process that was paused refuses as soon as it resumes. */
  state(): FreshnessState {
    const is_ready = this.#deps.follower.current() !== undefined &&
      this.#has_compared;
    if (!is_ready) return { serve: false, reason: "not_ready" };
    const cutoff = this.#deps.clock.now() - this.#times.limit_ms;
    if (this.#contactAt() >= cutoff) return { serve: true, reason: "contact" };
    if (this.#relayed_at >= cutoff) return { serve: true, reason: "relayed" };
    if (this.#outage_at >= cutoff) return { serve: true, reason: "outage" };
    return { serve: false, reason: "stale_configuration" };
  }

  /** Stops checking and waits for an evidence request in progress. */
  async close(): Promise<void> {
    this.#stop.abort(new Error("guard closed"));
    await this.#task;
    await this.#request_in_progress;
  }

  #contactAt(): number {
    return this.#deps.follower.lastContact() ?? -Infinity;
  }

  async #run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      this.#checkEvidence();
      await this.#deps.clock.sleep(GUARD_CHECK_INTERVAL_MS, signal)
        .catch(() => undefined);
    }
  }

  #checkEvidence(): void {
    const now = this.#deps.clock.now();
    const no_contact_since = Math.max(this.#contactAt(), this.#started_at);
    const is_contact_lost =
      now - no_contact_since > this.#times.contact_lost_ms;
    const is_outage_attested = this.#outage_at === this.#requested_at;
    const is_due =
      now - this.#requested_at >= this.#requestInterval(is_outage_attested);
    const is_first_comparison = !this.#has_compared &&
      this.#contactAt() > -Infinity;
    if (
      this.#request_in_progress === undefined && is_due &&
      (is_contact_lost || is_first_comparison)
    ) {
      this.#requested_at = now;
      this.#is_renewal = is_outage_attested;
      this.#request_in_progress = this.#requestEvidence(now).finally(() =>
        this.#request_in_progress = undefined
      );
    }
    this.#reportState();
  }

  #requestInterval(is_outage_attested: boolean): number {
    if (is_outage_attested) return this.#times.outage_request_interval_ms;
    // The small sample did not renew the evidence of the outage: request from a
    // full sample at once, while the evidence is still valid.
    if (this.#is_renewal) return 0;
    // A relayed contact may already be old: send the next request early enough
    // for its reply to arrive before the contact expires.
    const expires_at = Math.max(this.#contactAt(), this.#relayed_at) +
      this.#times.limit_ms;
    if (expires_at < this.#deps.clock.now()) return EVIDENCE_INTERVAL_MS;
    const remaining_ms = expires_at - EVIDENCE_TIMEOUT_MS -
      this.#requested_at;
    return Math.min(
      EVIDENCE_INTERVAL_MS,
      Math.max(MIN_EVIDENCE_INTERVAL_MS, remaining_ms),
    );
  }

  async #requestEvidence(sent_at: number): Promise<void> {
    const { follower, peers, metrics } = this.#deps;
    const is_renewal = this.#is_renewal;
    // A new round selects other peers, so that no small group of peers decides
    // alone for long.
    if (is_renewal) this.#round++;
    const round = { round: this.#round, is_renewal };
    const sample = samplePeers(this.#options, round);
    metrics.count("freshness.asked", {}, sample.all.length);
    const replies = await requestEvidence(peers, sample, this.#times);
    const highest = replies.highest;
    if (replies.attesters === 0) this.#round++;
    if (highest !== undefined && highest.generation > follower.generation) {
      if (follower.isLoading) return;
      await follower.fetchFrom(highest.member);
      // Evidence for a generation that is not in force here proves nothing
      // about this instance's configuration.
      if (follower.generation < highest.generation) return;
    }
    if (follower.current() === undefined) return;
    if (replies.contact_age_ms !== undefined) {
      const contact_at = sent_at - replies.contact_age_ms;
      this.#relayed_at = Math.max(this.#relayed_at, contact_at);
      follower.recordRelayedContact(contact_at);
    }
    if (!replies.is_reached && replies.attesters > 0) this.#outage_at = sent_at;
    this.#has_compared = true;
  }

  #reportState(): void {
    const { serve, reason } = this.state();
    if (reason === "not_ready" || serve === this.#was_serving) return;
    this.#was_serving = serve;
    this.#deps.log.write(serve ? CONFIGURATION_FRESH : CONFIGURATION_STALE, {
      reason,
    });
    this.#deps.metrics.count("freshness.state", { reason });
  }
}
