/** Measures a large snapshot: memory, lookups and the longest event-loop turns.
 * Run with `node --expose-gc --experimental-strip-types` after `npm run
 * build`.
 *
 * @module
 */
import type { ConfigObject, Part } from "@banyanlb/core";
import { Snapshot } from "@banyanlb/published";

const ADAPTERS = Number(process.argv[2] ?? 170_000);
const WORKSPACES = 500;
const LOOKUPS = 200_000;
const OBJECTS_PER_TURN = 512;
const BYTES_PER_MB = 1e6;

function adapterObjects(i: number): readonly ConfigObject[] {
  const name = `adapter-${i}`;
  const version = `${name}@1`;
  const workspace = `workspace-${i % WORKSPACES}`;
  const serves = { type: "version", version } as const;
  return [
    { kind: "adapter", name, workspace, model: `model-${i % 3}` },
    { kind: "version", name: version, adapter: name, weights: `${name}/1` },
    { kind: "route", name, workspace, serves, class: "batch" },
  ];
}

function logMemory(label: string): void {
  (globalThis as { gc?: () => void }).gc?.();
  const { heapUsed, external, arrayBuffers } = process.memoryUsage();
  const mb = (bytes: number) => (bytes / BYTES_PER_MB).toFixed(1);
  console.log(
    `${label}: heap ${mb(heapUsed)} MB, buffers ${mb(arrayBuffers)} MB, ` +
      `external ${mb(external)} MB`,
  );
}

function measure<T>(label: string, task: () => T): T {
  const start = performance.now();
  const result = task();
  console.log(`${label}: ${(performance.now() - start).toFixed(2)} ms`);
  return result;
}

/** Parts as JSON, one for each bucket, so that parsed objects share no
 * strings. */
function partTexts(count: number): readonly string[] {
  const numbers = Array.from({ length: ADAPTERS }, (_, i) => i);
  const put = numbers.flatMap(adapterObjects);
  const whole = Snapshot.empty(count)
    .apply({ generation: 1, at_ms: 0, put, remove: [] });
  return Array.from({ length: count }, (_, i) => {
    const entries = whole.bucket(i);
    return JSON.stringify({
      objects: entries.map((e) => e.object),
      generations: entries.map((e) => e.generation),
    });
  });
}

logMemory("empty");
const texts = partTexts(256);
logMemory("texts");
let set = Snapshot.empty(256);
const turns: number[] = [];
const started = performance.now();
function measureTurn<T>(task: () => T): T {
  const start = performance.now();
  const result = task();
  turns.push(performance.now() - start);
  return result;
}
for (const text of texts) {
  const part = measureTurn(() => JSON.parse(text) as Part);
  const entries = part.objects.map((object) => ({ object, generation: 1 }));
  for (let i = 0; i < entries.length; i += OBJECTS_PER_TURN) {
    const slice = entries.slice(i, i + OBJECTS_PER_TURN);
    set = measureTurn(() => set.withEntries(slice, 1));
  }
}
console.log(`load: ${(performance.now() - started).toFixed(0)} ms`);
turns.sort((a, b) => a - b);
const percentiles = [0.5, 0.9, 0.99, 1].map((part) =>
  turns[Math.ceil(part * turns.length) - 1]?.toFixed(1)
);
console.log(`turns, median, 90%, 99%, longest: ${percentiles.join(", ")} ms`);
logMemory("texts and snapshot");
const names = Array.from(
  { length: LOOKUPS },
  (_, i) => `adapter-${(i * 7_919) % ADAPTERS}`,
);
for (const kind of ["adapter", "route"] as const) {
  const start = performance.now();
  for (const name of names) set.get(kind, name);
  const us = (performance.now() - start) * 1e3 / LOOKUPS;
  console.log(`get ${kind}: ${us.toFixed(2)} us`);
}
measure("read all routes", () => [...set.list("route")].length);
measure(
  "routes of a workspace",
  () => [...set.routesFor("workspace-7")].length,
);
measure(
  "versions of a workspace",
  () => [...set.versionsOfWorkspace("workspace-7")].length,
);
measure("users of a version", () => [...set.usersOf("version", "adapter-9@1")]);
measure("users of a workspace", () => [...set.usersOf("workspace", "absent")]);
measure("one bucket", () => set.bucket(3).length);
for (let generation = 2; generation < 5; generation++) {
  const put = adapterObjects(ADAPTERS + generation);
  set = measure(
    "apply 3 objects",
    () => set.apply({ generation, at_ms: 0, put, remove: [] }),
  );
}
