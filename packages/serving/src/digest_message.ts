/** The message with which instances report to each other. Field names are short
 * to keep it small.
 *
 * @module
 */
import type { InstanceState, RowKind } from "./digest_board.ts";
import type { Member } from "./types.ts";

/** Use of adapters on one engine: requests started since the last report, and
 * requests running, by adapter. */
export type AdapterUse = Readonly<Record<string, readonly [number, number]>>;

/** The state of an instance: its place in the stream; the instance, `null` if
 * the place was taken by the same process before; the time since the start of
 * its process in milliseconds; the version of the state; and the state. */
export type OriginField = readonly [
  index: number,
  member: Member | null,
  upMs: number,
  version: number,
  state: StateField,
];

/** The state of an instance: the sum of its flags, see `FLAGS`; the percentage of
 * time for which it is busy; the time of its calls to the store, -1 if unknown;
 * the time between its digests; and its tenure, empty if it has none. */
export type StateField = readonly [
  flags: number,
  busyPercent: number,
  storeRoundTripMs: number,
  digestIntervalMs: number,
  tenure: string,
];

/** A row: the place of the instance that reports it, kind, name, version, age in
 * milliseconds, and the value; `null` if it is no longer reported. */
export type RowField = readonly [
  index: number,
  kind: RowKind,
  name: string,
  version: number,
  ageMs: number,
  value: unknown,
];

/** Use of adapters that is on its way to the owner of an engine: the owner, the
 * instance with the requests, a number that grows with each report, the engine,
 * the use, and how many instances have passed it on. */
export type UseField = readonly [
  to: string,
  from: string,
  number: number,
  engine: string,
  use: AdapterUse,
  hops: number,
];

/** Whose requests `loads` counts: those of the sender, of its group, or of all
 * instances except the receiver. */
export type LoadScope = "own" | "group" | "fleet";

/** What an instance sends to another a few times a second. It continues a
 * stream: what was sent before and has not changed is left out. */
export interface Digest {
  readonly t: "digest2";
  /** The sender's process. */
  readonly inc: string;
  /** Number of the stream, which begins anew with each connection. */
  readonly epoch: number;
  /** Number of the message, 1 for the first of a stream. */
  readonly seq: number;
  /** The receiver's stream and message that arrived last, and the time since in
   * milliseconds. */
  readonly ack: readonly [epoch: number, seq: number, heldMs: number];
  /** Time since the sender's process started, in milliseconds. */
  readonly up: number;
  /** Longest time until the next message, in milliseconds. */
  readonly every: number;
  /** Whether the receiver is to pass it on at once. */
  readonly urgent?: true;
  /** The sender's group. */
  readonly group: string;
  readonly scope: LoadScope;
  /** States that have changed. */
  readonly origins?: readonly OriginField[];
  /** The age of what is known of each instance of the stream, see `ageSymbol`. */
  readonly ages: string;
  /** Rows that have changed. */
  readonly rows?: readonly RowField[];
  /** Number of requests in flight by engine, if changed; the empty name stands
   * for adapters that are being fetched. */
  readonly loads?: Readonly<Record<string, number>>;
  /** Time since the requests were counted, in milliseconds: the mean of the
   * counted instances. */
  readonly loadAge?: number;
  readonly use?: readonly UseField[];
  /** Units that an earlier process of the receiver last reported to have left of
   * its shares, 0 if it reported none; for a receiver that was found recently. */
  readonly formerRooms?: Readonly<Record<string, number>>;
}

/** Largest number of instances that pass use on. */
export const HOPS_MAX = 4;

/** Step of the ages, in milliseconds. */
const AGE_STEP_MS = 100;

/** Ages that are too old to matter, and instances that are no longer known. */
const AGE_SYMBOLS = "0123456789abcdefghijklmnopqrstuvwxyz";
const AGE_LARGEST = AGE_SYMBOLS.length - 1;
const NOT_KNOWN = "-";

/** One character for an age, rounded up.
 *
 * @example
 * ```ts
 * ageSymbol(250); // "3"
 * ageMsOf("3"); // 300
 * ```
 */
export function ageSymbol(ageMs: number | undefined): string {
  if (ageMs === undefined) return NOT_KNOWN;
  const steps = Math.ceil(Math.max(0, ageMs) / AGE_STEP_MS);
  return AGE_SYMBOLS[Math.min(AGE_LARGEST, steps)] ?? NOT_KNOWN;
}

/** The age that a character stands for; `Infinity` if it is too old to matter,
 * undefined if nothing is known. */
export function ageMsOf(symbol: string | undefined): number | undefined {
  const steps = symbol === undefined ? -1 : AGE_SYMBOLS.indexOf(symbol);
  if (steps < 0) return undefined;
  return steps >= AGE_LARGEST ? Infinity : steps * AGE_STEP_MS;
}

