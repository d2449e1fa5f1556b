/** Fetches weights from the weight store, as an engine does.
 *
 * @module
 */
import { Agent } from "undici";

const HTTP_OK = 200;

/** Client of a weight store. */
export class WeightsClient {
  readonly #base_url: string;
  readonly #agent: Agent;

  /** `local_address` is the source address of the connections. */
  constructor(
    base_url: string,
    options: { readonly local_address?: string | undefined },
  ) {
    const { local_address } = options;
    this.#base_url = base_url;
    this.#agent = new Agent(
      local_address === undefined ? {} : { localAddress: local_address },
    );
  }

  /** Fetches the weights at a path. Returns `false` if the store responds with an
   * error. */
  async fetch(path: string): Promise<boolean> {
    const res = await this.#agent.request({
      origin: this.#base_url,
      path: `/v1/weights/${encodeURI(path)}`,
      method: "GET",
    });
    await res.body.dump();
    return res.statusCode === HTTP_OK;
  }

  /** Aborts open calls and closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
