/** Adapters that send other packages' peer calls over trpc.
 *
 * @module
 */
import type { Violation } from "@banyanlb/core";
import {
  LeasePeers,
  type PeerError,
  type PromiseAsk,
  type PromiseReply,
} from "@banyanlb/lease";
import {
  decodeReleaseAck,
  decodeReport,
  encodeReleaseBatch,
  encodeReportRequest,
  type HeldPermit,
  PermitPeers,
  type PermitRelease,
  ReleaseSender,
  type ReportRequest,
} from "@banyanlb/permits";
import {
  ConfigPeers,
  type Evidence,
  type FetchReply,
  type FetchRequest,
} from "@banyanlb/published";
import {
  PEER_TIMEOUT_MS,
  type RatePeerError,
  RatePeers,
  type ReserveAsk,
  type ReserveReply,
  type SettleBatch,
} from "@banyanlb/rate";
import { okAsync, type Result, ResultAsync } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import {
  PEER_REQUEST_TIMEOUT_MS,
  REPORT_BATCH_WINDOW_MS,
} from "./constants.ts";
import type { CallLimits, PeerClient, PeerLinks } from "./peer_links.ts";

/** Calls a peer with a timeout. Converts every failure into the message of its
 * error. */
function callPeer<T>(
  call: (limits: CallLimits) => Promise<T>,
  timeout_ms: number = PEER_REQUEST_TIMEOUT_MS,
): ResultAsync<T, string> {
  // The timer is cleared when the call ends; otherwise it would keep the reply
  // in memory until it fires.
  const timeout = new AbortController();
  const timer = setTimeout(() => timeout.abort(), timeout_ms);
  const attempt = async () => {
    try {
      return await call({ signal: timeout.signal });
    } finally {
      clearTimeout(timer);
    }
  };
  return ResultAsync.fromPromise(
    attempt(),
    (cause) => cause instanceof Error ? cause.message : String(cause),
  );
}

/** Returns the content of a decoded reply from a peer. Throws if its schema
 * rejected it. */
export function unwrapMessage<T>(
  decoded: Result<T, readonly Violation[]>,
): T {
  if (decoded.isOk()) return decoded.value;
  const violations = decoded.error.map((v) => `${v.path} ${v.message}`).join(
    ", ",
  );
  throw new Error(`reply rejected by its schema: ${violations}`);
}

const toUnreachable = (message: string) =>
  ({ kind: "unreachable", message }) as const;

/** Requests lease promises from successors. */
export class TrpcLeasePeers extends LeasePeers {
  readonly #links: PeerLinks;

  constructor(links: PeerLinks) {
    super();
    this.#links = links;
  }

  override requestPromise(
    successor_id: string,
    request: PromiseAsk,
  ): ResultAsync<PromiseReply, PeerError> {
    return callPeer((limits) =>
      this.#links.clientOf(successor_id).p.lp.mutate(request, limits)
    ).mapErr(toUnreachable) as ResultAsync<PromiseReply, PeerError>;
  }
}

/** Reserves and settles rate tokens at the holders of other shares. */
export class TrpcRatePeers extends RatePeers {
  readonly #links: PeerLinks;

  constructor(links: PeerLinks) {
    super();
    this.#links = links;
  }

  override reserve(
    holder: string,
    request: ReserveAsk,
  ): ResultAsync<ReserveReply, RatePeerError> {
    return this.#call(
      holder,
      (client, limits) => client.p.rr.mutate(request, limits),
    );
  }

  override settle(
    holder: string,
    batch: SettleBatch,
  ): ResultAsync<void, RatePeerError> {
    return this.#call(
      holder,
      (client, limits) => client.p.rs.mutate(batch, limits),
    );
  }

  #call<T>(
    holder: string,
    call: (client: PeerClient, limits: CallLimits) => Promise<T>,
  ): ResultAsync<T, RatePeerError> {
    return callPeer(
      (limits) => call(this.#links.clientOf(holder), limits),
      PEER_TIMEOUT_MS,
    ).mapErr((message) => ({ kind: "no_answer", message }));
  }
}

/** Report requests to one member that are sent in one message. */
interface ReportBatch {
  readonly requests: ReportRequest[];
  readonly reports: Promise<readonly (readonly HeldPermit[])[]>;
}

