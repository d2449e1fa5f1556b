/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case
 * could not run. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { World } from "./world.mjs";

const TIME_MAX_MS = 115_000;

export async function runCase(url, play) {
  const world = new World(dirname(fileURLToPath(url)));
  const hasTrouble = process.env.TROUBLE !== "0";
  const timer = setTimeout(async () => {
    console.error("the case took too long");
    await world.close({ error: "took too long" });
    process.exit(2);
  }, TIME_MAX_MS);
  // Whoever ends the script ends the processes that it started.
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
    process.once(signal, async () => {
      await world.close({ error: signal });
      process.exit(2);
    });
  }
  let result;
  try {
    await world.open();
    result = await play(world, hasTrouble);
  } catch (err) {
    result = { error: String(err?.stack ?? err) };
  }
  clearTimeout(timer);
  const verdict = { trouble: hasTrouble, ...result };
  await world.close(verdict);
  console.log(JSON.stringify(verdict));
  process.exit(result.error !== undefined ? 2 : result.isBroken ? 1 : 0);
}
