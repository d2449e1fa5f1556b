/** A record store that is read over a link between regions.
 *
 * @module
 */
import {
  type RecordChange,
  type RecordKind,
  type RecordList,
  RecordStore,
  StoreCallError,
  type StoredRecord,
} from "@banyanlb/serving";
import type { FakeRecordStore } from "./fake_record_store.ts";
import type { RegionLink } from "./region_link.ts";

/** Timeouts of the store's client, in milliseconds. */
const CALL_TIMEOUT_MS = 1200;
const WATCH_GRACE_MS = 1000;

/** Bytes of a reply around its records, and of each record around its value. */
const REPLY_BYTES = 200;
const RECORD_BYTES = 120;

const valueBytes = new WeakMap<object, number>();

/** Size of records in a reply or a message, in bytes. */
export function sizeOfRecords(records: readonly StoredRecord[]): number {
  let sum = 0;
  for (const { value } of records) {
    const key = value as object;
    let bytes = valueBytes.get(key);
    if (bytes === undefined) {
      bytes = JSON.stringify(value).length;
      valueBytes.set(key, bytes);
    }
    sum += RECORD_BYTES + bytes;
  }
  return sum;
}

/** Passes calls to another store; replies arrive over the link. A call that
 * times out or is aborted closes its connection. */
export class RemoteRecordStore extends RecordStore {
  readonly #store: FakeRecordStore;
  readonly #link: RegionLink;
  /** Whether calls get no reply. */
  isCut = false;

  constructor(store: FakeRecordStore, link: RegionLink) {
    super();
    if (store.era !== undefined) this.recordEra(store.era);
    store.onEraChange((era) => this.recordEra(era));
    this.#store = store;
    this.#link = link;
  }

  override list(
    kind: RecordKind,
    { timeoutMs = CALL_TIMEOUT_MS }: { readonly timeoutMs?: number } = {},
  ): Promise<RecordList> {
    const reply = this.#store.list(kind);
    return this.#receive(reply, {
      content: kind,
      timeoutMs,
      recordsOf: ({ records }) => records,
    });
  }

  override get(
    kind: RecordKind,
    name: string,
  ): Promise<StoredRecord | undefined> {
    return this.#receive(this.#store.get(kind, name), {
      content: kind,
      timeoutMs: CALL_TIMEOUT_MS,
      recordsOf: (record) => record === undefined ? [] : [record],
    });
  }

  override watch(
    kind: RecordKind,
    options: {
      readonly revision: number;
      readonly waitMs: number;
      readonly signal: AbortSignal;
    },
  ): Promise<
    { readonly changes: readonly RecordChange[]; readonly revision: number }
  > {
    return this.#receive(this.#store.watch(kind, options), {
      content: kind,
      timeoutMs: options.waitMs + WATCH_GRACE_MS,
      signal: options.signal,
      recordsOf: ({ changes }) => changes.map(({ record }) => record),
    });
  }

  override put(): Promise<StoredRecord> {
    return Promise.reject(new StoreCallError("rejected", "read only"));
  }

  override remove(): Promise<void> {
    return Promise.reject(new StoreCallError("rejected", "read only"));
  }

  override close(): void {
    // The store that answers is closed by its owner.
  }

  #receive<T>(
    reply: Promise<T>,
    call: {
      readonly content: RecordKind;
      readonly timeoutMs: number;
      readonly signal?: AbortSignal;
      readonly recordsOf: (value: T) => readonly StoredRecord[];
    },
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      let isClosed = false;
      const fail = (reason: string) => {
        isClosed = true;
        reject(new StoreCallError("unknown", reason));
      };
      const timer = setTimeout(() => fail("timed out"), call.timeoutMs);
      call.signal?.addEventListener("abort", () => fail("aborted"), {
        once: true,
      });
      if (this.isCut) return void reply.catch(() => undefined);
      reply.then(async (value) => {
        const bytes = REPLY_BYTES + sizeOfRecords(call.recordsOf(value));
        await this.#link.transfer(call.content, bytes, () => isClosed);
        if (!isClosed) resolve(value);
      }).catch(reject).finally(() => clearTimeout(timer));
    });
  }
}
