/** HTTP clients of the object API, the instance list and the engines.
 *
 * @module
 */
export { HttpInstanceList } from "./http_instance_list.ts";
export { HttpObjectStore } from "./http_object_store.ts";
export type { HttpClientOptions } from "./json_http_client.ts";
export { OpenAiEngineClient } from "./openai_engine_client.ts";
