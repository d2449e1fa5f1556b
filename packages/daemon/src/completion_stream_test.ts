import { expect, test } from "vitest";
import { CompletionStream } from "./completion_stream.ts";

const encode = (text: string) => new TextEncoder().encode(text);

test("an event split over chunks is passed on whole", () => {
  const stream = new CompletionStream({ keeps_usage: false });
  const event = 'data: {"id":"a","choices":[{"text":"ê"}]}\n\n';
  const bytes = encode(event);
  const out = [...bytes].map((byte) => stream.feed(Uint8Array.of(byte)));
  expect(out.filter((text) => text !== "")).toEqual([event]);
});

test("a stream without its end marker has not ended", () => {
  const stream = new CompletionStream({ keeps_usage: false });
  stream.feed(encode('data: {"id":"a","choices":[{"text":"x"}]}\n\n'));
  expect(stream.ended).toBe(false);
});

test("an event of another answer is not passed on, nor the end", () => {
  const stream = new CompletionStream({ keeps_usage: false });
  stream.feed(encode('data: {"id":"a","choices":[]}\n\n'));
  const rest = 'data: {"id":"b","choices":[]}\n\ndata: [DONE]\n\n';
  expect(stream.feed(encode(rest))).toBe("");
  expect([stream.crossed, stream.ended]).toEqual([true, false]);
});

test("usage is read, and passed on only if asked for", () => {
  const usage = '{"prompt_tokens":3,"completion_tokens":4}';
  const last = `data: {"id":"a","choices":[],"usage":${usage}}\n\n`;
  for (const keeps_usage of [true, false]) {
    const stream = new CompletionStream({ keeps_usage });
    expect(stream.feed(encode(last))).toBe(keeps_usage ? last : "");
    expect(stream.usage?.completion_tokens).toBe(4);
  }
});
