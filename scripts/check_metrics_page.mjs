/** Checks that docs/METRICS.md lists every metric with its tags and every
 * refusal kind, and nothing that the code doesn't define.
 *
 * Usage: node scripts/check_metrics_page.mjs [ROOT]
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const PAGE = "docs/METRICS.md";
const REFUSALS = "packages/core/src/refusal.ts";
const PRIVATE_PACKAGES = ["examples", "standins", "trials"];
const SKIPPED = /(_test\.ts|[\\/]testing[\\/].*|[\\/]generated[\\/].*)$/;
const CALL = /\b#?metrics\.(count|time|gauge|add|set)\(\s*/g;
const NAME = /^(["`])([^"`]+)\1/;
const TAGS = /^,\s*(?:[^,{}]+,\s*)?\{([^}]*)/;
const ROW = /^\| `([^`]+)` *\| ([^|]*)\|/gm;
const KIND = /^ {2}(\w+): \{$|^ {2}(\w+): \{ status/gm;

function readSources(root) {
  const packages = readdirSync(join(root, "packages"))
    .filter((name) => !PRIVATE_PACKAGES.includes(name))
    .map((name) => join(root, "packages", name, "src"))
    .filter((dir) => existsSync(dir));
  return packages.flatMap((dir) =>
    readdirSync(dir, { recursive: true })
      .map((file) => join(dir, file))
      .filter((file) => file.endsWith(".ts") && !SKIPPED.test(file))
      .map((file) => ({ file, text: readFileSync(file, "utf8") }))
  );
}

function tagsOf(rest) {
  const list = TAGS.exec(rest)?.[1] ?? "";
  return list.split(",")
    .map((part) => part.split(":")[0].trim())
    .filter((name) => /^\w+$/.test(name));
}

/** Returns the metrics of one source file. The name of a metric whose name is
 * not a literal is `undefined`, which is reported as a fault. */
function findMetrics({ file, text }) {
  return [...text.matchAll(CALL)].map((call) => {
    const start = call.index + call[0].length;
    const rest = text.slice(start, text.indexOf(");", start));
    const found = NAME.exec(rest);
    if (found === null) return { file, name: undefined, tags: [] };
    return { file, name: found[2], tags: tagsOf(rest.slice(found[0].length)) };
  });
}

/** Returns a pattern that matches the names that a template such as
 * `permits.${x}` can produce. */
function patternOf(name) {
  const parts = name.split(/\$\{[^}]*\}/)
    .map((part) => part.replaceAll(".", "\\."));
  return new RegExp(`^${parts.join("\\w+")}$`);
}

function faultsOfMetric(metric, rows) {
  if (metric.name === undefined) {
    return [`${metric.file}: a metric's name is not a literal`];
  }
  const pattern = patternOf(metric.name);
  const matching = rows.filter((row) => pattern.test(row.name));
  if (matching.length === 0) {
    return [`${metric.file}: ${metric.name} is missing in ${PAGE}`];
  }
  return metric.tags
    .filter((tag) => !matching.some((row) => row.tags.includes(`\`${tag}\``)))
    .map((tag) => `${PAGE}: ${metric.name} lacks the tag ${tag}`);
}

/** Returns all faults of the page, one line each. */
function findFaults(root) {
  const page = readFileSync(join(root, PAGE), "utf8");
  const rows = [...page.matchAll(ROW)]
    .map(([, name, tags]) => ({ name, tags }));
  const metrics = readSources(root).flatMap(findMetrics);
  const kinds = [...readFileSync(join(root, REFUSALS), "utf8").matchAll(KIND)]
    .map((match) => match[1] ?? match[2]);
  const known = metrics.flatMap(({ name }) =>
    name === undefined ? [] : [patternOf(name)]
  );
  return [
    ...metrics.flatMap((metric) => faultsOfMetric(metric, rows)),
    ...kinds.filter((kind) => !rows.some((row) => row.name === kind))
      .map((kind) => `${PAGE}: refusal kind ${kind} is missing`),
    ...rows.filter(({ name }) =>
      !kinds.includes(name) && !known.some((pattern) => pattern.test(name))
    ).map(({ name }) => `${PAGE}: ${name} is not in the code`),
    ...(metrics.length === 0 || kinds.length === 0
      ? ["no metric or no refusal kind was found; check this script"]
      : []),
  ];
}

const faults = findFaults(process.argv[2] ?? ".");
for (const fault of faults) console.error(fault);
process.exitCode = faults.length === 0 ? 0 : 1;
