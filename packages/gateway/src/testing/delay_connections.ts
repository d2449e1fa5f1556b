/** Makes connections slow.
 *
 * @module
 */
import { Agent } from "node:http";
import {
  connect,
  type LookupFunction,
  type NetConnectOpts,
  type Socket,
  type TcpNetConnectOpts,
} from "node:net";
import { addCleanup } from "./start_relay.ts";

/** Makes new connections to a port take `ms`. */
export function delayConnections(port: number, ms: number): void {
  const { createConnection } = Agent.prototype as unknown as {
    createConnection: (options: NetConnectOpts, ...rest: unknown[]) => Socket;
  };
  const lookup: LookupFunction = (_, options, callback) =>
    void setTimeout(
      () =>
        options.all === true
          ? callback(null, [{ address: "127.0.0.1", family: 4 }])
          : callback(null, "127.0.0.1", 4),
      ms,
    );
  Object.assign(Agent.prototype, {
    createConnection(options: TcpNetConnectOpts, ...rest: unknown[]) {
      return options.port === port
        ? connect({ port, host: "slow.test", lookup })
        : createConnection.call(this, options, ...rest);
    },
  });
  addCleanup(() => Object.assign(Agent.prototype, { createConnection }));
}
