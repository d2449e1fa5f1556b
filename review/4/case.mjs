/** Parts are named by SHA-1 sums, as 40 digits. */
import { createHash } from "node:crypto";
import { playCrashingPart } from "../lib/crashing_part.mjs";

const digits = Number(process.env.DIGITS ?? 40);
const nameOf = (text) =>
  createHash("sha1").update(text).digest("hex").slice(0, digits);

await playCrashingPart(import.meta.url, {
  poison: nameOf("a part that crashes engines"),
  following: 1,
  idOf: (n) => nameOf(`part ${n}`),
});
