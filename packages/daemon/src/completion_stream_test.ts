import { expect, test } from "vitest";
import { CompletionStream } from "./completion_stream.ts";

const encode = (text: string) => new TextEncoder().encode(text);

test("an event split over chunks is forwarded complete", () => {
  const stream = new CompletionStream({ keeps_usage: false });
  const event = 'data: {"id":"a","choices":[{"text":"ê"}]}\n\n';
  const bytes = encode(event);
  const out = [...bytes].map((byte) => stream.feed(Uint8Array.of(byte)));
  expect(out.filter((text) => text !== "")).toEqual([event]);
});

test("a stream without an end marker has not ended", () => {
  const stream = new CompletionStream({ keeps_usage: false });
  stream.feed(encode('data: {"id":"a","choices":[{"text":"x"}]}\n\n'));
  expect(stream.ended).toBe(false);
});

test("an event of another response and the end marker after it are withheld", () => {
  const stream = new CompletionStream({ keeps_usage: false });
  stream.feed(encode('data: {"id":"a","choices":[]}\n\n'));
  const rest = 'data: {"id":"b","choices":[]}\n\ndata: [DONE]\n\n';
  expect(stream.feed(encode(rest))).toBe("");
  expect([stream.crossed, stream.ended]).toEqual([true, false]);
});

test("usage is parsed, and forwarded only if requested", () => {
  const usage = '{"prompt_tokens":3,"completion_tokens":4}';
  const last = `data: {"id":"a","choices":[],"usage":${usage}}\n\n`;
  for (const keeps_usage of [true, false]) {
    const stream = new CompletionStream({ keeps_usage });
    expect(stream.feed(encode(last))).toBe(keeps_usage ? last : "");
    expect(stream.usage?.completion_tokens).toBe(4);
  }
});
