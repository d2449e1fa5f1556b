import { createServer } from "node:http";
import { type AddressInfo, connect, type Server } from "node:net";
import { fileURLToPath } from "node:url";
import { afterEach, expect, test } from "vitest";
import { createValidator, stored_schema } from "@banyanlb/core";
import {
  buildNetworkConfig,
  buildObjects,
  loadDeployment,
  planEntryInstances,
  planTargets,
} from "./deployment.ts";
import { Launcher } from "./launcher.ts";
import { NetworkStandIn } from "./network_stand_in.ts";
import { ServiceStandIn } from "./service_stand_in.ts";
import { WeightsStandIn } from "./weights_stand_in.ts";

const SCRIPT = fileURLToPath(new URL("../dist/main.js", import.meta.url));
const closing: (() => Promise<unknown>)[] = [];

afterEach(async () => {
  for (const close of closing.splice(0).reverse()) await close();
});

test("each stand-in runs as a process that the launcher stops", async () => {
  const launcher = new Launcher();
  closing.push(() => launcher.close());
  for (const name of ["store", "list", "weights", "engine", "service"]) {
    const args = [name, "--port", "0"];
    const started = await launcher.start({ name, script: SCRIPT, args });
    const url = `http://127.0.0.1:${started.port}/_control/record`;
    expect((await fetch(url)).status).toBe(200);
  }
  const [store] = launcher.running;
  store?.signal("SIGSTOP");
  await launcher.close();
  expect(launcher.running).toEqual([]);
  expect(await store?.exited).toMatchObject({ code: 0 });
});

test("starting a process that exits before it is ready is an error", async () => {
  const launcher = new Launcher();
  closing.push(() => launcher.close());
  const args = ["network", "--port", "0"];
  const start = launcher.start({ name: "net", script: SCRIPT, args });
  await expect(start).rejects.toThrow("--config");
});

async function startNetwork(): Promise<NetworkStandIn> {
  const destination: Server = createServer((_req, res) =>
    res.end("x".repeat(9_000))
  );
  await new Promise<void>((done) => destination.listen(0, "127.0.0.1", done));
  closing.push(() => new Promise((done) => destination.close(done)));
  const { port } = destination.address() as AddressInfo;
  const deployment = loadDeployment("jongsori");
  const forward = `127.0.0.1:${port}`;
  const listen = "127.0.2.1:0";
  const network = new NetworkStandIn({
    config: buildNetworkConfig(deployment, {
      links: [{ name: "e1", domain: "yn-a", listen, forward }],
      sources: [{ name: "far", domain: "sd-a", address: "127.0.1.9" }],
    }),
  });
  await network.start();
  closing.push(() => network.close());
  return network;
}

function readFromFarSource(network: NetworkStandIn): Promise<string> {
  const port = Number(network.links[0]?.listen.split(":")[1]);
  return new Promise((resolve, reject) => {
    const socket = connect({
      host: "127.0.2.1",
      port,
      localAddress: "127.0.1.9",
    });
    let text = "";
    socket.on("data", (chunk) => text += chunk.toString());
    socket.on("error", reject);
    socket.on("end", () => resolve(text));
    socket.write("GET / HTTP/1.0\r\n\r\n");
  });
}

test("links delay traffic, count it by pair, can be cut and reset", async () => {
  const network = await startNetwork();
  const start = performance.now();
  expect(await readFromFarSource(network)).toContain("x".repeat(9_000));
  // 8 ms in each direction; 9,000 bytes at 20 Mbit/s take 3.6 ms more.
  expect(performance.now() - start).toBeGreaterThan(19);
  expect(network.traffic["far>e1"]).toMatchObject({ bytes: 18 });
  expect(network.traffic["e1>far"]?.bytes).toBeGreaterThan(9_000);
  const path = { from: { region: "yeongnam" }, to: { region: "sudogwon" } };
  network.setFaults({ cuts: [path] });
  let done = false;
  const held = readFromFarSource(network).then(() => done = true);
  await new Promise((wake) => setTimeout(wake, 100));
  expect(done).toBe(false);
  network.setFaults({ cuts: [] });
  await held;
  network.setFaults({ cuts: [{ ...path, both: true }] });
  const broken = readFromFarSource(network);
  await new Promise((wake) => setTimeout(wake, 50));
  network.breakConnections({ from: { name: "far" }, to: { name: "e1" } });
  await expect(broken).rejects.toThrow();
});

test("the weight store limits the rate and slows down under load", async () => {
  const limits = {
    loads_per_s: 100,
    at_once: 2,
    load_ms: 20,
    full_speed_in_flight: 2,
  };
  const weights = new WeightsStandIn({ limits });
  await weights.start();
  closing.push(() => weights.close());
  const load = () => fetch(`${weights.url}/v1/weights/a/1`);
  await Promise.all([load(), load(), load(), load()]);
  const [first] = weights.loads;
  const last = weights.loads.at(-1);
  const elapsed = (last?.end.mono_ms ?? 0) - (first?.start.mono_ms ?? 0);
  // The fourth load waits 20 ms for the rate limit, then takes at least 20 ms.
  expect(elapsed).toBeGreaterThan(38);
  expect(last?.path).toBe("a/1");
});

test("reset_before_next skips the execution, reset_after_next does not", async () => {
  const service = new ServiceStandIn();
  await service.start();
  closing.push(() => service.close());
  const call = () => fetch(`${service.url}/x`, { method: "POST", body: "b" });
  service.setFaults({ reset_before_next: 1 });
  await expect(call()).rejects.toThrow();
  expect(service.executions).toHaveLength(0);
  service.setFaults({ reset_after_next: 1 });
  await expect(call()).rejects.toThrow();
  expect(service.executions).toHaveLength(1);
  expect(await (await call()).json()).toMatchObject({ executed: 2, body: "b" });
});

test.each(["jongsori", "kim_quy"] as const)(
  "the schema accepts the objects of the deployment %s",
  (name) => {
    const deployment = loadDeployment(name);
    const targets = planTargets(deployment);
    const urls = new Map(targets.map((t) => [t.name, "http://127.0.0.1:1"]));
    const { objects, routes } = buildObjects(deployment, { urls });
    const validate = createValidator(stored_schema, "config_object");
    const invalid_objects = objects.filter((object) =>
      validate(object).isErr()
    );
    expect(invalid_objects).toEqual([]);
    expect(routes).toHaveLength(3_000);
    const entries = planEntryInstances(deployment).map((entry) => entry.domain);
    expect(new Set(entries).size).toBe(3);
  },
);
