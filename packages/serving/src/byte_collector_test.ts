import { expect, test } from "vitest";
import { ByteCollector } from "./byte_collector.ts";

test("chunks of any size are joined in order", () => {
  const collector = new ByteCollector();
  const chunks = Array.from(
    { length: 1000 },
    (_, i) => Buffer.alloc(i % 7 === 0 ? 9000 : 3, i % 251),
  );
  for (const chunk of chunks) collector.push(chunk);
  const all = Buffer.concat(chunks);
  expect(collector.sizeBytes).toBe(all.length);
  expect(collector.concat().equals(all)).toBe(true);
  collector.clear();
  expect(collector.concat().length).toBe(0);
});

// FAULT: a body of 8 MiB in chunks of one byte took over 800 MB.
test("chunks of one byte take little more than their bytes", () => {
  const collector = new ByteCollector();
  const block = Buffer.alloc(65_536, "x");
  const rssBytes = process.memoryUsage().rss;
  for (let i = 0; i < 4 * 1024 * 1024; i += 1) {
    const at = i % block.length;
    collector.push(block.subarray(at, at + 1));
  }
  expect(process.memoryUsage().rss - rssBytes).toBeLessThan(128 * 1024 * 1024);
  expect(collector.concat().length).toBe(4 * 1024 * 1024);
});
