/** Client of engines with an OpenAI-compatible API and with requests that load
 * and unload LoRA adapters.
 *
 * @module
 */
import {
  createValidator,
  EngineClient,
  type EngineError,
  type EngineReport,
  type OrderOptions,
  type Target,
  type Version,
} from "@banyanlb/core";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { replies_schema } from "./generated/replies.ts";
import {
  type HttpClientOptions,
  type HttpResponse,
  JsonHttpClient,
} from "./json_http_client.ts";

const validateReport = createValidator<EngineReport>(
  replies_schema,
  "load_report",
);

interface Order {
  readonly path: string;
  readonly body: Readonly<Record<string, string>>;
  readonly options: OrderOptions;
}

/** Client of engines; one client serves all targets.
 *
 * Each order is sent once, without retries. After `unknown` it may still take
 * effect.
 *
 * @example
 * ```ts
 * const engines = new OpenAiEngineClient();
 * const result = await engines.load(target, version, {
 *   epoch: 7,
 *   timeout_ms: 5_000,
 * });
 * result.isErr() && result.error.kind; // "rejected" without a free slot
 * await engines.close();
 * ```
 */
export class OpenAiEngineClient extends EngineClient {
  readonly #client: JsonHttpClient;

  constructor(options: HttpClientOptions = {}) {
    super();
    this.#client = new JsonHttpClient(options);
  }

  override load(
    target: Target,
    version: Version,
    options: OrderOptions,
  ): ResultAsync<void, EngineError> {
    const body = { lora_name: version.name, lora_path: version.weights };
    const order = { path: "/v1/load_lora_adapter", body, options };
    return new ResultAsync(this.#sendOrder(target, order));
  }

  override evict(
    target: Target,
    version_name: string,
    options: OrderOptions,
  ): ResultAsync<void, EngineError> {
    const body = { lora_name: version_name };
    const order = { path: "/v1/unload_lora_adapter", body, options };
    return new ResultAsync(this.#sendOrder(target, order));
  }

  override report(
    target: Target,
    timeout_ms: number,
  ): ResultAsync<EngineReport, EngineError> {
    return new ResultAsync(this.#fetchReport(target, timeout_ms));
  }

  override close(): Promise<void> {
    return this.#client.close();
  }

  async #sendOrder(
    target: Target,
    order: Order,
  ): Promise<Result<void, EngineError>> {
    const response = await this.#client.send({
      method: "POST",
      url: `${target.url}${order.path}`,
      headers: { "x-fencing-epoch": String(order.options.epoch) },
      body: JSON.stringify(order.body),
      timeout_ms: order.options.timeout_ms,
    });
    if (response.isErr()) {
      return err({ kind: "unknown", message: response.error.message });
    }
    return decodeOrderOutcome(target, order, response.value);
  }

  async #fetchReport(
    target: Target,
    timeout_ms: number,
  ): Promise<Result<EngineReport, EngineError>> {
    const url = `${target.url}/v1/load_report`;
    const response = await this.#client.send({
      method: "GET",
      url,
      timeout_ms,
    });
    if (response.isErr()) {
      return err({ kind: "unknown", message: response.error.message });
    }
    return validateReport(response.value.body).mapErr((violations) => ({
      kind: "unknown",
      message: `${url}: status ${response.value.status}, ` +
        `${violations[0]?.message}; check the target's URL`,
    }));
  }
}

function decodeOrderOutcome(
  target: Target,
  order: Order,
  response: HttpResponse,
): Result<void, EngineError> {
  const { status } = response;
  if (status >= 200 && status < 300) return ok(undefined);
  const message = `${target.name}${order.path} ${order.body["lora_name"]}: ` +
    `status ${status}`;
  if (status === 412) {
    return err({ kind: "fenced", message: `${message}; read the fleet again` });
  }
  if (status === 500) {
    return err({ kind: "failed", message: `${message}; check the weights` });
  }
  if (status === 408 || status > 500) return err({ kind: "unknown", message });
  return err({
    kind: "rejected",
    message: `${message}; evict a version first`,
  });
}
