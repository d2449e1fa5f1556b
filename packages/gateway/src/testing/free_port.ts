/** Finds ports for the listeners of tests.
 *
 * @module
 */
import { type AddressInfo, createServer } from "node:net";

/** A port of 127.0.0.1 that was free a moment ago. */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}
