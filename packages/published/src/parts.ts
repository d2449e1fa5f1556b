/** Parts: buckets of a snapshot, stored as immutable objects.
 *
 * @module
 */
import type {
  Change,
  Manifest,
  ObjectStore,
  Part,
  StoreError,
} from "@banyanlb/core";
import { createHash } from "node:crypto";
import { setImmediate } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import {
  MAX_BUCKETS,
  MAX_CONCURRENT_PART_READS,
  MAX_CONCURRENT_PART_WRITES,
  MAX_OBJECTS_PER_BUCKET,
  MAX_PART_BYTES,
  PUBLISH_CALL_TIMEOUT_MS,
} from "./constants.ts";
import { touchedBuckets } from "./manifest.ts";
import { Snapshot } from "./snapshot.ts";
import { SnapshotBuilder } from "./snapshot_builder.ts";

const HASH_LENGTH = 16;

/** The content of one bucket as a part. */
export function toPart(snapshot: Snapshot, index: number): Part {
  const entries = snapshot.bucket(index);
  const retired = snapshot.retiredInBucket(index);
  return {
    objects: entries.map((e) => e.object),
    generations: entries.map((e) => e.generation),
    ...(retired.length === 0 ? {} : { retired }),
  };
}

/** Hash of a part's content; empty for a part without objects and without
 * removed versions. */
export function hashPart(part: Part): string {
  const { objects, generations, retired = [] } = part;
  if (objects.length === 0 && retired.length === 0) return "";
  const rest = retired.length === 0 ? [] : [retired];
  const text = JSON.stringify([objects, generations, ...rest]);
  const digest = createHash("sha256").update(text).digest("base64url");
  return digest.slice(0, HASH_LENGTH);
}

// The generation in the name distinguishes a new part from an old one of equal
// content, which another publisher may be about to remove.
function partNameOf(part: Part, generation: number): string {
  const hash = hashPart(part);
  return hash === "" ? "" : `${hash}.${generation}`;
}

function hashInName(name: string): string {
  return name.slice(0, HASH_LENGTH);
}

/** Runs `task` on every item, at most `concurrency` at a time. No further item
 * is started after the first error. */
async function forEachConcurrently<T, E>(
  items: Iterable<T>,
  concurrency: number,
  task: (item: T) => Promise<Result<void, E>>,
): Promise<Result<void, E>> {
  const queue = [...items].reverse();
  let failure: Result<void, E> = ok(undefined);
  const runWorker = async () => {
    for (;;) {
      const item = queue.pop();
      if (item === undefined || failure.isErr()) return;
      const result = await task(item);
      if (result.isErr()) failure = result;
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runWorker));
  return failure;
}

async function partsFit(
  snapshot: Snapshot,
  buckets: Iterable<number>,
): Promise<boolean> {
  if (snapshot.size > snapshot.bucketCount * MAX_OBJECTS_PER_BUCKET) {
    return false;
  }
  for (const index of buckets) {
    await setImmediate();
    const text = JSON.stringify(toPart(snapshot, index));
    if (Buffer.byteLength(text) > MAX_PART_BYTES) return false;
  }
  return true;
}

/** Redistributes a snapshot over another number of buckets, a power of two. */
export async function rebucket(
  snapshot: Snapshot,
  bucket_count: number,
): Promise<Snapshot> {
  if (bucket_count === snapshot.bucketCount) return snapshot;
  const empty = Snapshot.empty(bucket_count);
  const builder = new SnapshotBuilder(empty, snapshot.generation);
  for (let i = 0; i < snapshot.bucketCount; i++) {
    await builder.put(toPart(snapshot, i));
  }
  return builder.snapshot;
}

/** Doubles the number of buckets of `snapshot` until the buckets that `changes`
 * touch fit into parts. The number never decreases. */
export async function withEnoughBuckets(
  snapshot: Snapshot,
  changes: readonly Change[],
): Promise<Snapshot> {
  let next = snapshot;
  while (next.bucketCount < MAX_BUCKETS) {
    if (await partsFit(next, touchedBuckets(changes, next.bucketCount))) break;
    next = await rebucket(next, next.bucketCount * 2);
  }
  return next;
}

/** Which parts to reuse and which to write. */
export interface PartPlan {
  /** Names of the parts stored for the previous snapshot, by bucket. */
  readonly known: readonly string[];
  /** Buckets that changed since then. The parts of all other buckets are
   * reused. */
  readonly changed_buckets: ReadonlySet<number>;
}

/** Writes the changed buckets of a snapshot as parts, or all buckets if their
 * number changed. Idempotent: a part's name consists of its content's hash and
 * the generation. Returns the names of all parts. */
export async function writeParts(
  store: ObjectStore,
  snapshot: Snapshot,
  plan: PartPlan,
): Promise<Result<readonly string[], StoreError>> {
  const names = [...plan.known];
  const must_write_all = plan.known.length !== snapshot.bucketCount;
  const buckets = must_write_all
    ? Array.from({ length: snapshot.bucketCount }, (_, i) => i)
    : plan.changed_buckets;
  const written = await forEachConcurrently(
    buckets,
    MAX_CONCURRENT_PART_WRITES,
    async (index) => {
      await setImmediate();
      const part = toPart(snapshot, index);
      const name = partNameOf(part, snapshot.generation);
      names[index] = name;
      return name === "" ? ok(undefined) : await createPart(store, name, part);
    },
  );
  return written.map(() => names);
}

async function createPart(
  store: ObjectStore,
  name: string,
  part: Part,
): Promise<Result<void, StoreError>> {
  const key = { kind: "part", name } as const;
  const options = { timeout_ms: PUBLISH_CALL_TIMEOUT_MS };
  let result = await store.create(key, part, options);
  if (result.isErr() && result.error.kind === "unavailable") {
    result = await store.create(key, part, options);
  }
  if (result.isOk() || result.error.kind === "conflict") return ok(undefined);
  return err(result.error);
}

/** Reads the snapshot whose parts a manifest references. Buckets of `base` with
 * the same content hash are not read again. */
export async function readSnapshot(
  store: ObjectStore,
  manifest: Manifest,
  base: Snapshot | undefined,
): Promise<Result<Snapshot, StoreError>> {
  const count = manifest.parts.length;
  const start = base?.bucketCount === count ? base : Snapshot.empty(count);
  const builder = new SnapshotBuilder(start, manifest.snapshot_generation);
  const completed = await forEachConcurrently(
    manifest.parts.keys(),
    MAX_CONCURRENT_PART_READS,
    async (index) => {
      await setImmediate();
      const name = manifest.parts[index] ?? "";
      const hash = hashPart(toPart(start, index));
      if (hash === hashInName(name)) return ok(undefined);
      const read = await readPart(store, name);
      if (read.isErr()) return err(read.error);
      await builder.replace(index, read.value);
      return ok(undefined);
    },
  );
  return completed.map(() => builder.snapshot);
}

async function readPart(
  store: ObjectStore,
  name: string,
): Promise<Result<Part, StoreError>> {
  if (name === "") return ok({ objects: [], generations: [] });
  const read = await store.get<Part>({ kind: "part", name }, {
    timeout_ms: PUBLISH_CALL_TIMEOUT_MS,
  });
  if (read.isErr()) return err(read.error);
  const part = read.value.value;
  if (hashPart(part) === hashInName(name)) return ok(part);
  return err({
    kind: "invalid",
    message: `part ${name} has other content than its name says`,
  });
}
