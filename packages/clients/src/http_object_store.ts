/** HTTP client of the object API, which docs/PROTOCOLS.md describes.
 *
 * @module
 */
import {
  type CallOptions,
  createValidator,
  ObjectStore,
  type StoredKind,
  type StoreError,
  type StoreKey,
  type Validator,
  type Versioned,
  type WatchReply,
} from "@banyanlb/core";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { MAX_VALUE_BYTES, WATCH_GRACE_MS } from "./constants.ts";
import {
  type NamesReply,
  type ObjectReply,
  replies_schema,
  type VersionReply,
} from "./generated/replies.ts";
import {
  type HttpClientOptions,
  type HttpRequest,
  type HttpResponse,
  JsonHttpClient,
} from "./json_http_client.ts";
import { classifyStatus, describeResponse } from "./store_status.ts";

const validateObject = createValidator<ObjectReply>(replies_schema, "object");
const validateNames = createValidator<NamesReply>(replies_schema, "names");
const validateVersion = createValidator<VersionReply>(
  replies_schema,
  "version",
);

type ResultPromise<T> = Promise<Result<T, StoreError>>;

/** HTTP client of the object API.
 *
 * After `unavailable` a write may have taken effect: read the object back and
 * compare its unique write id. After any other error the write had no effect.
 *
 * @example
 * ```ts
 * const store = new HttpObjectStore("http://127.0.0.1:8000");
 * const key = { kind: "fleet", name: "fleet" } as const;
 * const created = await store.create(key, { generation: 1 });
 * created.isErr() && created.error.kind; // "conflict" if it exists
 * await store.close();
 * ```
 */
export class HttpObjectStore extends ObjectStore {
  readonly #base_url: string;
  readonly #client: JsonHttpClient;

  constructor(base_url: string, options: HttpClientOptions = {}) {
    super();
    this.#base_url = base_url.replace(/\/+$/, "");
    this.#client = new JsonHttpClient(options);
  }

