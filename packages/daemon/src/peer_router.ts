/** The trpc procedures that peers call on this instance. Their names are short,
 * since every call carries its path.
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
  validateReserveRequest,
  validateSettleBatch,
  validateSlotLevels,
} from "@banyanlb/rate";
import {
  type LeavingNames,
  peer_messages_schema,
} from "./generated/peer_messages.ts";
import { createRouter, trustedProcedure } from "./trpc.ts";

/** State of a slot that its former holder sends to the next holder. */
export interface SlotHandoff {
  readonly slot: number;
  /** Epoch of the new holder: the fencing token of the slot's ownership. */
  readonly epoch: number;
  readonly levels: SlotLevels;
  readonly targets: readonly TargetHandoff[];
}

/** Handlers for calls from peers. */
export interface PeerHandlers {
  promise(request: PromiseAsk): PromiseReply;
  reserve(request: ReserveAsk): ReserveReply;
  settle(batch: SettleBatch): void;
  acquire(request: PermitAcquireRequest): Promise<PermitReply>;
  release(batch: ReleaseBatch): readonly string[];
  report(request: ReportRequest): readonly HeldPermit[];
  addLeavingNames(names: readonly string[]): void;
  receiveHandoff(handoff: SlotHandoff): void;
  evidence(): Evidence;
  fetch(request: FetchRequest): FetchReply | undefined;
}

const validatePromiseRequest = createValidator<PromiseAsk>(
  lease_messages_schema,
  "promise_ask",
);

const validateFetchRequest = createValidator<FetchRequest>(
  config_messages_schema,
  "fetch_request",
);

/** Converts a validator into a parser that throws an error listing the
 * violations. */
export function parseWith<T>(validate: Validator<T>): (value: unknown) => T {
  return (value) => {
    const result = validate(value);
    if (result.isOk()) return result.value;
    const violations = result.error.map((violation) =>
      `${violation.path} ${violation.message}`
    ).join(", ");
    throw new Error(`message rejected by its schema: ${violations}`);
  };
}

/** A parser whose input type, the wire format, differs from its output type. */
interface WireParser<In, Out> {
  readonly _input: In;
  readonly _output: Out;
  readonly parse: (value: unknown) => Out;
}

function createWireParser<In, Out>(
  parse: (value: unknown) => Out,
): WireParser<In, Out> {
  // trpc uses `_input` and `_output` only as types. They are never set.
  return { parse } as WireParser<In, Out>;
}

/** A slot handoff in its wire format. */
export interface WireSlotHandoff {
  readonly slot: number;
  readonly epoch: number;
  readonly levels: SlotLevels;
  readonly targets: readonly WireHandoff[];
}

const validateSlotHandoff = createValidator<WireSlotHandoff>(
  peer_messages_schema,
  "slot_handoff",
);

const validateLeavingNames = createValidator<LeavingNames>(
  peer_messages_schema,
  "leaving_names",
);

function parseLeavingNames(value: unknown): readonly string[] {
  return parseWith(validateLeavingNames)(value);
}

function parseReportRequests(value: unknown): readonly ReportRequest[] {
  if (!Array.isArray(value)) throw new Error("message is not an array");
  return value.map(parseWith(decodeReportRequest));
}

function decodeSlotHandoff(value: unknown): SlotHandoff {
  const wire = parseWith(validateSlotHandoff)(value);
  const levels = parseWith(validateSlotLevels)(wire.levels);
  const targets = wire.targets.map(parseWith(decodeHandoff));
  return { ...wire, levels, targets };
}

/** Creates the router for calls from peers. */
export function createPeerRouter(handlers: PeerHandlers) {
  return createRouter({
    lp: trustedProcedure.input(parseWith(validatePromiseRequest))
      .mutation(({ input }) => handlers.promise(input)),
    rr: trustedProcedure.input(parseWith(validateReserveRequest))
      .mutation(({ input }) => handlers.reserve(input)),
    rs: trustedProcedure.input(parseWith(validateSettleBatch))
      .mutation(({ input }) => handlers.settle(input)),
    pa: trustedProcedure.input(
      createWireParser<WireAsk, PermitAcquireRequest>(
        parseWith(decodeAcquireRequest),
      ),
    )
      .mutation(({ input }) => handlers.acquire(input).then(encodeReply)),
    pr: trustedProcedure.input(
      createWireParser<WireReleaseBatch, ReleaseBatch>(
        parseWith(decodeReleaseBatch),
      ),
    )
      .mutation(({ input }) => encodeReleaseAck(handlers.release(input))),
    pq: trustedProcedure.input(
      createWireParser<readonly WireReportAsk[], readonly ReportRequest[]>(
        parseReportRequests,
      ),
    )
      .mutation(({ input }) =>
        input.map((request) => encodeReport(handlers.report(request)))
      ),
    ho: trustedProcedure.input(
      createWireParser<WireSlotHandoff, SlotHandoff>(decodeSlotHandoff),
    )
      .mutation(({ input }) => handlers.receiveHandoff(input)),
    ll: trustedProcedure.input(parseLeavingNames)
      .mutation(({ input }) => handlers.addLeavingNames(input)),
    ce: trustedProcedure.query(() => handlers.evidence()),
    cf: trustedProcedure.input(parseWith(validateFetchRequest))
      .query(({ input }) => handlers.fetch(input)),
  });
}

/** Router type from which peers' typed clients are created. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
