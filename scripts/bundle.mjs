/** Bundles the gateway into two files, because loading many modules slows down
 * the restart of a process. The first one takes the signals of the process and
 * loads the other.
 *
 * Usage: node scripts/bundle.mjs
 */
import { rolldown } from "rolldown";

const PACKAGES = {
  "@banyanlb/core": "packages/core/src/mod.ts",
  "@banyanlb/serving": "packages/serving/src/mod.ts",
  "@banyanlb/platform": "platform/src/mod.ts",
};

const bundle = await rolldown({
  input: "packages/gateway/src/main.ts",
  platform: "node",
  treeshake: { moduleSideEffects: false },
  resolve: {
    alias: Object.fromEntries(
      Object.entries(PACKAGES).map(([name, file]) => [
        name,
        new URL(`../${file}`, import.meta.url).pathname,
      ]),
    ),
  },
});
await bundle.write({
  dir: "target",
  entryFileNames: "banyanlb.mjs",
  chunkFileNames: "banyanlb-[name].mjs",
  format: "esm",
  minify: true,
});
await bundle.close();
