/** Interface between the operator router and an instance.
 *
 * @module
 */
import type {
  Edits,
  PublishedChange,
  PublishError,
  Snapshot,
} from "@banyanlb/published";
import type { Result } from "neverthrow";
import type {
  CounterRow,
  DrainReply,
  InstanceRow,
  OwnershipRow,
  StatusReply,
  TargetRow,
  WorkspaceRow,
} from "../generated/operator_messages.ts";

/** Reads and actions that an instance offers to operators' programs. */
export abstract class OperatorBackend {
  /** State of this instance. */
  abstract status(): StatusReply;

  /** All instances of the fleet; empty before the fleet is known. */
  abstract instances(): readonly InstanceRow[];

  /** All targets of the configuration in force. */
  abstract targets(): readonly TargetRow[];

  /** All slots and their holders. */
  abstract ownership(): readonly OwnershipRow[];

  /** All workspaces, with the tokens in the shares that this instance holds. */
  abstract workspaces(): readonly WorkspaceRow[];

  /** Totals of this instance's counters since its start. */
  abstract counters(): readonly CounterRow[];

  /** The configuration in force; `undefined` until the first one is
   * received. */
  abstract snapshot(): Snapshot | undefined;

  /** Publishes a configuration change. */
  abstract publish(
    edits: Edits,
  ): Promise<Result<PublishedChange, PublishError>>;

  /** Checks a configuration change without publishing it. */
  abstract check(edits: Edits): Result<void, PublishError>;

  /** Starts a graceful stop of an instance of the fleet. Forwards the request
   * to that instance if it is not this one. */
  abstract drainInstance(instance: string): Promise<DrainReply>;

  /** Ends the session of an instance whose process is known to have
   * terminated. */
  abstract retire(session_id: string): Promise<DrainReply>;
}
