/** The trpc procedures for operators' programs.
 *
 * @module
 */
import { createValidator } from "@banyanlb/core";
import type { Snapshot } from "@banyanlb/published";
import { TRPCError } from "@trpc/server";
import {
  type EditsMessage,
  type LookupRequest,
  type NameRequest,
  operator_messages_schema,
  type PageRequest,
} from "../generated/operator_messages.ts";
import { createRouter, trustedProcedure } from "../trpc.ts";
import type { OperatorBackend } from "./backend.ts";
import { checkEdits, drainTarget, publishEdits, withdrawKey } from "./edits.ts";
import { lookUp, readPage } from "./objects.ts";

/** Creates a parser for one message type. The parser throws an error that lists
 * the schema violations. */
function createParser<T>(definition: string): (value: unknown) => T {
  const validate = createValidator<T>(operator_messages_schema, definition);
  return (value) => {
    const checked = validate(value);
    if (checked.isOk()) return checked.value;
    const violations = checked.error.map((v) => `${v.path} ${v.message}`).join(
      ", ",
    );
    throw new Error(`${violations}; use a banyanctl of the daemons' version`);
  };
}

function requireSnapshot(backend: OperatorBackend): Snapshot {
  const snapshot = backend.snapshot();
  if (snapshot !== undefined) return snapshot;
  throw new TRPCError({
    code: "PRECONDITION_FAILED",
    message: "no configuration in force yet; ask another instance",
  });
}

/** Creates the router for operator calls.
 *
 * @example
 * ```ts
 * const router = createRouter({ operator: createOperatorRouter(backend) });
 * ```
 */
export function createOperatorRouter(backend: OperatorBackend) {
  return createRouter({
    status: trustedProcedure.query(() => backend.status()),
    instances: trustedProcedure.query(() => backend.instances()),
    targets: trustedProcedure.query(() => backend.targets()),
    ownership: trustedProcedure.query(() => backend.ownership()),
    counters: trustedProcedure.query(() => backend.counters()),
    workspaces: trustedProcedure.query(() => backend.workspaces()),
    page: trustedProcedure.input(createParser<PageRequest>("page_request"))
      .query(({ input }) => readPage(requireSnapshot(backend), input)),
    lookup: trustedProcedure.input(
      createParser<LookupRequest>("lookup_request"),
    )
      .query(({ input }) => lookUp(requireSnapshot(backend), input)),
    check: trustedProcedure.input(createParser<EditsMessage>("edits_message"))
      .query(({ input }) => checkEdits(backend, input)),
    publish: trustedProcedure.input(createParser<EditsMessage>("edits_message"))
      .mutation(({ input }) => publishEdits(backend, input)),
    withdraw_key: trustedProcedure.input(
      createParser<NameRequest>("name_request"),
    )
      .mutation(({ input }) => withdrawKey(backend, input.name)),
    drain_target: trustedProcedure.input(
      createParser<NameRequest>("name_request"),
    )
      .mutation(({ input }) => drainTarget(backend, input.name)),
    drain_instance: trustedProcedure
      .input(createParser<NameRequest>("name_request"))
      .mutation(({ input }) => backend.drainInstance(input.name)),
    retire: trustedProcedure.input(createParser<NameRequest>("name_request"))
      .mutation(({ input }) => backend.retire(input.name)),
  });
}

/** Creates a root router that contains only the operator calls, under
 * `operator`. */
export function createOperatorRoot(backend: OperatorBackend) {
  return createRouter({ operator: createOperatorRouter(backend) });
}

/** Router type from which operators' typed clients are created. */
export type OperatorRouter = ReturnType<typeof createOperatorRoot>;
