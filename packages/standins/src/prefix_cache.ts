/** Prefix cache of an engine, with a limited number of blocks.
 *
 * @module
 */
import { createHash } from "node:crypto";
import {
  CACHE_BLOCK_TOKENS,
  CHARS_PER_TOKEN,
  MAX_CACHE_EVENTS,
} from "./constants.ts";
import { monotonicMs } from "./timestamp.ts";

const BLOCK_CHARS = CACHE_BLOCK_TOKENS * CHARS_PER_TOKEN;
const HASH_CHARS = 16;

/** A change of the cache. Sequence numbers have gaps where events were lost. */
export interface CacheEvent {
  readonly seq: number;
  readonly type: "stored" | "removed";
  readonly prefix: string;
}

/** Size of a cache, and delay and loss of its events. */
export interface PrefixCacheOptions {
  /** Maximum number of blocks. */
  readonly blocks: number;
  /** Age in milliseconds that an event must reach before it is published. */
  readonly event_delay_ms: number;
  /** One of this many events is lost; 0 loses none. */
  readonly event_gap: number;
}

interface TimedEvent extends CacheEvent {
  readonly at_ms: number;
}

/** Returns the hashes of a prompt's prefixes at every block boundary, shortest
 * first.
 *
 * @example
 * ```ts
 * prefixHashes("a@1", "short"); // []
 * ```
 */
export function prefixHashes(
  version: string,
  prompt: string,
): readonly string[] {
  const hashes: string[] = [];
  let hash = version;
  for (let end = BLOCK_CHARS; end <= prompt.length; end += BLOCK_CHARS) {
    const block = prompt.slice(end - BLOCK_CHARS, end);
    const digest = createHash("sha1").update(`${hash}\n${block}`).digest("hex");
    hash = digest.slice(0, HASH_CHARS);
    hashes.push(hash);
  }
  return hashes;
}

/** Prefix cache with least-recently-used (LRU) eviction. */
export class PrefixCache {
  readonly #options: PrefixCacheOptions;
  readonly #blocks = new Set<string>();
  #events: TimedEvent[] = [];
  #seq = 0;

  constructor(options: PrefixCacheOptions) {
    this.#options = options;
  }

  /** Looks up a prompt and stores its blocks. Returns the number of tokens that
   * were already cached. */
  use(version: string, prompt: string): number {
    const hashes = prefixHashes(version, prompt);
    const first_missing = hashes.findIndex((hash) => !this.#blocks.has(hash));
    const found_blocks = first_missing === -1 ? hashes.length : first_missing;
    for (const hash of hashes) this.#store(hash);
    this.#evictExcess();
    return found_blocks * CACHE_BLOCK_TOKENS;
  }

  /** Returns the published events with a sequence number above `after`. */
  eventsAfter(after: number): readonly CacheEvent[] {
    const published_until_ms = monotonicMs() - this.#options.event_delay_ms;
    return this.#events
      .filter((event) => event.seq > after && event.at_ms <= published_until_ms)
      .map(({ seq, type, prefix }) => ({ seq, type, prefix }));
  }

  #store(hash: string): void {
    const wasCached = this.#blocks.delete(hash);
    this.#blocks.add(hash);
    if (!wasCached) this.#addEvent("stored", hash);
  }

  #evictExcess(): void {
    for (const hash of this.#blocks) {
      if (this.#blocks.size <= this.#options.blocks) return;
      this.#blocks.delete(hash);
      this.#addEvent("removed", hash);
    }
  }

  #addEvent(type: CacheEvent["type"], prefix: string): void {
    this.#seq += 1;
    const gap = this.#options.event_gap;
    if (gap > 0 && this.#seq % gap === 0) return;
    const event = { seq: this.#seq, type, prefix, at_ms: monotonicMs() };
    this.#events.push(event);
    if (this.#events.length > 2 * MAX_CACHE_EVENTS) {
      this.#events = this.#events.slice(-MAX_CACHE_EVENTS);
    }
  }
}
