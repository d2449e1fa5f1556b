/** A link between two regions, in simulated time.
 *
 * @module
 */

/** Time between deliveries, in milliseconds. Simulated timers are expensive, so
 * that those of many segments are shared. */
const DELIVERY_INTERVAL_MS = 10;

/** Bytes that a connection has on the link at a time: the window of TCP. */
const WINDOW_BYTES = 64 * 1024;

/** A part of a transfer that is under way. */
interface Segment {
  readonly dueAt: number;
  readonly deliver: () => void;
}

/** Delivers segments one after the other, and counts the bytes. */
export class RegionLink {
  /** Bytes that have entered the link, by what they carry. */
  readonly bytes = new Map<string, number>();
  readonly #bytesPerMs: number;
  readonly #delayMs: number;
  #freeAt = 0;
  #segments: Segment[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(
    { bitsPerSecond, delayMs }: {
      readonly bitsPerSecond: number;
      readonly delayMs: number;
    },
  ) {
    this.#bytesPerMs = bitsPerSecond / 8 / 1000;
    this.#delayMs = delayMs;
  }

  /** Resolves when all bytes have arrived, or after the segment during which the
   * receiver has closed the connection. */
  async transfer(
    content: string,
    bytes: number,
    isClosed: () => boolean = () => false,
  ): Promise<void> {
    for (let sent = 0; sent < bytes && !isClosed(); sent += WINDOW_BYTES) {
      await this.#send(content, Math.min(WINDOW_BYTES, bytes - sent));
    }
  }

  #send(content: string, bytes: number): Promise<void> {
    this.bytes.set(content, (this.bytes.get(content) ?? 0) + bytes);
    const now = performance.now();
    this.#freeAt = Math.max(now, this.#freeAt) + bytes / this.#bytesPerMs;
    const dueAt = this.#freeAt + this.#delayMs;
    return new Promise((deliver) => {
      this.#segments.push({ dueAt, deliver });
      this.#timer ??= setTimeout(
        () => this.#deliverDue(),
        DELIVERY_INTERVAL_MS,
      );
    });
  }

  #deliverDue(): void {
    const now = performance.now();
    // Segments are due in the order in which they entered the link.
    const dueCount = this.#segments.findIndex(({ dueAt }) => dueAt > now);
    const due = dueCount < 0
      ? this.#segments.splice(0)
      : this.#segments.splice(0, dueCount);
    this.#timer = this.#segments.length === 0
      ? undefined
      : setTimeout(() => this.#deliverDue(), DELIVERY_INTERVAL_MS);
    for (const { deliver } of due) deliver();
  }
}
