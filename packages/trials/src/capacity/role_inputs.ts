/** Derives the inputs of the role model from measured slopes.
 *
 * @module
 */
import { PURE_ACKS_PER_SEGMENT, SEGMENT_HEADER_BYTES } from "./constants.ts";
import type { PlanSize } from "./plan_size.ts";
import { type Basis, Slopes } from "./slope.ts";

/** Bytes of one HTTP exchange of each kind between an idle daemon and the
 * store, without framing. */
export interface CallBytes {
  readonly renewal: number;
  readonly session_read: number;
  readonly manifest_poll: number;
}

/** Inputs of the role model at one size. */
export interface RoleInputs {
  /** How each figure was obtained, by name of its slope. */
  readonly basis: Readonly<Record<string, Basis>>;
  /** Bytes of one exchange with the platform, framing included. */
  readonly renewal_bytes: number;
  readonly session_read_bytes: number;
  readonly manifest_poll_bytes: number;
  /** Headers and framing of an exchange, without its body. */
  readonly exchange_bytes: number;
  readonly fleet_bytes: number;
  readonly manifest_bytes: number;
  readonly list_bytes: number;
  /** Bytes between entry and owner for one request: with its permit only, and
   * with permit and tokens. */
  readonly permit_bytes: number;
  readonly permit_rate_bytes: number;
  /** Processor seconds of one request or token. */
  readonly entry_s: number;
  readonly entry_far_s: number;
  readonly owner_s: number;
  readonly owner_far_s: number;
  readonly token_s: number;
  /** Processor milliseconds of one execution of each step. */
  readonly plan_ms: number;
  readonly fleet_read_ms: number;
  readonly shares_ms: number;
  readonly apply_ms: number;
  readonly rank_ms: number;
  /** Processor time of an idle daemon in the smallest fleet, as a ratio of a
   * core. */
  readonly idle_core: number;
  readonly resident_bytes: number;
  readonly resident_peer_bytes: number;
  readonly peak_bytes: number;
  readonly snapshot_bytes: number;
  readonly start_ms: number;
  readonly start_peer_ms: number;
  readonly start_bytes: number;
  readonly start_part_reads: number;
  readonly serve_start_s: number;
  readonly in_force_ms: number;
  readonly take_over_ms: number;
  readonly join_fleet_writes: number;
  readonly leave_fleet_writes: number;
  readonly kill_fleet_writes: number;
}

/** Segments with data of a short exchange: one request and one reply. */
const SEGMENTS_PER_EXCHANGE = 2;

/** HTTP headers of a request and its response. */
const HTTP_HEADER_BYTES = 227;

/** Objects for each adapter: adapter, version and route. */
const OBJECTS_PER_ADAPTER = 3;
const OBJECTS_PER_BUCKET = 2_048;
const MIN_BUCKETS = 16;

/** Mean bytes of the manifest's inline changes between two compactions. */
const MEAN_INLINE_BYTES = 20 * 1_024;

/** Bytes of framing of one short exchange. */
export const EXCHANGE_FRAMING_BYTES = SEGMENTS_PER_EXCHANGE *
  SEGMENT_HEADER_BYTES * (1 + PURE_ACKS_PER_SEGMENT);

/** Number of parts of a published set with `adapters` adapters. */
export function partCountFor(adapters: number): number {
  const objects = adapters * OBJECTS_PER_ADAPTER;
  const bits = Math.ceil(Math.log2(objects / OBJECTS_PER_BUCKET));
  return Math.max(MIN_BUCKETS, 2 ** bits);
}

/** Evaluates the slopes at a size. */
export function deriveInputs(
  slopes: Slopes,
  size: PlanSize,
  calls: CallBytes,
): RoleInputs {
  const { adapters, engines, models, nodes, workspaces } = size;
  const slots = size.slots_per_region * size.regions;
  const part_count = partCountFor(adapters);
  const withFraming = (bytes: number) => bytes + EXCHANGE_FRAMING_BYTES;
  const exchange_bytes = withFraming(HTTP_HEADER_BYTES);
  const sizes: Readonly<Record<string, number>> = {
    fleet_slot: slots,
    plan_slot: slots,
    list_row: nodes + engines,
    heap_adapter: adapters,
    resident_store: adapters,
    start_store: adapters,
    start_peer: adapters,
    in_force: nodes,
    take_over: nodes,
    idle_core: nodes,
    rank_known: engines / models,
    shares_workspace: workspaces,
    request_entry: size.requests_per_s / nodes,
    token_entry: size.tokens_per_s / nodes,
  };
  const basis = Object.fromEntries(
    Object.entries(sizes).map(([name, x]) => [name, slopes.basisAt(name, x)]),
  );
  return {
    basis,
    renewal_bytes: withFraming(calls.renewal),
    session_read_bytes: withFraming(calls.session_read),
    manifest_poll_bytes: withFraming(calls.manifest_poll),
    exchange_bytes,
    fleet_bytes: slopes.at("fleet_slot", slots) +
      slopes.perUnit("fleet_member") * (nodes - 350),
    manifest_bytes: slopes.at("manifest_part", part_count) + MEAN_INLINE_BYTES,
    list_bytes: slopes.at("list_row", nodes + engines),
    permit_bytes: slopes.perUnit("permit_bytes"),
    permit_rate_bytes: slopes.perUnit("permit_rate_bytes"),
    entry_s: slopes.perUnit("request_entry"),
    entry_far_s: slopes.perUnit("request_entry_far"),
    owner_s: slopes.perUnit("request_owner"),
    owner_far_s: slopes.perUnit("request_owner_far"),
    token_s: slopes.perUnit("token_entry"),
    plan_ms: slopes.at("plan_slot", slots),
    fleet_read_ms: slopes.at("read_slot", slots),
    shares_ms: slopes.at("shares_workspace", workspaces),
    apply_ms: slopes.at("apply_adapter", adapters),
    rank_ms: slopes.at("rank_known", engines / models),
    idle_core: slopes.get("idle_core").points[0]?.y ?? 0,
    resident_bytes: slopes.at("resident_store", adapters),
    resident_peer_bytes: slopes.at("resident_peer", adapters),
    peak_bytes: slopes.at("peak_store", adapters),
    snapshot_bytes: slopes.at("heap_adapter", adapters),
    start_ms: slopes.at("start_store", adapters),
    start_peer_ms: slopes.at("start_peer", adapters),
    start_bytes: slopes.at("start_bytes", adapters),
    start_part_reads: slopes.at("start_part_reads", adapters),
    serve_start_s: slopes.at("serve_start_cpu", adapters),
    in_force_ms: slopes.at("in_force", nodes),
    take_over_ms: slopes.at("take_over", nodes),
    join_fleet_writes: slopes.at("join_fleet_writes", nodes),
    leave_fleet_writes: slopes.at("leave_fleet_writes", nodes),
    kill_fleet_writes: slopes.at("kill_fleet_writes", nodes),
  };
}
