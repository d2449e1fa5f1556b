/** The part that crashes engines is the second of twelve, as in a chat of ten
 * turns. */
import { playCrashingPart } from "../lib/crashing_part.mjs";

await playCrashingPart(import.meta.url, {
  poison: "dead",
  following: Number(process.env.FOLLOWING ?? 10),
  idOf: (n) => (0xa0000 + n).toString(16),
});
