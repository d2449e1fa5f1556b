/** The procedures that peers call on this instance. Names are short, since
 * each call carries its path.
 *
 * @module
 */
import { createValidator, type Validator } from "@banyanlb/core";
import {
  decodeAcquireRequest,
  decodeHandoff,
  decodeReleaseBatch,
  decodeReportRequest,
  encodeReleaseAck,
  encodeReply,
  encodeReport,
  type HeldPermit,
  type PermitAcquireRequest,
  type PermitReply,
  type ReleaseBatch,
  type ReportRequest,
  type TargetHandoff,
  type WireAsk,
  type WireHandoff,
  type WireReleaseBatch,
  type WireReportAsk,
} from "@banyanlb/permits";
import {
  lease_messages_schema,
  type PromiseAsk,
  type PromiseReply,
} from "@banyanlb/lease";
import {
  config_messages_schema,
  type Evidence,
  type FetchReply,
  type FetchRequest,
} from "@banyanlb/published";
import {
  type ReserveAsk,
  type ReserveReply,
  type SettleBatch,
  type SlotLevels,
  validateReserveAsk,
  validateSettleBatch,
  validateSlotLevels,
} from "@banyanlb/rate";
import {
  type LeavingNames,
  peer_messages_schema,
} from "./generated/peer_messages.ts";
import { createRouter, trustedProcedure } from "./trpc.ts";

/** What a slot's former holder hands to the next one. */
export interface SlotHandoff {
  readonly slot: number;
  /** Epoch of the new holder. */
  readonly epoch: number;
  readonly levels: SlotLevels;
  readonly targets: readonly TargetHandoff[];
}

/** What an instance does on its peers' calls. */
export interface PeerPorts {
  promise(ask: PromiseAsk): PromiseReply;
  reserve(ask: ReserveAsk): ReserveReply;
  settle(batch: SettleBatch): void;
  acquire(ask: PermitAcquireRequest): Promise<PermitReply>;
  release(batch: ReleaseBatch): readonly string[];
  report(ask: ReportRequest): readonly HeldPermit[];
  takeLeaving(names: readonly string[]): void;
  takeHandoff(handoff: SlotHandoff): void;
  evidence(): Evidence;
  fetch(req: FetchRequest): FetchReply | undefined;
}

const checkPromise = createValidator<PromiseAsk>(
  lease_messages_schema,
  "promise_ask",
);

const checkFetch = createValidator<FetchRequest>(
  config_messages_schema,
  "fetch_request",
);

/** Turns a validator into a parser that throws. */
export function parseWith<T>(validate: Validator<T>): (value: unknown) => T {
  return (value) => {
    const result = validate(value);
    if (result.isOk()) return result.value;
    const list = result.error.map((v) => `${v.path} ${v.message}`).join(", ");
    throw new Error(`message rejected by its schema: ${list}`);
  };
}

/** A parser whose callers send another type than it yields. */
interface WireParser<In, Out> {
  readonly _input: In;
  readonly _output: Out;
  readonly parse: (value: unknown) => Out;
}

function parseWire<In, Out>(
  parse: (value: unknown) => Out,
): WireParser<In, Out> {
  // trpc reads the two types only; the fields never exist.
  return { parse } as WireParser<In, Out>;
}

/** A handoff as it is sent. */
export interface WireSlotHandoff {
  readonly slot: number;
  readonly epoch: number;
  readonly levels: SlotLevels;
  readonly targets: readonly WireHandoff[];
}

const checkSlotHandoff = createValidator<WireSlotHandoff>(
  peer_messages_schema,
  "slot_handoff",
);

const checkLeaving = createValidator<LeavingNames>(
  peer_messages_schema,
  "leaving_names",
);

function parseNames(value: unknown): readonly string[] {
  return parseWith(checkLeaving)(value);
}

function parseReportAsks(value: unknown): readonly ReportRequest[] {
  if (!Array.isArray(value)) throw new Error("message is not an array");
  return value.map(parseWith(decodeReportRequest));
}

function decodeSlotHandoff(value: unknown): SlotHandoff {
  const wire = parseWith(checkSlotHandoff)(value);
  const levels = parseWith(validateSlotLevels)(wire.levels);
  const targets = wire.targets.map(parseWith(decodeHandoff));
  return { ...wire, levels, targets };
}

/** Builds the router of the peers' calls. */
export function createPeerRouter(ports: PeerPorts) {
  return createRouter({
    lp: trustedProcedure.input(parseWith(checkPromise))
      .mutation(({ input }) => ports.promise(input)),
    rr: trustedProcedure.input(parseWith(validateReserveAsk))
      .mutation(({ input }) => ports.reserve(input)),
    rs: trustedProcedure.input(parseWith(validateSettleBatch))
      .mutation(({ input }) => ports.settle(input)),
    pa: trustedProcedure.input(
      parseWire<WireAsk, PermitAcquireRequest>(parseWith(decodeAcquireRequest)),
    )
      .mutation(({ input }) => ports.acquire(input).then(encodeReply)),
    pr: trustedProcedure.input(
      parseWire<WireReleaseBatch, ReleaseBatch>(parseWith(decodeReleaseBatch)),
    )
      .mutation(({ input }) => encodeReleaseAck(ports.release(input))),
    pq: trustedProcedure.input(
      parseWire<readonly WireReportAsk[], readonly ReportRequest[]>(
        parseReportAsks,
      ),
    )
      .mutation(({ input }) =>
        input.map((ask) => encodeReport(ports.report(ask)))
      ),
    ho: trustedProcedure.input(
      parseWire<WireSlotHandoff, SlotHandoff>(decodeSlotHandoff),
    )
      .mutation(({ input }) => ports.takeHandoff(input)),
    ll: trustedProcedure.input(parseNames)
      .mutation(({ input }) => ports.takeLeaving(input)),
    ce: trustedProcedure.query(() => ports.evidence()),
    cf: trustedProcedure.input(parseWith(checkFetch))
      .query(({ input }) => ports.fetch(input)),
  });
}

/** The type that peers' clients are built on. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