/** Requests reports of held permits from members, for a new owner. */
export class TrpcPermitPeers extends PermitPeers {
  readonly #links: PeerLinks;
  readonly #reportLocal: (request: ReportRequest) => readonly HeldPermit[];
  readonly #self: string;
  readonly #open_batches = new Map<string, ReportBatch>();

  constructor(
    links: PeerLinks,
    local: {
      readonly self: string;
      readonly report: (request: ReportRequest) => readonly HeldPermit[];
    },
  ) {
    super();
    this.#links = links;
    this.#self = local.self;
    this.#reportLocal = local.report;
  }

  override report(member_id: string, request: ReportRequest) {
    if (member_id === this.#self) return okAsync(this.#reportLocal(request));
    return ResultAsync.fromPromise(
      this.#addToBatch(member_id, request),
      (cause) => toUnreachable(String(cause)),
    );
  }

  /** Adds a request to the open batch for a member. A take-over requests
   * reports for many targets from the same member at once, so batches save
   * messages. */
  async #addToBatch(
    member_id: string,
    request: ReportRequest,
  ): Promise<readonly HeldPermit[]> {
    const open_batch = this.#open_batches.get(member_id);
    const batch = open_batch ?? this.#startBatch(member_id);
    const index = batch.requests.push(request) - 1;
    const reports = await batch.reports;
    return reports[index] ?? [];
  }

  #startBatch(member_id: string): ReportBatch {
    const requests: ReportRequest[] = [];
    const reports = this.#sendBatch(member_id, requests);
    const batch = { requests, reports };
    this.#open_batches.set(member_id, batch);
    return batch;
  }

  async #sendBatch(
    member_id: string,
    requests: readonly ReportRequest[],
  ): Promise<readonly (readonly HeldPermit[])[]> {
    await sleep(REPORT_BATCH_WINDOW_MS);
    this.#open_batches.delete(member_id);
    const result = await callPeer(async (limits) => {
      const wire = requests.map(encodeReportRequest);
      const { p } = this.#links.clientOf(member_id);
      const replies = await p.pq.mutate(wire, limits);
      if (replies.length !== requests.length) {
        throw new Error("number of reports differs from number of requests");
      }
      return replies.map((reply) => unwrapMessage(decodeReport(reply)));
    });
    if (result.isErr()) throw new Error(result.error);
    return result.value;
  }
}

/** Finds the session id of a target's current owner; `undefined` if no owner is
 * known. */
export type FindOwner = (target: string) => string | undefined;

/** Sends permit releases to the owners of targets. */
export class TrpcReleaseSender extends ReleaseSender {
  readonly #links: PeerLinks;
  readonly #options: {
    readonly self: string;
    readonly findOwner: FindOwner;
    readonly releaseLocal: (
      releases: readonly PermitRelease[],
    ) => readonly string[];
  };

  constructor(
    links: PeerLinks,
    options: {
      readonly self: string;
      readonly findOwner: FindOwner;
      readonly releaseLocal: (
        releases: readonly PermitRelease[],
      ) => readonly string[];
    },
  ) {
    super();
    this.#links = links;
    this.#options = options;
  }

  override send(target: string, releases: readonly PermitRelease[]) {
    const { self, findOwner, releaseLocal } = this.#options;
    return callPeer(async (limits) => {
      const owner = findOwner(target);
      if (owner === undefined) throw new Error(`${target} has no owner`);
      if (owner === self) return releaseLocal(releases);
      const batch = encodeReleaseBatch({ session: self, releases });
      const client = this.#links.clientOf(owner);
      const reply = await client.p.pr.mutate(batch, limits);
      return unwrapMessage(decodeReleaseAck(reply));
    }).mapErr(toUnreachable);
  }
}

/** Reads freshness evidence and configuration from other instances. */
export class TrpcConfigPeers extends ConfigPeers {
  readonly #links: PeerLinks;

  constructor(links: PeerLinks) {
    super();
    this.#links = links;
  }

  override evidence(member: string, timeout_ms: number) {
    return callPeer(
      (limits): Promise<Evidence> =>
        this.#links.clientOf(member).p.ce.query(undefined, limits),
      timeout_ms,
    ).mapErr(toUnreachable);
  }

  override fetch(member: string, request: FetchRequest) {
    return callPeer(async (limits): Promise<FetchReply> => {
      const reply = await this.#links.clientOf(member).p.cf.query(
        request,
        limits,
      );
      if (reply === undefined) throw new Error("peer has no configuration");
      return reply as FetchReply;
    }).mapErr(toUnreachable);
  }
}
