/** HTTP client of the platform's instance list.
 *
 * @module
 */
import {
  createValidator,
  InstanceList,
  type ListedInstance,
  type StoreError,
} from "@banyanlb/core";
import { err, type Result, ResultAsync } from "neverthrow";
import { type InstancesReply, replies_schema } from "./generated/replies.ts";
import {
  type HttpClientOptions,
  type HttpRequest,
  JsonHttpClient,
} from "./json_http_client.ts";
import { classifyStatus } from "./store_status.ts";

const validateInstances = createValidator<InstancesReply>(
  replies_schema,
  "instances",
);

/** HTTP client of the instance list. The list may be some seconds out of date.
 *
 * @example
 * ```ts
 * const list = new HttpInstanceList("http://127.0.0.1:8001");
 * const rows = await list.read(); // Ok([{ name: "e1", state: "live" }])
 * await list.close();
 * ```
 */
export class HttpInstanceList extends InstanceList {
  readonly #request: HttpRequest;
  readonly #client: JsonHttpClient;

  constructor(base_url: string, options: HttpClientOptions = {}) {
    super();
    const url = `${base_url.replace(/\/+$/, "")}/v1/instances`;
    this.#request = { method: "GET", url };
    this.#client = new JsonHttpClient(options);
  }

  override read(): ResultAsync<readonly ListedInstance[], StoreError> {
    return new ResultAsync(this.#read());
  }

  override close(): Promise<void> {
    return this.#client.close();
  }

  async #read(): Promise<Result<readonly ListedInstance[], StoreError>> {
    const response = await this.#client.send(this.#request);
    if (response.isErr()) {
      return err({ kind: "unavailable", message: response.error.message });
    }
    const error = classifyStatus(this.#request, response.value);
    if (error !== undefined) return err(error);
    return validateInstances(response.value.body)
      .map((body) => body.instances)
      .mapErr((violations) => ({
        kind: "invalid",
        message: `${this.#request.url}: ${violations[0]?.message}; ` +
          "check that the URL is the instance list's",
      }));
  }
}
