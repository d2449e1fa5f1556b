import { setTimeout as pause } from "node:timers/promises";
import { expect, test } from "vitest";
import type { TrialConfiguration } from "@banyanlb/platform/stand_in";
import { SoakWorld } from "./world.ts";

/** Time in which the store takes the copy from which it comes back. */
const COPIED_MS = 1000;

test("the operator writes again what a restore lost", async () => {
  const world = new SoakWorld(1);
  const { host, port } = world.storeAddress;
  const read = async <T>(path: string) => {
    const res = await fetch(`http://${host}:${port}/v1/objects/${path}`);
    const body = await res.json() as T;
    return { era: res.headers.get("store-era"), body };
  };
  const readConfiguration = () =>
    read<{ readonly spec: TrialConfiguration }>("config/main");
  try {
    await world.start({ gateways: 0, engines: 0, plain: 0 });
    const endFirst = world.evacuate("n-a");
    await pause(COPIED_MS);
    const before = (await readConfiguration()).body;
    await endFirst();
    world.evacuate("n-b");
    await world.publish();
    await world.publish();
    const lost = (await readConfiguration()).body;
    await world.restoreStore({ ageMs: COPIED_MS, awayMs: 200 });
    const { era, body } = await readConfiguration();
    expect(era).toBe("2");
    expect(before.spec.version).toBeLessThan(lost.spec.version);
    expect(body.spec).toEqual(lost.spec);
    const { items } =
      (await read<{ readonly items: unknown }>("evacuations")).body;
    expect(items).toMatchObject([{ metadata: { name: "n-b" } }]);
  } finally {
    await world.close();
  }
}, 30_000);