const FLAGS = {
  ready: 1,
  leaving: 2,
  serves: 4,
  orders: 8,
  reachesStore: 16,
  cutOff: 32,
  takesPassed: 64,
  ordersCut: 128,
} as const;

const FLAG_NAMES = Object.keys(FLAGS) as (keyof typeof FLAGS)[];

/** Writes a state as it is sent.
 *
 * @example
 * ```ts
 * decodeState(encodeState(state)); // state
 * ```
 */
export function encodeState(state: InstanceState): StateField {
  const flags = FLAG_NAMES.reduce(
    (sum, name) => sum + (state[name] ? FLAGS[name] : 0),
    0,
  );
  const { busy, storeRoundTripMs, digestIntervalMs, tenure } = state;
  return [
    flags,
    Math.round(busy * 100),
    storeRoundTripMs ?? -1,
    digestIntervalMs,
    tenure ?? "",
  ];
}

/** Reads a state that `isOriginField` has accepted. */
export function decodeState(
  [flags, busyPercent, storeMs, digestIntervalMs, tenure]: StateField,
): InstanceState {
  const has = (name: keyof typeof FLAGS) => (flags & FLAGS[name]) !== 0;
  return {
    ready: has("ready"),
    leaving: has("leaving"),
    serves: has("serves"),
    orders: has("orders"),
    reachesStore: has("reachesStore"),
    cutOff: has("cutOff"),
    takesPassed: has("takesPassed"),
    ordersCut: has("ordersCut"),
    busy: busyPercent / 100,
    storeRoundTripMs: storeMs < 0 ? undefined : storeMs,
    digestIntervalMs,
    tenure: tenure === "" ? undefined : tenure,
  };
}

const ROW_KINDS: ReadonlySet<unknown> = new Set<RowKind>([
  "rooms",
  "held",
  "down",
  "slow",
  "crashes",
  "answers",
  "holds",
  "limits",
  "revisions",
  "paths",
  "warmups",
]);

/** Reads a message of a peer. Returns undefined if it cannot continue a stream;
 * malformed states, rows and counts are left out, so that they harm no other
 * instance's. */
export function decodeDigest(value: unknown): Digest | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const digest = value as Partial<Digest>;
  const { epoch, seq, ack, up, every, scope } = digest;
  const texts = [digest.inc, digest.group, digest.ages];
  if (texts.some((text) => typeof text !== "string")) return undefined;
  if (![epoch, seq].every((n) => Number.isSafeInteger(n))) return undefined;
  if (![up, every].every(isDuration)) return undefined;
  if (!Array.isArray(ack) || ack.length < 3 || !ack.every(isDuration)) {
    return undefined;
  }
  if (scope !== "own" && scope !== "group" && scope !== "fleet") {
    return undefined;
  }
  return {
    ...digest as Digest,
    origins: listOf(digest.origins).filter(isOriginField),
    rows: listOf(digest.rows).filter(isRowField),
    use: listOf(digest.use).filter(isUseField),
    loads: countsOf(digest.loads),
    loadAge: isDuration(digest.loadAge) ? digest.loadAge : undefined,
    formerRooms: digest.formerRooms === undefined
      ? undefined
      : countsOf(digest.formerRooms),
  } as Digest;
}

function listOf(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

function countsOf(value: unknown): Readonly<Record<string, number>> {
  if (typeof value !== "object" || value === null) return {};
  return Object.fromEntries(
    Object.entries(value).filter(([, n]) => isCount(n)),
  );
}

function isOriginField(value: unknown): value is OriginField {
  if (!Array.isArray(value)) return false;
  const [index, member, upMs, version, state] = value as unknown[];
  return isCount(index) && (member === null || typeof member === "object") &&
    isDuration(upMs) && isCount(version) && isState(state);
}

function isState(value: unknown): value is StateField {
  if (!Array.isArray(value) || value.length !== 5) return false;
  const [flags, busyPercent, storeMs, digestIntervalMs, tenure] =
    value as unknown[];
  return isCount(flags) && isDuration(busyPercent) &&
    (storeMs === -1 || isDuration(storeMs)) && isDuration(digestIntervalMs) &&
    typeof tenure === "string";
}

function isRowField(value: unknown): value is RowField {
  if (!Array.isArray(value)) return false;
  const [index, kind, name, version, ageMs] = value as unknown[];
  return isCount(index) && ROW_KINDS.has(kind) && typeof name === "string" &&
    isCount(version) && isDuration(ageMs) && value[5] !== undefined;
}

function isUseField(value: unknown): value is UseField {
  if (!Array.isArray(value)) return false;
  const [to, from, number, engine, use, hops] = value as unknown[];
  return [to, from, engine].every((text) => typeof text === "string") &&
    isCount(number) && isCount(hops) && typeof use === "object" &&
    use !== null &&
    Object.values(use).every((counts) =>
      Array.isArray(counts) && counts.length === 2 && counts.every(isCount)
    );
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

function isDuration(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