  override get<T>(
    key: StoreKey,
    options: CallOptions = {},
  ): ResultAsync<Versioned<T>, StoreError> {
    return new ResultAsync(this.#get(key, options));
  }

  override list(
    kind: StoredKind,
    options: CallOptions = {},
  ): ResultAsync<readonly string[], StoreError> {
    return new ResultAsync(this.#list(kind, options));
  }

  override create<T>(
    key: StoreKey,
    value: T,
    options: CallOptions = {},
  ): ResultAsync<string, StoreError> {
    const headers = { "if-none-match": "*" };
    return new ResultAsync(this.#put(key, { value, headers, options }));
  }

  override update<T>(
    key: StoreKey,
    base: Versioned<T>,
    options: CallOptions = {},
  ): ResultAsync<string, StoreError> {
    const headers = { "if-match": base.version };
    const value = base.value;
    return new ResultAsync(this.#put(key, { value, headers, options }));
  }

  override remove(
    key: StoreKey,
    version: string,
    options: CallOptions = {},
  ): ResultAsync<void, StoreError> {
    return new ResultAsync(this.#remove(key, { version, options }));
  }

  override watch<T>(
    key: StoreKey,
    version: string | undefined,
    options: CallOptions & { readonly wait_ms: number },
  ): ResultAsync<WatchReply<T>, StoreError> {
    return new ResultAsync(this.#watch(key, { version, options }));
  }

  override close(): Promise<void> {
    return this.#client.close();
  }

  async #get<T>(
    key: StoreKey,
    options: CallOptions,
  ): ResultPromise<Versioned<T>> {
    const url = this.#objectUrl(key);
    const response = await this.#send({ method: "GET", url, ...options });
    if (response.isErr()) return err(response.error);
    return decodeObject<T>(response.value);
  }

  async #list(
    kind: StoredKind,
    options: CallOptions,
  ): ResultPromise<readonly string[]> {
    const url = `${this.#base_url}/v1/objects/${kind}`;
    const response = await this.#send({ method: "GET", url, ...options });
    if (response.isErr()) return err(response.error);
    return validateBody(response.value, validateNames).map((body) =>
      body.names
    );
  }

  async #put<T>(
    key: StoreKey,
    write: {
      readonly value: T;
      readonly headers: Readonly<Record<string, string>>;
      readonly options: CallOptions;
    },
  ): ResultPromise<string> {
    const body = JSON.stringify(write.value);
    const size_error = checkSize(key, body);
    if (size_error !== undefined) return err(size_error);
    const response = await this.#send({
      method: "PUT",
      url: this.#objectUrl(key),
      headers: write.headers,
      body,
      ...write.options,
    });
    if (response.isErr()) return err(response.error);
    // The write took effect, but its version is not known: `unavailable` makes
    // the caller read the object back.
    return validateBody(response.value, validateVersion)
      .map((body) => body.version)
      .mapErr((error) => ({ kind: "unavailable", message: error.message }));
  }

  async #remove(
    key: StoreKey,
    request: { readonly version: string; readonly options: CallOptions },
  ): ResultPromise<void> {
    const response = await this.#send({
      method: "DELETE",
      url: this.#objectUrl(key),
      headers: { "if-match": request.version },
      ...request.options,
    });
    return response.map(() => undefined);
  }

  async #watch<T>(
    key: StoreKey,
    request: {
      readonly version: string | undefined;
      readonly options: CallOptions & { readonly wait_ms: number };
    },
  ): ResultPromise<WatchReply<T>> {
    const { wait_ms, timeout_ms, signal } = request.options;
    const query = new URLSearchParams({
      watch: request.version ?? "",
      wait_ms: String(wait_ms),
    });
    const response = await this.#send({
      method: "GET",
      url: `${this.#objectUrl(key)}?${query}`,
      timeout_ms: timeout_ms ?? wait_ms + WATCH_GRACE_MS,
      signal,
    });
    if (response.isErr()) return decodeRemoval(response.error, request.version);
    if (response.value.status === 204) {
      return ok({ changed: false, object: undefined });
    }
    return decodeObject<T>(response.value)
      .map((object) => ({
        changed: object.version !== request.version,
        object,
      }));
  }

  async #send(request: HttpRequest): ResultPromise<HttpResponse> {
    const response = await this.#client.send(request);
    if (response.isErr()) {
      return err({ kind: "unavailable", message: response.error.message });
    }
    const error = classifyStatus(request, response.value);
    return error === undefined ? ok(response.value) : err(error);
  }

  #objectUrl(key: StoreKey): string {
    const name = encodeURIComponent(key.name);
    return `${this.#base_url}/v1/objects/${key.kind}/${name}`;
  }
}

/** Reports `not_found` as a change if the object was read before. */
function decodeRemoval<T>(
  error: StoreError,
  version: string | undefined,
): Result<WatchReply<T>, StoreError> {
  if (error.kind !== "not_found" || version === undefined) return err(error);
  return ok({ changed: true, object: undefined });
}

function decodeObject<T>(
  response: HttpResponse,
): Result<Versioned<T>, StoreError> {
  return validateBody(response, validateObject).map((body) => ({
    version: body.version,
    value: body.value as T,
  }));
}

function validateBody<T>(
  response: HttpResponse,
  validate: Validator<T>,
): Result<T, StoreError> {
  return validate(response.body).mapErr((violations) => ({
    kind: "invalid",
    message:
      `${describeResponse(response)}, body at ${violations[0]?.path ?? "/"}: ` +
      `${violations[0]?.message}; check that the URL is the object API's`,
  }));
}

function checkSize(key: StoreKey, body: string): StoreError | undefined {
  const bytes = Buffer.byteLength(body);
  if (bytes <= MAX_VALUE_BYTES) return undefined;
  return {
    kind: "invalid",
    message: `${key.kind}/${key.name} has ${bytes} bytes, above the limit of ` +
      `${MAX_VALUE_BYTES}; split it into parts`,
  };
}
